#ifndef LIB_KEYS_ROUTE_INDEX_H_
#define LIB_KEYS_ROUTE_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lib/base/verdict.h"
#include "lib/config/model.h"

namespace applestand {

/// Whether a path means the same to every server. Refused: no leading slash;
/// ".", ".." and empty segments (one slash may end the path); backslashes, ";",
/// control and non-ASCII characters; percent-codings of these, of "/" and "%",
/// and of characters that need none. Thread-safe.
[[nodiscard]] bool IsUnambiguousPath(std::string_view path, Reason& reason);

/// Finds the route with the longest prefix that matches whole segments.
/// Single-threaded.
class RouteIndex {
 public:
  /// Rebuilds where the state's version is another than last time. The index
  /// refers into `state`.
  void Update(const ConfigState& state);

  /// Precondition: IsUnambiguousPath(path). Null where no route matches.
  const Route* Find(std::string_view path) const;

 private:
  std::optional<ConfigVersion> m_version;
  std::map<std::string, const Route*, std::less<>> m_by_prefix;
};

}  // namespace applestand

#endif  // LIB_KEYS_ROUTE_INDEX_H_
