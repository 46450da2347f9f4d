#ifndef LIB_LIMITS_DEMAND_ESTIMATE_H_
#define LIB_LIMITS_DEMAND_ESTIMATE_H_

#include <cmath>

#include "lib/base/clock.h"

namespace applestand {

/// Exponentially weighted rate of recent requests. Precondition of all methods:
/// `now` does not decrease. Not thread-safe.
class DemandEstimate {
 public:
  /// Counts one request.
  void Add(TimePoint now) {
    m_weight = m_weight * Decay(now) + 1;
    m_updated = now;
  }

  /// Returns the rate in requests per second.
  double Rate(TimePoint now) const {
    return m_weight * Decay(now) / kTimeConstantSeconds;
  }

 private:
  static constexpr double kTimeConstantSeconds = 1.0;

  double Decay(TimePoint now) const {
    return std::exp(-ToSeconds(now - m_updated) / kTimeConstantSeconds);
  }

  double m_weight = 0;
  TimePoint m_updated;
};

}  // namespace applestand

#endif  // LIB_LIMITS_DEMAND_ESTIMATE_H_
