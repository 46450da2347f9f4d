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

/// Sums up what home hosts report, by service and region. Not thread-safe.
class CapacityView {
 public:
  explicit CapacityView(RegionId local) : m_local(std::move(local)) {}

  void SetHomes(HomeMap homes) { m_homes = std::move(homes); }
  void OnReport(const CapacityReport& report, TimePoint now);

  /// Whether no home host of the local region can run a request of the service
  /// now. A home host that has not reported counts as able.
  [[nodiscard]] bool IsLocalLost(const ServiceId& service) const;

  /// Slots of each service and region, of the home hosts that reported lately.
  std::vector<RegionLoad> Loads(const ServiceId& service, TimePoint now) const;

 private:
  struct Reported {
    TimePoint at;
    std::map<ServiceId, ServiceCapacity> services;
  };

  const ServiceCapacity* Find(const HostId& host,
                              const ServiceId& service) const;

  const RegionId m_local;
  HomeMap m_homes;
  std::map<HostId, Reported> m_reports;
};

}  // namespace applestand

#endif  // LIB_ENTRY_CAPACITY_VIEW_H_
