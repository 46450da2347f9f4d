#include <algorithm>
#include <utility>

#include "lib/membership/membership.h"

namespace applestand {

namespace {

// Dead hosts are tried at each of this many rounds of heartbeats, so that a
// mended cut is noticed without the platform's list.
constexpr uint64_t kDeadRetryRounds = 8;

using Addressed = std::pair<HostId, std::string>;

// Moves `count` hosts that follow the position `start` of the ring of `hosts`.
void TakeFromRing(const std::vector<Addressed>& hosts,
                  size_t start,
                  size_t count,
                  std::vector<Addressed>& out) {
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
  // After a pause of this host all others look silent, so all are tried.
  const bool was_paused =
      m_last_sent && now - *m_last_sent > m_options.suspect_after;
  m_last_sent = now;
  ++m_beat;
  ++m_rounds;
  const bool tries_dead = was_paused || m_rounds % kDeadRetryRounds == 0;
  Expire(now);
  const std::vector<HostBeat> beats = Digest(now);
  const std::vector<LeavingTarget> targets = TargetNews(now);
  std::vector<Outgoing> outgoing;
  for (auto& [host, address] : ChoosePeers(now, tries_dead)) {
    outgoing.push_back(
        {host, std::move(address), Heartbeat{m_self, m_beat, beats, targets}});
  }
  return outgoing;
}

std::vector<Addressed> Membership::ChoosePeers(TimePoint now,
                                               bool tries_dead) const {
  std::vector<Addressed> in_zone;
  std::vector<Addressed> elsewhere;
  for (const auto& [id, peer] : m_peers) {
    const std::string& address =
        peer.record ? peer.record->control_address : peer.listed_address;
    const bool is_skipped =
        !tries_dead && ConditionOf(peer, now) == HostCondition::kDead;
    if (address.empty() || is_skipped) {
      continue;
    }
    const bool is_near = peer.record && peer.record->zone == m_self.zone;
    (is_near ? in_zone : elsewhere).emplace_back(id, address);
  }
  std::vector<Addressed> chosen;
  if (in_zone.size() + elsewhere.size() <= m_options.all_below) {
    chosen = std::move(in_zone);
    chosen.insert(chosen.end(), elsewhere.begin(), elsewhere.end());
    return chosen;
  }
  const auto position_of_self = [this](const std::vector<Addressed>& hosts) {
    const auto at = std::lower_bound(hosts.begin(), hosts.end(),
                                     Addressed(m_self.host, ""));
    return static_cast<size_t>(at - hosts.begin());
  };
  TakeFromRing(in_zone, position_of_self(in_zone), m_options.zone_peers,
               chosen);
  // Other relays at each heartbeat, so that news reaches everyone.
  TakeFromRing(elsewhere,
               position_of_self(elsewhere) + m_rounds * m_options.relay_peers,
               m_options.relay_peers, chosen);
  return chosen;
}

}  // namespace applestand
