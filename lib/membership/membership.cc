#include "lib/membership/membership.h"

#include <algorithm>
#include <utility>

namespace applestand {

Membership::Membership(Options options, HostRecord self)
    : m_options(options), m_self(std::move(self)) {}

std::vector<Membership::Outgoing> Membership::DueHeartbeats(TimePoint now) {
  if (m_last_sent && now - *m_last_sent < m_options.period) {
    return {};
  }
  m_last_sent = now;
  ++m_beat;
  Expire(now);
  Heartbeat heartbeat;
  heartbeat.sender = m_self;
  heartbeat.beat = m_beat;
  heartbeat.beats = Digest(now);
  heartbeat.leaving_targets = TargetNews(now);
  std::vector<Outgoing> out;
  for (auto& [host, address] : ChoosePeers(now)) {
    out.push_back({host, std::move(address), heartbeat});
  }
  return out;
}

HeartbeatReply Membership::OnHeartbeat(const Heartbeat& heartbeat,
                                       TimePoint now) {
  Learn(heartbeat.sender);
  Learn(HostBeat{heartbeat.sender.host, heartbeat.sender.incarnation,
                 heartbeat.beat, heartbeat.sender.state},
        now);
  for (const HostBeat& beat : heartbeat.beats) {
    Learn(beat, now);
  }
  Learn(heartbeat.leaving_targets, now);

  HeartbeatReply reply;
  reply.sender = m_self;
  reply.beat = m_beat;
  reply.beats = Digest(now);
  reply.leaving_targets = TargetNews(now);
  std::map<HostId, Incarnation> named;
  for (const HostBeat& beat : heartbeat.beats) {
    named[beat.host] = beat.incarnation;
  }
  for (const auto& [host, peer] : m_peers) {
    const auto it = named.find(host);
    const bool known_there =
        it != named.end() && it->second >= peer.incarnation;
    const bool is_sender = host == heartbeat.sender.host;
    const bool worth = peer.record && !known_there && !is_sender &&
                       ConditionOf(peer, now) != HostCondition::kDead;
    if (worth && reply.records.size() < m_options.digest_limit) {
      reply.records.push_back(*peer.record);
    }
  }
  return reply;
}

void Membership::OnHeartbeatReply(const HeartbeatReply& reply, TimePoint now) {
  Learn(reply.sender);
  Learn(HostBeat{reply.sender.host, reply.sender.incarnation, reply.beat,
                 reply.sender.state},
        now);
  for (const HostRecord& record : reply.records) {
    Learn(record);
  }
  for (const HostBeat& beat : reply.beats) {
    Learn(beat, now);
  }
  Learn(reply.leaving_targets, now);
}

void Membership::OnHostList(const std::vector<ListedHost>& hosts,
                            TimePoint now) {
  for (auto& [host, peer] : m_peers) {
    peer.listed = false;
    peer.listed_leaving = false;
  }
  for (const ListedHost& listed : hosts) {
    if (listed.host == m_self.host) {
      continue;
    }
    const auto [it, added] = m_peers.try_emplace(listed.host);
    Peer& peer = it->second;
    if (added) {
      peer.last_progress = now;
    }
    peer.listed = true;
    peer.listed_leaving = listed.leaving;
    peer.listed_address = listed.control_address;
  }
}

void Membership::Learn(const HostRecord& record) {
  if (record.host == m_self.host) {
    return;
  }
  Peer& peer = m_peers[record.host];
  if (record.incarnation < peer.incarnation) {
    return;
  }
  if (record.incarnation > peer.incarnation) {
    peer.incarnation = record.incarnation;
    peer.beat = 0;
    peer.beaten = false;
    peer.state = HostState::kLive;
  }
  const bool older = peer.record &&
                     peer.record->incarnation == record.incarnation &&
                     record.config_version < peer.record->config_version;
  if (!older) {
    peer.record = record;
  }
  if (record.state == HostState::kLeaving) {
    peer.state = HostState::kLeaving;
  }
}

void Membership::Learn(const HostBeat& beat, TimePoint now) {
  if (beat.host == m_self.host) {
    return;
  }
  Peer& peer = m_peers[beat.host];
  if (beat.incarnation < peer.incarnation) {
    return;
  }
  if (beat.incarnation > peer.incarnation) {
    peer.incarnation = beat.incarnation;
    peer.beat = 0;
    peer.beaten = false;
    peer.state = HostState::kLive;
    peer.record.reset();
  }
  if (beat.state == HostState::kLeaving) {
    peer.state = HostState::kLeaving;
  }
  if (!peer.beaten || beat.beat > peer.beat) {
    peer.beat = beat.beat;
    peer.beaten = true;
    peer.last_progress = now;
  }
}

void Membership::Learn(const std::vector<LeavingTarget>& targets,
                       TimePoint now) {
  for (const LeavingTarget& news : targets) {
    const TimePoint heard = now - news.age;
    const auto [it, added] = m_leaving_targets.emplace(news.target, heard);
    if (!added) {
      it->second = std::max(it->second, heard);
    }
  }
}

void Membership::OnTargetLeaving(const TargetId& target, TimePoint now) {
  m_leaving_targets[target] = now;
}

void Membership::Expire(TimePoint now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const bool old = now - it->second.last_progress > m_options.forget_after;
    it = old && !it->second.listed ? m_peers.erase(it) : std::next(it);
  }
  for (auto it = m_leaving_targets.begin(); it != m_leaving_targets.end();) {
    const bool old = now - it->second > m_options.leaving_target_life;
    it = old ? m_leaving_targets.erase(it) : std::next(it);
  }
}

