#ifndef LIB_STEERING_SERVICE_SPLIT_H_
#define LIB_STEERING_SERVICE_SPLIT_H_

#include <map>
#include <vector>

#include "lib/steering/serving_config.h"

namespace applestand {

/// Divides each route's requests among its services by weight, as evenly as
/// whole requests allow (smooth weighted round robin). Not thread-safe.
class ServiceSplit {
 public:
  /// The service of the route's next request. Null where the route has none of
  /// a positive weight.
  const ServiceId* Next(const ServingRoute& route);

 private:
  std::map<RouteId, std::map<ServiceId, double>> m_credit;
};

}  // namespace applestand

#endif  // LIB_STEERING_SERVICE_SPLIT_H_
