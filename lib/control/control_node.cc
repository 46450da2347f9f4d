#include "lib/control/control_node.h"

#include <utility>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
constexpr Duration kMovePeriod = std::chrono::milliseconds(500);
constexpr Duration kHostListPeriod = std::chrono::seconds(2);
constexpr Duration kHeartbeatTimeout = std::chrono::seconds(1);
/// Share leases are renewed after 1/6 of their length, so an outage of the
/// table service that begins just before a renewal leaves 5/6 of the lease.
constexpr int kRenewalsPerLease = 6;
/// Maximum time that a stopping process waits for its contract shares to be
/// released.
constexpr Duration kReleaseTimeout = std::chrono::seconds(10);

HostRecord MakeSelfRecord(const HostSettings& settings,
                          Incarnation incarnation) {
  HostRecord record;
  record.host = settings.host;
  record.incarnation = incarnation;
  record.region = settings.region;
  record.zone = settings.zone;
  record.control_address = settings.control_rpc;
  record.entry_address = settings.entry_rpc;
  record.http_address = settings.entry_listen;
  return record;
}

ConfigSync::Options MakeConfigSyncOptions(const HostSettings& settings,
                                          Incarnation incarnation) {
  ConfigSync::Options options;
  options.self = settings.host;
  options.store_region = settings.platform_region;
  options.freshness.max_evidence_age = settings.freshness_limit;
  options.freshness.quorum = ComputeQuorumSizes(settings.platform_region_hosts);
  options.seed = incarnation.value();
  return options;
}

ShareManager::Options MakeShareManagerOptions(const HostSettings& settings) {
  ShareManager::Options options;
  options.lease = settings.seat_lease;
  options.renew_interval = settings.seat_lease / kRenewalsPerLease;
  return options;
}

}  // namespace

ControlNode::ControlNode(const HostSettings& settings,
                         Incarnation incarnation,
                         const Clock& clock,
                         EventLoop& loop,
                         PeerClient& caller,
                         PlatformServices platform)
    : m_settings(settings),
      m_loop(loop),
      m_caller(caller),
      m_host_list(platform.hosts),
      m_live_hosts(loop.Now()),
      m_membership(Membership::Options(),
                   MakeSelfRecord(settings, incarnation)),
      m_config(MakeConfigSyncOptions(settings, incarnation),
               clock,
               loop,
               caller,
               m_membership,
               platform.table,
               platform.objects),
      m_shares(settings.host,
               incarnation,
               MakeShareManagerOptions(settings),
               clock,
               loop,
               platform.table),
      m_moves(loop, m_config),
      m_host_list_worker(clock) {}

void ControlNode::Start() {
  Register();
  OnHostList({});
  m_loop.RunEvery(kTickPeriod, [this] { Tick(); });
  m_loop.RunEvery(kMovePeriod, [this] { m_moves.Tick(); });
  m_loop.RunEvery(kHostListPeriod, [this] { ReadHostList(); });
}

void ControlNode::Tick() {
  m_config.Tick();
  SendHeartbeats();
  std::vector<HostId> live;
  for (const HostRecord& host : m_membership.LiveHosts(m_loop.Now())) {
    live.push_back(host.host);
  }
  m_shares.Tick(m_config.state().contract_share_count, live);
  LogPeerChanges();
  FinishStopIfDue();
}

void ControlNode::SendHeartbeats() {
  for (auto& outgoing : m_membership.DueHeartbeats(m_loop.Now())) {
    const TimePoint sent_at = m_loop.Now();
    m_caller.Call(
        outgoing.address, MessageKind::kHeartbeat, Encode(outgoing.heartbeat),
        kHeartbeatTimeout, [this, sent_at](const RpcResult& result) {
          Reason reason;
          const auto reply = Decode<HeartbeatReply>(result.payload, reason);
          if (result.ran != Ran::kRan || !reply) {
            return;
          }
          m_membership.OnHeartbeatReply(*reply, m_loop.Now());
          m_config.OnPeerResponse(reply->sender, sent_at, reply->evidence,
                                  reply->attestation);
        });
  }
}

void ControlNode::ReadHostList() {
  m_host_list_worker.Post([this] {
    Reason reason;
    const auto registered = m_host_list.Read(reason);
    if (!registered) {
      return;
    }
    std::vector<ListedHost> hosts;
    for (const RegisteredHost& host : *registered) {
      hosts.push_back({host.host, host.address, host.leaving});
    }
    m_loop.Post([this, hosts] { OnHostList(hosts); });
  });
}

void ControlNode::OnHostList(std::vector<ListedHost> hosts) {
  for (const std::string& seed : m_settings.seeds) {
    if (seed != m_settings.control_rpc) {
      hosts.push_back({HostId("seed-" + seed), seed, false});
    }
  }
  m_membership.OnHostList(hosts, m_loop.Now());
}

