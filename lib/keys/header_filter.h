#ifndef LIB_KEYS_HEADER_FILTER_H_
#define LIB_KEYS_HEADER_FILTER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// Picks the headers of a request that its target may see, so that no target
/// sees a caller's key. Bodies are not looked into.
///
/// The owner sends exactly the returned headers, besides those it makes itself
/// (Host, Content-Length, Traceparent). Thread-safe once built.
class HeaderFilter {
 public:
  /// `extra_names` are let through besides the standard ones. Headers that
  /// carry keys or belong to one connection are never let through.
  explicit HeaderFilter(const std::vector<std::string>& extra_names = {});

  /// The headers to pass on. Nothing, with the reason (answer 400, not run),
  /// where what would reach the target, path and query included, holds the
  /// secret of a key shown in any key header, whole or percent-coded, in any
  /// case; or where a header has a forbidden character.
  [[nodiscard]] std::optional<std::vector<HttpHeader>> Filter(
      const HttpRequest& request,
      Reason& reason) const;

 private:
  /// Lower case.
  std::set<std::string> m_allowed;
};

}  // namespace applestand

#endif  // LIB_KEYS_HEADER_FILTER_H_
