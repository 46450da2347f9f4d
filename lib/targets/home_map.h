#ifndef LIB_TARGETS_HOME_MAP_H_
#define LIB_TARGETS_HOME_MAP_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lib/base/ids.h"
#include "lib/config/model.h"

namespace applestand {

/// A live entry host, which can be the home host of targets in its region.
struct LiveHost {
  HostId id;
  RegionId region;
};

/// Totals over the targets of one service that have the same home host,
/// targets marked as leaving excluded.
struct ServiceHome {
  HostId host;
  uint32_t targets = 0;
  uint32_t slots = 0;
};

/// Assigns each target a home host, which alone admits requests to the target.
/// The home host is chosen among the live entry hosts of the target's region by
/// rendezvous hashing: when a host joins or leaves, only the targets that it
/// gains or loses change their home host. Equal inputs give equal maps on all
/// hosts.
///
/// Build a new map whenever the configured targets or the live hosts change,
/// and pass it to TargetPool::SetTargets and Router::SetHomes. Exclude
/// unresponsive hosts from `hosts`; their targets then go to the host with the
/// next highest hash. Targets marked as leaving are excluded from HomeHostsOf,
/// but not from TargetsOf.
///
/// Immutable, hence thread-safe.
class HomeMap {
 public:
  HomeMap() = default;
  HomeMap(const std::map<TargetId, Target>& targets,
          const std::vector<LiveHost>& hosts);

  /// Returns the home host of a target, or an empty id if the target is unknown
  /// or its region has no live host.
  HostId HomeOf(const TargetId& target) const;

  /// Returns the targets whose home host is `host`, leaving ones included.
  std::vector<Target> TargetsOf(const HostId& host) const;

  /// Returns the home hosts of a service in a region, ordered by host id.
  const std::vector<ServiceHome>& HomeHostsOf(const ServiceId& service,
                                              const RegionId& region) const;

  /// Returns the regions that have a home host for the service, ordered by id.
  std::vector<RegionId> RegionsOf(const ServiceId& service) const;

 private:
  std::map<TargetId, HostId> m_homes;
  std::map<HostId, std::vector<Target>> m_targets;
  std::map<ServiceId, std::map<RegionId, std::vector<ServiceHome>>> m_services;
};

}  // namespace applestand

#endif  // LIB_TARGETS_HOME_MAP_H_
