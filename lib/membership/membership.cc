#include "lib/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace applestand {

Membership::Membership(Options options, HostRecord self)
    : m_options(options), m_self(std::move(self)) {}

HeartbeatReply Membership::OnHeartbeat(const Heartbeat& heartbeat,
                                       TimePoint now) {
  LearnSender(heartbeat.sender, heartbeat.beat, now);
  Learn(heartbeat.beats, now);
  Learn(heartbeat.leaving_targets, now);

  HeartbeatReply reply;
  reply.sender = m_self;
  reply.beat = ++m_beat;
  reply.beats = Digest(now);
  reply.records = RecordsMissingFrom(heartbeat, now);
  reply.leaving_targets = TargetNews(now);
  return reply;
}

void Membership::OnHeartbeatReply(const HeartbeatReply& reply, TimePoint now) {
  LearnSender(reply.sender, reply.beat, now);
  for (const HostRecord& record : reply.records) {
    Learn(record);
  }
  Learn(reply.beats, now);
  Learn(reply.leaving_targets, now);
}

void Membership::OnHostList(const std::vector<ListedHost>& hosts,
                            TimePoint now) {
  Expire(now);
  for (auto& [id, peer] : m_peers) {
    peer.listed = false;
    peer.listed_leaving = false;
  }
  for (const ListedHost& host : hosts) {
    if (host.host == m_self.host) {
      continue;
    }
    Peer& peer = m_peers[host.host];
    peer.listed = true;
    peer.listed_leaving = host.leaving;
    peer.listed_address = host.control_address;
  }
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const bool is_known =
        it->second.listed || it->second.incarnation != Incarnation();
    it = is_known ? std::next(it) : m_peers.erase(it);
  }
}

void Membership::OnTargetLeaving(const TargetId& target, TimePoint now) {
  m_leaving_targets.emplace(target, now);
}

HostCondition Membership::ConditionOf(const HostId& host, TimePoint now) const {
  const auto it = m_peers.find(host);
  return it == m_peers.end() ? HostCondition::kUnknown
                             : ConditionOf(it->second, now);
}

HostCondition Membership::ConditionOf(const Peer& peer, TimePoint now) const {
  if (!peer.beaten) {
    return HostCondition::kUnknown;
  }
  const Duration silence = now - peer.last_progress;
  if (silence > m_options.dead_after) {
    return HostCondition::kDead;
  }
  if (peer.state == HostState::kLeaving || peer.listed_leaving) {
    return HostCondition::kLeaving;
  }
  return silence > m_options.suspect_after ? HostCondition::kSuspect
                                           : HostCondition::kLive;
}

std::vector<HostRecord> Membership::LiveHosts(TimePoint now) const {
  return HostsIn(HostCondition::kLive, HostState::kLive, now);
}

std::vector<HostRecord> Membership::LeavingHosts(TimePoint now) const {
  return HostsIn(HostCondition::kLeaving, HostState::kLeaving, now);
}

std::vector<HostRecord> Membership::HostsIn(HostCondition condition,
                                            HostState own_state,
                                            TimePoint now) const {
  std::vector<HostRecord> hosts;
  for (const auto& [id, peer] : m_peers) {
    if (peer.record && ConditionOf(peer, now) == condition) {
      hosts.push_back(*peer.record);
    }
  }
  if (m_self.state == own_state) {
    hosts.push_back(m_self);
  }
  const auto by_host = [](const HostRecord& a, const HostRecord& b) {
    return a.host < b.host;
  };
  std::sort(hosts.begin(), hosts.end(), by_host);
  return hosts;
}

std::vector<TargetId> Membership::LeavingTargets(TimePoint now) const {
  std::vector<TargetId> targets;
  for (const auto& [target, since] : m_leaving_targets) {
    if (now - since <= m_options.leaving_target_life) {
      targets.push_back(target);
    }
  }
  return targets;
}

Membership::Peer* Membership::PeerOfRun(const HostId& host,
                                        Incarnation incarnation) {
  if (host == m_self.host) {
    return nullptr;
  }
  Peer& peer = m_peers[host];
  if (incarnation < peer.incarnation) {
    return nullptr;
  }
  if (incarnation > peer.incarnation) {
    peer.record.reset();
    peer.incarnation = incarnation;
    peer.beat = 0;
    peer.beaten = false;
    peer.state = HostState::kLive;
  }
  return &peer;
}

