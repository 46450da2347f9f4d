#ifndef LIB_STEERING_REGION_LOAD_AGGREGATOR_H_
#define LIB_STEERING_REGION_LOAD_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Identifies a target in messages between hosts: 32 bits of the hash of its
/// id, a third of the size of the id. Among 1,000 targets, the
/// probability that any two collide is about 1 in 8,600; the loads of colliding
/// targets are added up.
using TargetIdHash = uint32_t;

TargetIdHash HashTargetId(const TargetId& target);

/// Requests in flight by target. Targets with none are omitted.
using TargetCounts = std::map<TargetIdHash, uint32_t>;

/// Adds up the requests in flight that the hosts of a region report. Not
/// thread-safe.
class RegionLoadAggregator {
 public:
  /// Replaces the previous report of `host`.
  void OnReport(const HostId& host, const TargetCounts& counts, TimePoint now);

  /// Returns the sums over all hosts that reported recently.
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

#endif  // LIB_STEERING_REGION_LOAD_AGGREGATOR_H_
