#ifndef LIB_LIMITS_DEMAND_H_
#define LIB_LIMITS_DEMAND_H_

#include <cmath>

#include "lib/base/clock.h"

namespace applestand {

/// Exponentially weighted rate of recent requests. Not thread-safe.
class DemandEstimate {
 public:
  /// Counts one request. Precondition: `now` does not go back.
  void Add(TimePoint now) {
    m_weight = m_weight * Decay(now) + 1;
    m_updated = now;
  }

  /// Requests per second.
  double Rate(TimePoint now) const {
    return m_weight * Decay(now) / kTimeConstantS;
  }

 private:
  static constexpr double kTimeConstantS = 1.0;

  double Decay(TimePoint now) const {
    return std::exp(-ToSeconds(now - m_updated) / kTimeConstantS);
  }

  double m_weight = 0;
  TimePoint m_updated;
};

}  // namespace applestand

#endif  // LIB_LIMITS_DEMAND_H_
