#include "lib/routing/capacity_report.h"

namespace applestand {

CapacityReport MakeCapacityReport(const TargetPool& pool,
                                  const HostId& self,
                                  Incarnation incarnation,
                                  uint64_t sequence,
                                  TimePoint now) {
  CapacityReport report{self, incarnation, sequence, {}};
  for (const ServiceId& service : pool.Services()) {
    const PoolLoad load = pool.LoadOf(service, now);
    report.services.push_back(
        {service, load.allowed, load.Spare(), load.queued, load.wait});
  }
  return report;
}

}  // namespace applestand
