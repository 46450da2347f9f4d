#ifndef LIB_STEERING_WINDOW_COUNTER_H_
#define LIB_STEERING_WINDOW_COUNTER_H_

#include <cstddef>
#include <deque>

#include "lib/base/clock.h"

namespace applestand {

/// Bounds events in every span of one length. Not thread-safe.
class WindowCounter {
 public:
  explicit WindowCounter(Duration span) : m_span(span) {}

  /// Events in the span that ends now.
  size_t Count(TimePoint now) {
    while (!m_events.empty() && now - m_events.front() >= m_span) {
      m_events.pop_front();
    }
    return m_events.size();
  }
  void Add(TimePoint now) { m_events.push_back(now); }
  /// Takes back the latest event.
  void RemoveLatest() {
    if (!m_events.empty()) {
      m_events.pop_back();
    }
  }
  /// When the oldest event leaves the span. Precondition: Count(now) > 0.
  TimePoint OldestLeaves() const { return m_events.front() + m_span; }

 private:
  const Duration m_span;
  std::deque<TimePoint> m_events;
};

}  // namespace applestand

#endif  // LIB_STEERING_WINDOW_COUNTER_H_