void Membership::LearnSender(const HostRecord& sender,
                             uint64_t beat,
                             TimePoint now) {
  Learn(sender);
  Learn({{sender.host, sender.incarnation, beat, sender.state}}, now);
}

void Membership::Learn(const std::vector<HostBeat>& beats, TimePoint now) {
  for (const HostBeat& beat : beats) {
    // Incarnation 0 only asks for the record.
    if (beat.incarnation == Incarnation()) {
      continue;
    }
    Peer* peer = PeerOfRun(beat.host, beat.incarnation);
    if (peer == nullptr) {
      continue;
    }
    if (beat.state == HostState::kLeaving) {
      peer->state = HostState::kLeaving;
    }
    if (!peer->beaten || beat.beat > peer->beat) {
      peer->beaten = true;
      peer->beat = beat.beat;
      peer->last_progress = now;
    }
  }
}

void Membership::Learn(const HostRecord& record) {
  Peer* peer = PeerOfRun(record.host, record.incarnation);
  if (peer == nullptr) {
    return;
  }
  if (record.state == HostState::kLeaving) {
    peer->state = HostState::kLeaving;
  }
  if (!peer->record || peer->record->config_version <= record.config_version) {
    peer->record = record;
  }
  peer->record->state = peer->state;
}

void Membership::Learn(const std::vector<LeavingTarget>& targets,
                       TimePoint now) {
  for (const LeavingTarget& news : targets) {
    const Duration age = std::max(news.age, Duration::zero());
    if (age > m_options.leaving_target_life) {
      continue;
    }
    const auto [it, is_new] = m_leaving_targets.emplace(news.target, now - age);
    if (!is_new) {
      it->second = std::min(it->second, now - age);
    }
  }
}

void Membership::Expire(TimePoint now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const Peer& peer = it->second;
    const bool is_gone =
        !peer.listed && now - peer.last_progress > m_options.forget_after;
    it = is_gone ? m_peers.erase(it) : std::next(it);
  }
  for (auto it = m_leaving_targets.begin(); it != m_leaving_targets.end();) {
    const bool is_old = now - it->second > m_options.leaving_target_life;
    it = is_old ? m_leaving_targets.erase(it) : std::next(it);
  }
}

std::vector<HostBeat> Membership::Digest(TimePoint now) {
  std::vector<HostBeat> beats;
  auto it = m_peers.upper_bound(m_digest_cursor);
  for (size_t i = 0; i < m_peers.size(); ++i, ++it) {
    if (it == m_peers.end()) {
      it = m_peers.begin();
    }
    const auto& [id, peer] = *it;
    const HostCondition condition = ConditionOf(peer, now);
    if (condition == HostCondition::kUnknown ||
        condition == HostCondition::kDead) {
      continue;
    }
    if (beats.size() == m_options.digest_limit) {
      break;
    }
    m_digest_cursor = id;
    beats.push_back({id, peer.incarnation, peer.beat, peer.state});
    if (!peer.record) {
      beats.back().incarnation = Incarnation();
    }
  }
  return beats;
}

std::vector<HostRecord> Membership::RecordsMissingFrom(
    const Heartbeat& heartbeat,
    TimePoint now) const {
  std::map<HostId, Incarnation> named;
  for (const HostBeat& beat : heartbeat.beats) {
    named[beat.host] = beat.incarnation;
  }
  // A digest that is full has left hosts out that its sender knows.
  const bool names_all = named.size() < m_options.digest_limit;
  std::vector<HostRecord> records;
  for (const auto& [id, peer] : m_peers) {
    if (records.size() == m_options.digest_limit) {
      break;
    }
    const auto it = named.find(id);
    const bool is_missing =
        it == named.end() ? names_all : it->second < peer.incarnation;
    const bool is_useful = peer.record && id != heartbeat.sender.host &&
                           ConditionOf(peer, now) != HostCondition::kDead;
    if (is_missing && is_useful) {
      records.push_back(*peer.record);
    }
  }
  return records;
}

std::vector<LeavingTarget> Membership::TargetNews(TimePoint now) const {
  std::vector<LeavingTarget> news;
  for (const auto& [target, since] : m_leaving_targets) {
    const Duration age = now - since;
    if (age <= m_options.leaving_target_life) {
      news.push_back({target, age});
    }
  }
  return news;
}

}  // namespace applestand
