#ifndef LIB_ENTRY_LOCAL_CAPACITY_H_
#define LIB_ENTRY_LOCAL_CAPACITY_H_

#include <map>
#include <set>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/routing/messages.h"
#include "lib/targets/home_map.h"

namespace applestand {

/// Tells which services have lost every usable target of a region, from the
/// reports of the home hosts. Not thread-safe.
class LocalCapacity {
 public:
  explicit LocalCapacity(RegionId region) : m_region(std::move(region)) {}

  void SetHomes(HomeMap homes) { m_homes = std::move(homes); }
  void OnReport(const CapacityReport& report);

  /// Whether no home host of the region can run a request of the service now.
  /// A home host that has not reported counts as able.
  [[nodiscard]] bool IsLost(const ServiceId& service) const;

 private:
  const RegionId m_region;
  HomeMap m_homes;
  std::map<HostId, std::map<ServiceId, uint32_t>> m_allowed;
};

}  // namespace applestand

#endif  // LIB_ENTRY_LOCAL_CAPACITY_H_
