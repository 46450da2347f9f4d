#ifndef LIB_STEERING_REGION_TALLY_H_
#define LIB_STEERING_REGION_TALLY_H_

#include <cstdint>
#include <map>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Requests under way at targets; targets without any are left out.
using TargetCounts = std::map<TargetId, uint32_t>;

/// Adds up what the hosts of a region have under way. Not thread-safe.
class RegionTally {
 public:
  /// Replaces what `host` reported before.
  void OnReport(const HostId& host, const TargetCounts& counts, TimePoint now);

  /// Sums over the hosts that reported lately.
  const TargetCounts& Totals(TimePoint now);

 private:
  struct Report {
    TargetCounts counts;
    TimePoint at;
  };

  void Subtract(const TargetCounts& counts);

  std::map<HostId, Report> m_reports;
  TargetCounts m_totals;
  TimePoint m_expired_at;
};

}  // namespace applestand

#endif  // LIB_STEERING_REGION_TALLY_H_
