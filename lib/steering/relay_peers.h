#ifndef LIB_STEERING_RELAY_PEERS_H_
#define LIB_STEERING_RELAY_PEERS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// A live host that requests may be passed to.
struct RelayPeer {
  HostId host;
  RegionId region;
};

/// Chooses the host to which a request is passed if this host has no links to
/// the targets: the hosts of its own region in turn, and those of other regions
/// only if none of them can serve requests. Does no I/O and reads no clock. Not
/// thread-safe.
class RelayPeers {
 public:
  explicit RelayPeers(RegionId own_region)
      : m_own_region(std::move(own_region)) {}

  /// Returns the host for a request, or std::nullopt if there is none.
  /// `regions` are those in which the request may be processed, std::nullopt
  /// means any. `tried` are the hosts that it was passed to already.
  std::optional<HostId> Choose(
      const std::vector<RelayPeer>& peers,
      const std::optional<std::vector<RegionId>>& regions,
      const std::set<HostId>& tried,
      TimePoint now);

  /// Called when `host` did not respond, or cannot serve requests either. It
  /// gets no requests for a moment.
  void OnFailed(const HostId& host, TimePoint now);

 private:
  const RegionId m_own_region;
  std::map<HostId, TimePoint> m_avoided_until;
  size_t m_next = 0;
};

}  // namespace applestand

#endif  // LIB_STEERING_RELAY_PEERS_H_
