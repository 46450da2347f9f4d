#ifndef LIB_KEYS_ROUTE_INDEX_H_
#define LIB_KEYS_ROUTE_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lib/base/verdict.h"
#include "lib/config/model.h"

namespace applestand {

/// Returns true if every server interprets `path` in the same way; otherwise
/// sets `reason`. Rejected are: a path without a leading slash; ".", ".." and
/// empty segments (a single trailing slash is allowed); backslashes, ";",
/// control characters and unescaped non-ASCII characters; percent-encoded
/// control characters, backslashes, ";", "/" and "%"; and percent-encoded
/// unreserved characters (letters, digits, "-", ".", "_", "~"), which need no
/// escape. Thread-safe.
[[nodiscard]] bool IsUnambiguousPath(std::string_view path, Reason& reason);

/// Finds the route with the longest prefix that matches whole segments.
/// Single-threaded.
class RouteIndex {
 public:
  /// Rebuilds the index if the version of `state` has changed since the last
  /// call. The index keeps pointers into `state`.
  void Update(const ConfigState& state);

  /// Returns the matching route, or nullptr if there is none.
  /// Precondition: IsUnambiguousPath(path) is true.
  const Route* Find(std::string_view path) const;

 private:
  std::optional<ConfigVersion> m_version;
  std::map<std::string, const Route*, std::less<>> m_by_prefix;
};

}  // namespace applestand

#endif  // LIB_KEYS_ROUTE_INDEX_H_
