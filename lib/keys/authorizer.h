#ifndef LIB_KEYS_AUTHORIZER_H_
#define LIB_KEYS_AUTHORIZER_H_

#include <optional>
#include <string>
#include <variant>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/config/model.h"
#include "lib/http/message.h"
#include "lib/keys/presented_key.h"
#include "lib/keys/route_index.h"

namespace applestand {

/// A request that may go on. It is valid until the configuration changes.
struct Authorization {
  /// Never null.
  const Route* route = nullptr;
  /// Whom the request is for; absent on routes open to all.
  std::optional<ClientAccountId> account;
  /// The key that came with the request, which no target may see.
  std::optional<PresentedKey> key;
};

/// A request that may not go on; it has not run.
struct AuthorizationRefusal {
  /// 400 malformed, 401 no valid key, 403 not for this client account, 404 no
  /// such route.
  int status = 401;
  Reason reason;
};

using AuthorizationResult = std::variant<Authorization, AuthorizationRefusal>;

/// Decides for whom a request runs, and on which route.
///
/// The owner calls Authorize for every request, also of connected callers, and
/// then, where the route is not open, Freshness::MayServe. It passes the key
/// on to HeaderFilter.
///
/// Pure. Single-threaded: lives on the loop that owns `state`.
class Authorizer {
 public:
  /// `state` outlives this object and may change between calls.
  explicit Authorizer(const ConfigState& state) : m_state(state) {}

  [[nodiscard]] AuthorizationResult Authorize(const HttpRequest& request);

 private:
  const ConfigState& m_state;
  RouteIndex m_routes;
};

}  // namespace applestand

#endif  // LIB_KEYS_AUTHORIZER_H_
