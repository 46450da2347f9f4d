#include "lib/limits/share_schedule.h"

#include <algorithm>
#include <map>

namespace applestand {

ShareSchedule::ShareSchedule(const std::vector<OwnedShare>& shares,
                             TimePoint active_from) {
  std::map<TimePoint, int> changes;
  for (const OwnedShare& share : shares) {
    const TimePoint from = std::max(TimePoint(share.from), active_from);
    const TimePoint until(share.until);
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
    span.shares += change;
  }
  m_spans.push_back(span);
}

const ShareSchedule::Span& ShareSchedule::At(TimePoint time) const {
  for (const Span& span : m_spans) {
    if (time < span.end) {
      return span;
    }
  }
  return m_spans.back();
}

}  // namespace applestand
