#ifndef LIB_STEERING_SERVICE_SPLIT_H_
#define LIB_STEERING_SERVICE_SPLIT_H_

#include <map>
#include <vector>

#include "lib/steering/serving_config.h"

namespace applestand {

/// Splits each route's requests among its services by weight, as evenly as
/// whole requests allow (smooth weighted round robin). Not thread-safe.
class ServiceSplit {
 public:
  /// Returns the service for the route's next request. Returns null if the
  /// route has no service with a positive weight. The result points into
  /// `route`.
  const ServiceId* Next(const ServingRoute& route);

 private:
  // Current weight of each service in the smooth weighted round robin.
  std::map<RouteId, std::map<ServiceId, double>> m_current_weights;
};

}  // namespace applestand

#endif  // LIB_STEERING_SERVICE_SPLIT_H_
