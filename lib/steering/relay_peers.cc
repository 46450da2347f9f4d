#include "lib/steering/relay_peers.h"

#include <algorithm>

namespace applestand {

namespace {

constexpr Duration kAvoidTime = std::chrono::seconds(1);

}  // namespace

std::optional<HostId> RelayPeers::Choose(
    const std::vector<RelayPeer>& peers,
    const std::optional<std::vector<RegionId>>& regions,
    const std::set<HostId>& tried,
    TimePoint now) {
  std::vector<const HostId*> near;
  std::vector<const HostId*> far;
  for (const RelayPeer& peer : peers) {
    const auto avoided = m_avoided_until.find(peer.host);
    if (tried.count(peer.host) != 0 ||
        (avoided != m_avoided_until.end() && now < avoided->second) ||
        (regions && std::find(regions->begin(), regions->end(), peer.region) ==
                        regions->end())) {
      continue;
    }
    (peer.region == m_own_region ? near : far).push_back(&peer.host);
  }
  const auto& usable = near.empty() ? far : near;
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[m_next++ % usable.size()];
}

void RelayPeers::OnFailed(const HostId& host, TimePoint now) {
  for (auto it = m_avoided_until.begin(); it != m_avoided_until.end();) {
    it = it->second <= now ? m_avoided_until.erase(it) : std::next(it);
  }
  m_avoided_until[host] = now + kAvoidTime;
}

}  // namespace applestand
