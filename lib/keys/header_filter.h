#ifndef LIB_KEYS_HEADER_FILTER_H_
#define LIB_KEYS_HEADER_FILTER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/config/model.h"
#include "lib/http/message.h"

namespace applestand {

/// Picks the headers of a request that its target may see, so that no target
/// sees a caller's key. Bodies are not looked into.
///
/// The owner sends exactly the returned headers, besides those it makes itself
/// (Host, Content-Length, Traceparent).
///
/// Pure. Single-threaded: lives on the loop that owns `state`.
class HeaderFilter {
 public:
  /// `state` outlives this object and may change between calls.
  /// `extra_names` are let through besides the standard ones. Headers that
  /// carry keys or belong to one connection are never let through.
  explicit HeaderFilter(const ConfigState& state,
                        const std::vector<std::string>& extra_names = {});

  /// The headers to pass on. Nothing, with the reason (answer 400, not run),
  /// where what would reach the target, path and query included, holds the
  /// secret of a key that is shown in a key header, in any case, or any key of
  /// the configuration; both also under layers of percent-coding. Nothing, too,
  /// where a header that passes holds a control character.
  [[nodiscard]] std::optional<std::vector<HttpHeader>> Filter(
      const HttpRequest& request,
      Reason& reason) const;

 private:
  const ConfigState& m_state;
  /// Lower case.
  std::set<std::string> m_allowed;
};

}  // namespace applestand

#endif  // LIB_KEYS_HEADER_FILTER_H_
