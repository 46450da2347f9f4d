#ifndef LIB_ROUTING_CAPACITY_REPORT_H_
#define LIB_ROUTING_CAPACITY_REPORT_H_

#include "lib/routing/messages.h"
#include "lib/targets/target_pool.h"

namespace applestand {

/// Returns a report of the capacity of a home host's pool. `sequence` must
/// increase with each report of an incarnation.
CapacityReport MakeCapacityReport(const TargetPool& pool,
                                  const HostId& self,
                                  Incarnation incarnation,
                                  uint64_t sequence,
                                  TimePoint now);

}  // namespace applestand

#endif  // LIB_ROUTING_CAPACITY_REPORT_H_
