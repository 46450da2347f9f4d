#ifndef LIB_BASE_CLOCK_H_
#define LIB_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace applestand {

using Duration = std::chrono::microseconds;

/// Tag clock whose epoch is the machine's boot.
struct BootTimeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTimeClock, duration>;
  static constexpr bool is_steady = true;
};

/// Time since boot, counted also while the machine is suspended. Two processes
/// of one machine may compare their values; two machines may not.
using TimePoint = BootTimeClock::time_point;

/// Source of time that every decision is given, so that tests can pause it.
/// Thread safety: Now() may be called from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// CLOCK_BOOTTIME of the machine.
class BootClock : public Clock {
 public:
  TimePoint Now() const override;
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration step) { m_now += step; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

inline int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace applestand

#endif  // LIB_BASE_CLOCK_H_
