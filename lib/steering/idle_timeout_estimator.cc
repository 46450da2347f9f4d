#include "lib/steering/idle_timeout_estimator.h"

#include <algorithm>

namespace applestand {

namespace {

// Targets close idle connections after 10 s or more. A connection that has been
// idle for longer than this may be closed by its target just as the next
// request is sent.
constexpr Duration kDefaultMaxIdleTime = std::chrono::seconds(7);
// Connections are assumed to be still open if they have been idle for at most
// 1/kSafetyFactor of the idle time of a lost one.
constexpr int kSafetyFactor = 4;
constexpr Duration kMinMaxIdleTime = std::chrono::milliseconds(100);
// An estimate expires if no further connection is lost within this time, in
// which each host would encounter several if targets still dropped them early.
constexpr Duration kEstimateLifetime = std::chrono::seconds(4);

}  // namespace

void IdleTimeoutEstimator::OnIdleConnectionLost(const ServiceId& service,
                                                Duration idle_time,
                                                TimePoint now) {
  const Duration safe = std::max(idle_time / kSafetyFactor, kMinMaxIdleTime);
  const auto [it, added] =
      m_estimates.try_emplace(service, Estimate{safe, now + kEstimateLifetime});
  Estimate& estimate = it->second;
  estimate.max_idle_time =
      now < estimate.expires_at ? std::min(estimate.max_idle_time, safe) : safe;
  estimate.expires_at = now + kEstimateLifetime;
}

Duration IdleTimeoutEstimator::MaxIdleTime(const ServiceId& service,
                                           bool repeatable,
                                           TimePoint now) const {
  const auto it = m_estimates.find(service);
  if (repeatable || it == m_estimates.end() || now >= it->second.expires_at) {
    return kDefaultMaxIdleTime;
  }
  return std::min(it->second.max_idle_time, kDefaultMaxIdleTime);
}

}  // namespace applestand
