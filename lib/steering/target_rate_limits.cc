#include "lib/steering/target_rate_limits.h"

namespace applestand {

std::optional<TargetRateLimits::Change> TargetRateLimits::OnResponse(
    const TargetId& target,
    std::optional<double> requests_per_s,
    TimePoint sent,
    TimePoint now) {
  const auto it = m_limits.find(target);
  if (!requests_per_s) {
    if (it == m_limits.end() || sent < it->second.named_at) {
      return std::nullopt;
    }
    const Change change{it->second.requests_per_s, std::nullopt};
    m_limits.erase(it);
    return change;
  }
  if (it == m_limits.end()) {
    m_limits[target] = {*requests_per_s, now};
    return Change{std::nullopt, requests_per_s};
  }
  it->second.named_at = now;
  if (it->second.requests_per_s == *requests_per_s) {
    return std::nullopt;
  }
  const Change change{it->second.requests_per_s, requests_per_s};
  it->second.requests_per_s = *requests_per_s;
  return change;
}

}  // namespace applestand
