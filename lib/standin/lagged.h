#ifndef LIB_STANDIN_LAGGED_H_
#define LIB_STANDIN_LAGGED_H_

#include <deque>
#include <optional>
#include <utility>

#include "lib/base/clock.h"

namespace applestand {

/// A value that readers see only some time after it was set, and that can be
/// frozen. Precondition of all calls: `now` never goes back. Not thread-safe.
template <class T>
class Lagged {
 public:
  Lagged(Duration lag, T initial) : m_lag(lag), m_visible(std::move(initial)) {}

  void Set(TimePoint now, T value) {
    m_pending.emplace_back(now + m_lag, std::move(value));
  }

  /// The value set last, lag aside.
  const T& Latest() const {
    return m_pending.empty() ? m_visible : m_pending.back().second;
  }

  /// The value that readers see.
  const T& Get(TimePoint now) {
    while (!m_frozen && !m_pending.empty() && m_pending.front().first <= now) {
      m_visible = std::move(m_pending.front().second);
      m_pending.pop_front();
    }
    return m_visible;
  }

  /// While frozen, readers see no change.
  void SetFrozen(bool frozen) { m_frozen = frozen; }

 private:
  const Duration m_lag;
  T m_visible;
  std::deque<std::pair<TimePoint, T>> m_pending;
  bool m_frozen = false;
};

}  // namespace applestand

#endif  // LIB_STANDIN_LAGGED_H_
