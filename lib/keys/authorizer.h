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

/// An authorized request. Valid until the configuration changes, because
/// `route` points into it.
struct Authorization {
  /// Never null.
  const Route* route = nullptr;
  /// The client account that the request belongs to; std::nullopt on open
  /// routes.
  std::optional<ClientAccountId> account;
  /// The key presented with the request. It must not be sent to any target.
  std::optional<PresentedKey> key;
};

/// A request that is not authorized. It has not run.
struct AuthorizationRefusal {
  /// HTTP status: 400 malformed request, 401 no valid key, 403 client account
  /// not permitted on the route, 404 no matching route.
  int status = 401;
  Reason reason;
};

using AuthorizationResult = std::variant<Authorization, AuthorizationRefusal>;

/// Determines the route and the client account of a request.
///
/// The owner calls Authorize for every request, including later requests on an
/// open connection, and then Freshness::MayServe if the route is not open. It
/// uses HeaderFilter to keep the key from the target.
///
/// Performs no I/O. Single-threaded: must be used on the event loop that owns
/// `state`.
class Authorizer {
 public:
  /// `state` must outlive this object and may change between calls.
  explicit Authorizer(const ConfigState& state) : m_state(state) {}

  [[nodiscard]] AuthorizationResult Authorize(const HttpRequest& request);

 private:
  const ConfigState& m_state;
  RouteIndex m_routes;
};

}  // namespace applestand

#endif  // LIB_KEYS_AUTHORIZER_H_
