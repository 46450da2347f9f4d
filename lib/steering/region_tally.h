#ifndef LIB_STEERING_REGION_TALLY_H_
#define LIB_STEERING_REGION_TALLY_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Stands for a target in messages between hosts: 32 bits of its id's hash, a
/// third of the id's size. Among a thousand targets two share one in about one
/// of 8,600 cases; their loads are then added up.
using TargetKey = uint32_t;

TargetKey KeyOf(const TargetId& target);

/// Requests under way at targets; targets without any are left out.
using TargetCounts = std::map<TargetKey, uint32_t>;

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