HostCondition Membership::ConditionOf(const Peer& peer, TimePoint now) const {
  if (!peer.beaten) {
    return HostCondition::kUnknown;
  }
  const Duration silent = now - peer.last_progress;
  if (silent > m_options.dead_after) {
    return HostCondition::kDead;
  }
  if (peer.state == HostState::kLeaving || peer.listed_leaving) {
    return HostCondition::kLeaving;
  }
  if (silent > m_options.suspect_after) {
    return HostCondition::kSuspect;
  }
  return HostCondition::kLive;
}

HostCondition Membership::ConditionOf(const HostId& host, TimePoint now) const {
  if (host == m_self.host) {
    return m_self.state == HostState::kLive ? HostCondition::kLive
                                            : HostCondition::kLeaving;
  }
  const auto it = m_peers.find(host);
  return it == m_peers.end() ? HostCondition::kUnknown
                             : ConditionOf(it->second, now);
}

std::vector<HostRecord> Membership::LiveHosts(TimePoint now) const {
  std::vector<HostRecord> live;
  if (m_self.state == HostState::kLive) {
    live.push_back(m_self);
  }
  for (const auto& [host, peer] : m_peers) {
    if (peer.record && ConditionOf(peer, now) == HostCondition::kLive) {
      live.push_back(*peer.record);
    }
  }
  std::sort(
      live.begin(), live.end(),
      [](const HostRecord& a, const HostRecord& b) { return a.host < b.host; });
  return live;
}

std::vector<HostRecord> Membership::LeavingHosts(TimePoint now) const {
  std::vector<HostRecord> leaving;
  for (const auto& [host, peer] : m_peers) {
    if (peer.record && ConditionOf(peer, now) == HostCondition::kLeaving) {
      leaving.push_back(*peer.record);
    }
  }
  return leaving;
}

std::vector<TargetId> Membership::LeavingTargets(TimePoint now) const {
  std::vector<TargetId> targets;
  for (const auto& [target, heard] : m_leaving_targets) {
    if (now - heard <= m_options.leaving_target_life) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::vector<HostBeat> Membership::Digest(TimePoint now) {
  std::vector<HostBeat> beats;
  const size_t limit = std::min(m_options.digest_limit, m_peers.size());
  auto it = m_peers.upper_bound(m_digest_cursor);
  for (size_t n = 0; n < limit; ++n, ++it) {
    if (it == m_peers.end()) {
      it = m_peers.begin();
    }
    const auto& [host, peer] = *it;
    m_digest_cursor = host;
    // Beats of the dead are not passed on, or they would seem to live.
    if (peer.beaten && ConditionOf(peer, now) != HostCondition::kDead) {
      beats.push_back({host, peer.incarnation, peer.beat, peer.state});
    }
  }
  return beats;
}

std::vector<LeavingTarget> Membership::TargetNews(TimePoint now) const {
  std::vector<LeavingTarget> news;
  for (const auto& [target, heard] : m_leaving_targets) {
    news.push_back({target, now - heard});
  }
  return news;
}

std::vector<std::pair<HostId, std::string>> Membership::ChoosePeers(
    TimePoint now) {
  struct Candidate {
    HostId host;
    std::string address;
    bool same_zone = false;
  };
  std::vector<Candidate> candidates;
  for (const auto& [host, peer] : m_peers) {
    std::string address =
        peer.record ? peer.record->control_address : peer.listed_address;
    const bool dead = ConditionOf(peer, now) == HostCondition::kDead;
    if (!address.empty() && !(dead && !peer.listed)) {
      const bool same_zone = peer.record && peer.record->zone == m_self.zone;
      candidates.push_back({host, std::move(address), same_zone});
    }
  }
  std::vector<std::pair<HostId, std::string>> chosen;
  if (candidates.size() <= m_options.all_below) {
    for (Candidate& candidate : candidates) {
      chosen.emplace_back(candidate.host, std::move(candidate.address));
    }
    return chosen;
  }
  // Starting points that differ by beat spread the choices over all peers.
  size_t zone_left = m_options.zone_peers;
  size_t relay_left = m_options.relay_peers;
  const size_t stride = m_options.zone_peers + m_options.relay_peers;
  const size_t start = static_cast<size_t>(m_beat) * stride % candidates.size();
  for (size_t n = 0; n < candidates.size(); ++n) {
    Candidate& candidate = candidates[(start + n) % candidates.size()];
    size_t& left = candidate.same_zone ? zone_left : relay_left;
    if (left > 0) {
      --left;
      chosen.emplace_back(candidate.host, std::move(candidate.address));
    }
  }
  return chosen;
}

}  // namespace applestand
