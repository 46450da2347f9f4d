#ifndef LIB_BASE_CLOCK_H_
#define LIB_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace applestand {

using Duration = std::chrono::microseconds;

/// Clock type for std::chrono::time_point whose epoch is the boot of the
/// machine. Has no now(); the current time comes from Clock.
struct BootTimeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTimeClock, duration>;
  static constexpr bool is_steady = true;
};

/// Time since boot, including the time while the machine is suspended. Values
/// are comparable between processes of one machine, but not between machines.
using TimePoint = BootTimeClock::time_point;

/// Source of the current time. Code that depends on time takes a Clock or a
/// time as an argument, so that tests can control it. Thread safety: Now() may
/// be called from any thread unless a subclass says otherwise.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// Reads CLOCK_BOOTTIME of the machine. Thread-safe.
class BootClock : public Clock {
 public:
  TimePoint Now() const override;
};

/// Clock for tests that changes only through Advance. Not thread-safe.
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
