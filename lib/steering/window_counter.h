#ifndef LIB_STEERING_WINDOW_COUNTER_H_
#define LIB_STEERING_WINDOW_COUNTER_H_

#include <cstddef>
#include <deque>

#include "lib/base/clock.h"

namespace applestand {

/// Counts events in a sliding window. Not thread-safe.
class WindowCounter {
 public:
  explicit WindowCounter(Duration window) : m_window(window) {}

  /// Returns the number of events in the window that ends at `now`.
  size_t Count(TimePoint now) {
    while (!m_events.empty() && now - m_events.front() >= m_window) {
      m_events.pop_front();
    }
    return m_events.size();
  }
  void Add(TimePoint now) { m_events.push_back(now); }
  /// Removes the latest event, if any.
  void RemoveLatest() {
    if (!m_events.empty()) {
      m_events.pop_back();
    }
  }
  /// Returns the time at which the oldest event leaves the window.
  /// Precondition: Count(now) > 0.
  TimePoint OldestExpiry() const { return m_events.front() + m_window; }

 private:
  const Duration m_window;
  std::deque<TimePoint> m_events;
};

}  // namespace applestand

#endif  // LIB_STEERING_WINDOW_COUNTER_H_
