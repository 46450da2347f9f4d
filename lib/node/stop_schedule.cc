#include "lib/node/stop_schedule.h"

namespace applestand {

namespace {

// Times since the start of the stop.
constexpr Duration kCloseIdleAfter = std::chrono::milliseconds(2500);
constexpr Duration kStopAcceptingAfter = std::chrono::milliseconds(3200);
// The process ends after this time at the earliest, unless the grace period is
// shorter.
constexpr Duration kMinStopTime = std::chrono::milliseconds(4200);
// The process ends at the latest this long before the grace period does, so
// that it is not killed.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);
// Time to deliver a response to a request that has lasted until its deadline.
constexpr Duration kDeliveryTime = std::chrono::milliseconds(100);

}  // namespace

TimePoint StopSchedule::ExitTime() const {
  return m_started + m_grace - kStopMargin;
}

bool StopSchedule::ShouldCloseIdle(TimePoint now) const {
  return now >= m_started + kCloseIdleAfter;
}

bool StopSchedule::ShouldStopAccepting(TimePoint now) const {
  return now >= m_started + kStopAcceptingAfter;
}

bool StopSchedule::CanPassOn(TimePoint deadline) const {
  return deadline + kDeliveryTime <= ExitTime();
}

bool StopSchedule::ShouldExit(TimePoint now, bool has_open_requests) const {
  const bool finished = now >= m_started + kMinStopTime && !has_open_requests;
  return finished || now >= ExitTime();
}

}  // namespace applestand
