#include "lib/base/clock.h"

#include <ctime>

namespace applestand {

TimePoint BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

}  // namespace applestand
