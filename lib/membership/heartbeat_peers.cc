#include <algorithm>
#include <utility>

#include "lib/membership/membership.h"

namespace applestand {

namespace {

// Dead hosts are sent a heartbeat once in this many rounds, so that the end of
// a network partition is noticed without the platform's list.
constexpr uint64_t kDeadRetryRounds = 8;

using HostAddress = std::pair<HostId, std::string>;

// Appends to `out` the `count` hosts that start at position `start` of `hosts`,
// which is treated as a ring. Appends all hosts if there are fewer.
void AppendFromRing(const std::vector<HostAddress>& hosts,
                    size_t start,
                    size_t count,
                    std::vector<HostAddress>& out) {
  count = std::min(count, hosts.size());
  for (size_t i = 0; i < count; ++i) {
    out.push_back(hosts[(start + i) % hosts.size()]);
  }
}

}  // namespace

std::vector<Membership::Outgoing> Membership::DueHeartbeats(TimePoint now) {
  if (m_last_sent && now - *m_last_sent < m_options.period) {
    return {};
  }
  // If this host itself was paused, all other hosts appear silent, so dead
  // hosts are included too.
  const bool was_paused =
      m_last_sent && now - *m_last_sent > m_options.suspect_after;
  m_last_sent = now;
  ++m_counter;
  ++m_rounds;
  const bool include_dead = was_paused || m_rounds % kDeadRetryRounds == 0;
  Expire(now);
  const std::vector<HostHeartbeat> digest = MakeDigest(now);
  const std::vector<LeavingTarget> targets = LeavingTargetUpdates(now);
  std::vector<Outgoing> outgoing;
  for (auto& [host, address] : ChoosePeers(now, include_dead)) {
    outgoing.push_back({host, std::move(address),
                        Heartbeat{m_self, m_counter, digest, targets}});
  }
  return outgoing;
}

std::vector<HostAddress> Membership::ChoosePeers(TimePoint now,
                                                 bool include_dead) const {
  std::vector<HostAddress> in_zone;
  std::vector<HostAddress> elsewhere;
  for (const auto& [id, peer] : m_peers) {
    const std::string& address =
        peer.record ? peer.record->control_address : peer.listed_address;
    const bool is_skipped =
        !include_dead && ConditionOf(peer, now) == HostCondition::kDead;
    if (address.empty() || is_skipped) {
      continue;
    }
    const bool is_near = peer.record && peer.record->zone == m_self.zone;
    (is_near ? in_zone : elsewhere).emplace_back(id, address);
  }
  std::vector<HostAddress> chosen;
  if (in_zone.size() + elsewhere.size() <= m_options.full_mesh_limit) {
    chosen = std::move(in_zone);
    chosen.insert(chosen.end(), elsewhere.begin(), elsewhere.end());
    return chosen;
  }
  const auto position_of_self = [this](const std::vector<HostAddress>& hosts) {
    const auto at = std::lower_bound(hosts.begin(), hosts.end(),
                                     HostAddress(m_self.host, ""));
    return static_cast<size_t>(at - hosts.begin());
  };
  AppendFromRing(in_zone, position_of_self(in_zone), m_options.zone_fanout,
                 chosen);
  // Different hosts of other zones are chosen in each round, so that updates
  // reach every host.
  AppendFromRing(
      elsewhere,
      position_of_self(elsewhere) + m_rounds * m_options.remote_fanout,
      m_options.remote_fanout, chosen);
  return chosen;
}

}  // namespace applestand
