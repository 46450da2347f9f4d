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

/// Selects the headers of a request that are forwarded to its target, so that
/// no target receives a caller's key. Request bodies are not inspected.
///
/// The owner sends exactly the returned headers and those that it generates
/// itself (Host, Content-Length, Traceparent).
///
/// Performs no I/O. Single-threaded: must be used on the event loop that owns
/// `state`.
class HeaderFilter {
 public:
  /// `state` must outlive this object and may change between calls.
  /// `extra_names` are forwarded in addition to the standard headers. Headers
  /// that carry keys, hop-by-hop headers, Host, Content-Length and Expect are
  /// never forwarded.
  explicit HeaderFilter(const ConfigState& state,
                        const std::vector<std::string>& extra_names = {});

  /// Returns the headers to forward. Returns std::nullopt and sets `reason` if
  /// the request must be rejected with status 400 without running it, because
  ///   - the path, the query or a forwarded header contains the secret of a key
  ///     presented in a key header (compared without regard to case), or any
  ///     key of the configuration; both are also found in text that is
  ///     percent-encoded several times; or
  ///   - a forwarded header contains a control character other than a tab.
  [[nodiscard]] std::optional<std::vector<HttpHeader>> Filter(
      const HttpRequest& request,
      Reason& reason) const;

 private:
  const ConfigState& m_state;
  /// Names in lower case.
  std::set<std::string> m_allowed;
};

}  // namespace applestand

#endif  // LIB_KEYS_HEADER_FILTER_H_
