#ifndef LIB_STEERING_IDLE_TIMEOUT_ESTIMATOR_H_
#define LIB_STEERING_IDLE_TIMEOUT_ESTIMATOR_H_

#include <map>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Detects that targets of a service drop idle connections earlier than they
/// announce. A request sent on such a connection may have been processed.
/// Therefore a request that must not be repeated only reuses connections that
/// have been idle for a shorter time, until no more drops are reported.
///
/// Not thread-safe.
class IdleTimeoutEstimator {
 public:
  /// Called when a connection that had been idle for `idle_time` ended without
  /// a response immediately after a request was sent on it.
  void OnIdleConnectionLost(const ServiceId& service,
                            Duration idle_time,
                            TimePoint now);

  /// Returns the longest time that a connection may have been idle for the
  /// request to reuse it. `repeatable`: the request may be processed more than
  /// once without harm.
  Duration MaxIdleTime(const ServiceId& service,
                       bool repeatable,
                       TimePoint now) const;

 private:
  struct Estimate {
    Duration max_idle_time{};
    TimePoint expires_at;
  };

  std::map<ServiceId, Estimate> m_estimates;
};

}  // namespace applestand

#endif  // LIB_STEERING_IDLE_TIMEOUT_ESTIMATOR_H_
