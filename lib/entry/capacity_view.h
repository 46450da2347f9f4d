#ifndef LIB_ENTRY_CAPACITY_VIEW_H_
#define LIB_ENTRY_CAPACITY_VIEW_H_

#include <map>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/local_state/messages.h"
#include "lib/routing/messages.h"
#include "lib/targets/home_map.h"

namespace applestand {

/// Aggregates the capacity reports of home hosts by service and region. The
/// home host of a target is the only host that admits requests to it. Not
/// thread-safe.
class CapacityView {
 public:
  explicit CapacityView(RegionId local) : m_local(std::move(local)) {}

  /// Replaces the assignment of targets to home hosts.
  void SetHomeMap(HomeMap home_map) { m_home_map = std::move(home_map); }
  /// Records the report in place of the host's previous one. Does not detect
  /// reports that arrive out of order.
  void OnReport(const CapacityReport& report, TimePoint now);

  /// Returns whether no home host in the local region can currently run a
  /// request of the service. A home host that has not reported yet counts as
  /// able to.
  [[nodiscard]] bool IsLocalCapacityLost(const ServiceId& service) const;

  /// Returns the slots of the service in each region, ordered by region id,
  /// summed over the home hosts that reported within the report lifetime. A
  /// slot is the capacity to run one request at a time.
  std::vector<RegionLoad> RegionLoads(const ServiceId& service,
                                      TimePoint now) const;

 private:
  struct HostReport {
    TimePoint received_at;
    std::map<ServiceId, ServiceCapacity> services;
  };

  /// Returns null if the host has not reported a capacity for the service.
  const ServiceCapacity* FindCapacity(const HostId& host,
                                      const ServiceId& service) const;

  const RegionId m_local;
  HomeMap m_home_map;
  std::map<HostId, HostReport> m_reports;
};

}  // namespace applestand

#endif  // LIB_ENTRY_CAPACITY_VIEW_H_
