#include "lib/limits/seat_schedule.h"

#include <algorithm>
#include <map>

namespace applestand {

SeatSchedule::SeatSchedule(const std::vector<OwnedSeat>& seats,
                           TimePoint not_before) {
  std::map<TimePoint, int> changes;
  for (const OwnedSeat& seat : seats) {
    const TimePoint from = std::max(TimePoint(seat.from), not_before);
    const TimePoint until(seat.until);
    if (from >= until) {
      continue;
    }
    ++changes[from];
    --changes[until];
  }
  Span span{TimePoint::min(), TimePoint::max(), 0};
  for (const auto& [time, change] : changes) {
    span.end = time;
    m_spans.push_back(span);
    span.start = time;
    span.end = TimePoint::max();
    span.seats += change;
  }
  m_spans.push_back(span);
}

const SeatSchedule::Span& SeatSchedule::At(TimePoint time) const {
  for (const Span& span : m_spans) {
    if (time < span.end) {
      return span;
    }
  }
  return m_spans.back();
}

}  // namespace applestand
