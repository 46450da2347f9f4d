#include "lib/steering/service_time_estimate.h"

#include <algorithm>

namespace applestand {

namespace {

// Weight of the newest response in the moving average. The first responses are
// averaged with equal weights.
constexpr double kGain = 0.025;
// Number of responses after which the estimate is good enough to tell that one
// is slow.
constexpr unsigned kMinResponses = 8;
// Longer times count as this multiple of the estimate, so that slow targets do
// not raise the time to which they are compared.
constexpr double kMaxSample = 3;

}  // namespace

double ServiceTimeEstimate::WithoutQueue(double took_s,
                                         const AttemptConditions& conditions) {
  return took_s / (1 + std::max(conditions.queue_per_slot, 0.0));
}

void ServiceTimeEstimate::OnResponse(double took_s,
                                     const AttemptConditions& conditions) {
  if (!conditions.warm) {
    return;
  }
  double sample = WithoutQueue(took_s, conditions);
  if (m_responses >= kMinResponses) {
    sample = std::min(sample, kMaxSample * m_seconds);
  }
  ++m_responses;
  m_seconds += std::max(kGain, 1.0 / m_responses) * (sample - m_seconds);
}

}  // namespace applestand