void ControlNode::Register() {
  const bool leaving = m_membership.self().state == HostState::kLeaving;
  m_host_list_worker.Post([this, leaving] {
    Reason reason;
    const RegisteredHost self{m_settings.host, m_settings.region,
                              m_settings.zone, m_settings.control_rpc, leaving};
    if (!m_host_list.Put(self, reason)) {
      LogEvent(Event::kNotRegistered, {{"reason", reason.text}});
    }
  });
}

void ControlNode::LogPeerChanges() {
  std::map<HostId, HostCondition> conditions;
  const TimePoint now = m_loop.Now();
  for (const HostRecord& host : m_membership.LiveHosts(now)) {
    conditions[host.host] = HostCondition::kLive;
  }
  for (const HostRecord& host : m_membership.LeavingHosts(now)) {
    conditions[host.host] = HostCondition::kLeaving;
  }
  for (const auto& [host, condition] : conditions) {
    if (const auto it = m_last_conditions.find(host);
        it == m_last_conditions.end() || it->second != condition) {
      LogEvent(condition == HostCondition::kLive ? Event::kPeerLive
                                                 : Event::kPeerLeaving,
               {{"host", host}});
    }
  }
  for (const auto& [host, condition] : m_last_conditions) {
    if (conditions.count(host) == 0) {
      LogEvent(Event::kPeerDead, {{"host", host}});
    }
  }
  m_last_conditions = std::move(conditions);
}

void ControlNode::OnCall(MessageKind kind,
                         std::string payload,
                         const RpcReply& reply) {
  m_loop.Post([this, kind, payload = std::move(payload), reply] {
    reply(Dispatch(kind, payload));
  });
}

std::string ControlNode::Dispatch(MessageKind kind,
                                  const std::string& payload) {
  Reason reason;
  switch (kind) {
    case MessageKind::kHeartbeat:
      return OnHeartbeat(payload);
    case MessageKind::kLocalState:
      return OnLocalState(payload);
    case MessageKind::kConfigPush:
      if (const auto push = Decode<ConfigPush>(payload, reason)) {
        return Encode(m_config.OnPush(*push));
      }
      break;
    case MessageKind::kConfigFetch:
      if (const auto fetch = Decode<ConfigFetch>(payload, reason)) {
        return Encode(m_config.UpdateSince(fetch->have_version));
      }
      break;
    default:
      break;
  }
  LogEvent(Event::kBadMessage,
           {{"kind", static_cast<int>(kind)}, {"reason", reason.text}});
  return "";
}

std::string ControlNode::OnHeartbeat(const std::string& payload) {
  Reason reason;
  const auto heartbeat = Decode<Heartbeat>(payload, reason);
  if (!heartbeat) {
    LogEvent(Event::kBadMessage, {{"reason", reason.text}});
    return "";
  }
  HeartbeatReply reply = m_membership.OnHeartbeat(*heartbeat, m_loop.Now());
  reply.evidence = m_config.Evidence();
  reply.attestation = m_config.MakeAttestation(m_settings.region);
  return Encode(reply);
}

std::string ControlNode::OnLocalState(const std::string& payload) {
  Reason reason;
  const auto fetch = Decode<LocalStateFetch>(payload, reason);
  if (!fetch) {
    LogEvent(Event::kBadMessage, {{"reason", reason.text}});
    return "";
  }
  const TimePoint now = m_loop.Now();
  for (const TargetId& target : fetch->leaving_targets) {
    m_membership.OnTargetLeaving(target, now);
  }
  if (fetch->is_entry) {
    m_shares.OnEntryGrant(fetch->grant);
    m_moves.OnReport(fetch->loads);
    if (fetch->leaving) {
      Leave();
    }
  }
  LocalStateReply reply;
  reply.config = m_config.UpdateSince(fetch->have_version);
  m_live_hosts.Fill(fetch->known_hosts_digest, m_membership.LiveHosts(now), now,
                    reply);
  reply.leaving_targets = m_membership.LeavingTargets(now);
  reply.grant = m_shares.Grant();
  return Encode(reply);
}

void ControlNode::Leave() {
  if (m_membership.self().state == HostState::kLeaving) {
    return;
  }
  m_membership.Leave();
  Register();
  m_shares.BeginStop();
}

void ControlNode::BeginStop(std::function<void()> done) {
  m_on_stopped = std::move(done);
  m_stop_deadline = m_loop.Now() + kReleaseTimeout;
  Leave();
}

void ControlNode::FinishStopIfDue() {
  if (!m_on_stopped) {
    return;
  }
  if (m_shares.Stopped() || m_loop.Now() >= m_stop_deadline) {
    const auto done = std::move(m_on_stopped);
    m_on_stopped = nullptr;
    done();
  }
}

}  // namespace applestand
