#ifndef LIB_LIMITS_VIRTUAL_TIMELINE_H_
#define LIB_LIMITS_VIRTUAL_TIMELINE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "lib/base/clock.h"

namespace applestand {

/// Event queue of a discrete-event simulation: runs tasks in the order of their
/// virtual times. Not thread-safe.
class VirtualTimeline {
 public:
  TimePoint now() const { return m_now; }

  /// Queues a task. A time in the past is replaced by the present time.
  void At(TimePoint time, std::function<void()> task) {
    m_events.emplace(std::max(time, m_now), std::move(task));
  }

  /// Runs all tasks up to and including `end`, and sets the time to `end`.
  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
  }

 private:
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
};

}  // namespace applestand

#endif  // LIB_LIMITS_VIRTUAL_TIMELINE_H_
