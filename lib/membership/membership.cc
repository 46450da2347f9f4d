#include "lib/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace applestand {

Membership::Membership(Options options, HostRecord self)
    : m_options(options), m_self(std::move(self)) {}

HeartbeatReply Membership::OnHeartbeat(const Heartbeat& heartbeat,
                                       TimePoint now) {
  MergeSender(heartbeat.sender, heartbeat.counter, now);
  Merge(heartbeat.digest, now);
  Merge(heartbeat.leaving_targets, now);

  HeartbeatReply reply;
  reply.sender = m_self;
  reply.counter = ++m_counter;
  reply.digest = MakeDigest(now);
  reply.records = RecordsMissingFrom(heartbeat, now);
  reply.leaving_targets = LeavingTargetUpdates(now);
  return reply;
}

void Membership::OnHeartbeatReply(const HeartbeatReply& reply, TimePoint now) {
  MergeSender(reply.sender, reply.counter, now);
  for (const HostRecord& record : reply.records) {
    Merge(record);
  }
  Merge(reply.digest, now);
  Merge(reply.leaving_targets, now);
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
  if (!peer.has_heartbeat) {
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
    if (now - since <= m_options.leaving_target_ttl) {
      targets.push_back(target);
    }
  }
  return targets;
}

Membership::Peer* Membership::FindOrAddPeer(const HostId& host,
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
    peer.counter = 0;
    peer.has_heartbeat = false;
    peer.state = HostState::kLive;
  }
  return &peer;
}

void Membership::MergeSender(const HostRecord& sender,
                             uint64_t counter,
                             TimePoint now) {
  Merge(sender);
  Merge({{sender.host, sender.incarnation, counter, sender.state}}, now);
}

void Membership::Merge(const std::vector<HostHeartbeat>& digest,
                       TimePoint now) {
  for (const HostHeartbeat& entry : digest) {
    // Incarnation 0 means that the sender lacks the record and requests it.
    if (entry.incarnation == Incarnation()) {
      continue;
    }
    Peer* peer = FindOrAddPeer(entry.host, entry.incarnation);
    if (peer == nullptr) {
      continue;
    }
    if (entry.state == HostState::kLeaving) {
      peer->state = HostState::kLeaving;
    }
    if (!peer->has_heartbeat || entry.counter > peer->counter) {
      peer->has_heartbeat = true;
      peer->counter = entry.counter;
      peer->last_progress = now;
    }
  }
}

void Membership::Merge(const HostRecord& record) {
  Peer* peer = FindOrAddPeer(record.host, record.incarnation);
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

void Membership::Merge(const std::vector<LeavingTarget>& targets,
                       TimePoint now) {
  for (const LeavingTarget& target : targets) {
    const Duration age = std::max(target.age, Duration::zero());
    if (age > m_options.leaving_target_ttl) {
      continue;
    }
    const auto [it, is_new] =
        m_leaving_targets.emplace(target.target, now - age);
    if (!is_new) {
      it->second = std::min(it->second, now - age);
    }
  }
}

void Membership::Expire(TimePoint now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const Peer& peer = it->second;
    const bool is_expired = !peer.listed && now - peer.last_progress >
                                                m_options.incarnation_retention;
    it = is_expired ? m_peers.erase(it) : std::next(it);
  }
  for (auto it = m_leaving_targets.begin(); it != m_leaving_targets.end();) {
    const bool is_old = now - it->second > m_options.leaving_target_ttl;
    it = is_old ? m_leaving_targets.erase(it) : std::next(it);
  }
}

std::vector<HostHeartbeat> Membership::MakeDigest(TimePoint now) {
  std::vector<HostHeartbeat> digest;
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
    if (digest.size() == m_options.digest_limit) {
      break;
    }
    m_digest_cursor = id;
    digest.push_back({id, peer.incarnation, peer.counter, peer.state});
    if (!peer.record) {
      digest.back().incarnation = Incarnation();
    }
  }
  return digest;
}

std::vector<HostRecord> Membership::RecordsMissingFrom(
    const Heartbeat& heartbeat,
    TimePoint now) const {
  std::map<HostId, Incarnation> named;
  for (const HostHeartbeat& entry : heartbeat.digest) {
    named[entry.host] = entry.incarnation;
  }
  // The sender of a full digest may know hosts that the digest omits.
  const bool is_complete = named.size() < m_options.digest_limit;
  std::vector<HostRecord> records;
  for (const auto& [id, peer] : m_peers) {
    if (records.size() == m_options.digest_limit) {
      break;
    }
    const auto it = named.find(id);
    const bool is_missing =
        it == named.end() ? is_complete : it->second < peer.incarnation;
    const bool is_useful = peer.record && id != heartbeat.sender.host &&
                           ConditionOf(peer, now) != HostCondition::kDead;
    if (is_missing && is_useful) {
      records.push_back(*peer.record);
    }
  }
  return records;
}

std::vector<LeavingTarget> Membership::LeavingTargetUpdates(
    TimePoint now) const {
  std::vector<LeavingTarget> updates;
  for (const auto& [target, since] : m_leaving_targets) {
    const Duration age = now - since;
    if (age <= m_options.leaving_target_ttl) {
      updates.push_back({target, age});
    }
  }
  return updates;
}

}  // namespace applestand
