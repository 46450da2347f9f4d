#ifndef LIB_LIMITS_SEAT_SCHEDULE_H_
#define LIB_LIMITS_SEAT_SCHEDULE_H_

#include <cstddef>
#include <vector>

#include "lib/base/clock.h"
#include "lib/seats/messages.h"

namespace applestand {

/// How many seats a host may use at each time, by the last grant.
/// Not thread-safe.
class SeatSchedule {
 public:
  /// Part of the timeline in which the number of seats is constant.
  struct Span {
    TimePoint start;
    TimePoint end;
    size_t seats = 0;
  };

  /// No seat is used before `not_before`.
  SeatSchedule(const std::vector<OwnedSeat>& seats, TimePoint not_before);

  /// The span that `time` lies in.
  const Span& At(TimePoint time) const;

 private:
  // Sorted, without gaps, from the minimum to the maximum of TimePoint.
  std::vector<Span> m_spans;
};

}  // namespace applestand

#endif  // LIB_LIMITS_SEAT_SCHEDULE_H_
