#ifndef LIB_TARGETS_HOME_MAP_H_
#define LIB_TARGETS_HOME_MAP_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lib/base/ids.h"
#include "lib/config/model.h"

namespace applestand {

/// An entry host that can be home to targets of its region.
struct LiveHost {
  HostId id;
  RegionId region;
};

/// The targets of one service that have the same home host.
struct ServiceHome {
  HostId host;
  uint32_t targets = 0;
  uint32_t slots = 0;
};

/// Gives each target one home host among the live entry hosts of its region,
/// by rendezvous hashing: when a host joins or goes, only the targets that it
/// gains or had change their home. Equal inputs give equal maps on all hosts.
///
/// Build a new map whenever the configuration's targets or the live hosts
/// change, and pass it to TargetPool::SetTargets and Router::SetHomes. A host
/// that is silent is left out of `hosts`; the next in order then is home.
/// Leaving targets are left out of HomesOf, not of TargetsOf.
///
/// Immutable, hence thread-safe.
class HomeMap {
 public:
  HomeMap() = default;
  HomeMap(const std::map<TargetId, Target>& targets,
          const std::vector<LiveHost>& hosts);

  /// The home host of a target; an empty id where its region has no live host.
  HostId HomeOf(const TargetId& target) const;

  /// The targets that `host` is home to, leaving ones included.
  std::vector<Target> TargetsOf(const HostId& host) const;

  /// The home hosts of a service in a region, in order of host id.
  const std::vector<ServiceHome>& HomesOf(const ServiceId& service,
                                          const RegionId& region) const;

  /// The regions that have a home host for the service, in order of id.
  std::vector<RegionId> RegionsOf(const ServiceId& service) const;

 private:
  std::map<TargetId, HostId> m_homes;
  std::map<HostId, std::vector<Target>> m_targets;
  std::map<ServiceId, std::map<RegionId, std::vector<ServiceHome>>> m_services;
};

}  // namespace applestand

#endif  // LIB_TARGETS_HOME_MAP_H_
