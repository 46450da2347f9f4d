#ifndef LIB_LIMITS_SHARE_SCHEDULE_H_
#define LIB_LIMITS_SHARE_SCHEDULE_H_

#include <cstddef>
#include <vector>

#include "lib/base/clock.h"
#include "lib/contract_shares/messages.h"

namespace applestand {

/// The number of contract shares (equal parts of every contract) that a host
/// may use at each time, according to one grant. Not thread-safe.
class ShareSchedule {
 public:
  /// An interval [start, end) in which the number of shares is constant.
  struct Span {
    TimePoint start;
    TimePoint end;
    size_t shares = 0;
  };

  /// No share is used before `active_from`.
  ShareSchedule(const std::vector<OwnedShare>& shares, TimePoint active_from);

  /// Returns the span that contains `time`.
  const Span& At(TimePoint time) const;

 private:
  // Sorted, without gaps, from the minimum to the maximum of TimePoint.
  std::vector<Span> m_spans;
};

}  // namespace applestand

#endif  // LIB_LIMITS_SHARE_SCHEDULE_H_
