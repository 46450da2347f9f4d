#include "lib/control/config_sync.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

ConfigSync::ConfigSync(Options options,
                       const Clock& clock,
                       EventLoop& loop,
                       PeerClient& caller,
                       Membership& membership,
                       TableService& table,
                       ObjectStore& objects)
    : m_options(std::move(options)),
      m_clock(clock),
      m_loop(loop),
      m_caller(caller),
      m_membership(membership),
      m_head_poll_scheduler(HeadPollScheduler::Options(),
                            m_options.seed,
                            loop.Now()),
      m_freshness(m_options.freshness),
      m_confirmations(m_options.freshness.quorum),
      m_read_log(table, objects, ConfigLog::Options()),
      m_append_log(table, objects, ConfigLog::Options()),
      m_read_worker(clock),
      m_append_worker(clock) {}

bool ConfigSync::IsFresh() const {
  return m_freshness.MayServe(m_loop.Now(), m_replica.version());
}

void ConfigSync::Tick() {
  LogFreshnessChange();
  CompletePending();
  if (!m_head_poll_scheduler.StartPollIfDue(m_loop.Now())) {
    return;
  }
  const ConfigVersion held_version = m_replica.version();
  m_read_worker.Post([this, held_version] {
    const TimePoint sent_at = m_clock.Now();
    Reason reason;
    const std::optional<LogHead> head = m_read_log.ReadHead(reason);
    std::optional<ConfigFetchReply> update;
    if (head && head->version > held_version &&
        m_read_log.CatchUp(m_store_replica, reason)) {
      update = m_store_replica.UpdateSince(held_version);
    }
    m_loop.Post(
        [this, sent_at, head, update] { OnHeadRead(sent_at, head, update); });
  });
}

void ConfigSync::OnHeadRead(TimePoint sent_at,
                            const std::optional<LogHead>& head,
                            const std::optional<ConfigFetchReply>& update) {
  m_head_poll_scheduler.OnPollDone(m_loop.Now());
  RecordStoreAvailability(head.has_value());
  if (!head) {
    m_freshness.OnHeadReadFailed();
    return;
  }
  Reason reason;
  if (update && !m_replica.Apply(*update, reason)) {
    LogEvent(Event::kConfigGap, {{"reason", reason.text}});
  }
  m_freshness.OnHeadRead(sent_at, head->version);
  RecordAppliedVersion();
}

void ConfigSync::Append(const Change& change,
                        std::optional<ConfigVersion> expected,
                        std::function<void(ChangeResult)> done) {
  m_append_worker.Post([this, change, expected, done = std::move(done)] {
    const AppendOutcome outcome = m_append_log.Append(change, expected);
    m_loop.Post(
        [this, change, outcome, done] { OnAppended(change, outcome, done); });
  });
}

void ConfigSync::OnAppended(Change change,
                            const AppendOutcome& outcome,
                            std::function<void(ChangeResult)> done) {
  ChangeResult result;
  result.outcome = outcome;
  if (outcome.kind != AppendOutcome::Kind::kCommitted) {
    LogEvent(Event::kConfigRefused, {{"change", change.id},
                                     {"outcome", ToString(outcome.kind)},
                                     {"reason", outcome.reason.text}});
    done(result);
    return;
  }
  LogEvent(Event::kConfigAccepted,
           {{"change", change.id}, {"version", outcome.version}});
  change.version = outcome.version;
  m_replica.Apply(change);
  RecordAppliedVersion();
  m_pending_changes.push_back(
      {result, m_loop.Now() + m_options.confirm_timeout, std::move(done)});
  Push(change);
  CompletePending();
}

void ConfigSync::Push(const Change& change) {
  const ConfigPush push{{change}, m_replica.version()};
  const std::string payload = Encode(push);
  for (const HostRecord& host : m_membership.LiveHosts(m_loop.Now())) {
    if (host.host == m_options.self) {
      continue;
    }
    const bool in_store_region = host.region == m_options.store_region;
    m_caller.Call(host.control_address, MessageKind::kConfigPush, payload,
                  m_options.push_timeout,
                  [this, in_store_region](const RpcResult& result) {
                    Reason reason;
                    const auto reply =
                        Decode<ConfigPushReply>(result.payload, reason);
                    if (result.ran != Ran::kRan || !reply) {
                      return;
                    }
                    m_confirmations.OnApplied(reply->host, in_store_region,
                                              reply->applied);
                    CompletePending();
                  });
  }
}

ConfigPushReply ConfigSync::OnPush(const ConfigPush& push) {
  const ConfigReplica::Result result = m_replica.Apply(push.changes);
  RecordAppliedVersion();
  if (result == ConfigReplica::Result::kGap) {
    LogEvent(Event::kConfigGap,
             {{"have", m_replica.version()}, {"head", push.head_version}});
  }
  return {m_options.self, m_replica.version()};
}

ConfigFetchReply ConfigSync::UpdateSince(ConfigVersion held_version) const {
  ConfigFetchReply reply = m_replica.UpdateSince(held_version);
  reply.evidence = Evidence();
  return reply;
}

void ConfigSync::OnPeerResponse(const HostRecord& peer,
                                TimePoint sent_at,
                                const std::optional<HeadEvidence>& evidence,
                                const std::optional<Attestation>& attestation) {
  const bool in_store_region = peer.region == m_options.store_region;
  m_confirmations.OnApplied(peer.host, in_store_region, peer.config_version);
  if (evidence) {
    m_freshness.OnPeerEvidence(sent_at, *evidence);
    m_head_poll_scheduler.OnEvidence(sent_at - evidence->age);
  }
  if (attestation && in_store_region) {
    m_freshness.OnAttestation(sent_at, peer.host, *attestation);
  }
  const bool behind = m_freshness.IsBehind(m_replica.version()) ||
                      peer.config_version > m_replica.version();
  if (behind) {
    FetchFrom(peer);
  }
}

void ConfigSync::FetchFrom(const HostRecord& peer) {
  if (m_fetching) {
    return;
  }
  m_fetching = true;
  const TimePoint sent_at = m_loop.Now();
  m_caller.Call(
      peer.control_address, MessageKind::kConfigFetch,
      Encode(ConfigFetch{m_replica.version()}), m_options.push_timeout,
      [this, sent_at](const RpcResult& result) {
        m_fetching = false;
        Reason reason;
        const auto reply = Decode<ConfigFetchReply>(result.payload, reason);
        if (result.ran != Ran::kRan || !reply) {
          return;
        }
        if (!m_replica.Apply(*reply, reason)) {
          return;
        }
        if (reply->evidence) {
          m_freshness.OnPeerEvidence(sent_at, *reply->evidence);
        }
        RecordAppliedVersion();
      });
}

std::optional<HeadEvidence> ConfigSync::Evidence() const {
  return m_freshness.Evidence(m_loop.Now());
}

std::optional<Attestation> ConfigSync::MakeAttestation(
    const RegionId& own_region) const {
  if (own_region != m_options.store_region) {
    return std::nullopt;
  }
  return m_freshness.MakeAttestation(m_replica.version());
}

void ConfigSync::RecordAppliedVersion() {
  const ConfigVersion version = m_replica.version();
  if (version == m_membership.self().config_version) {
    return;
  }
  m_membership.SetConfigVersion(version);
  const bool in_store_region =
      m_membership.self().region == m_options.store_region;
  m_confirmations.OnApplied(m_options.self, in_store_region, version);
  LogEvent(Event::kConfigApplied, {{"version", version}});
}

void ConfigSync::RecordStoreAvailability(bool available) {
  if (available != m_store_available) {
    LogEvent(available ? Event::kStoreAvailable : Event::kStoreUnavailable);
  }
  m_store_available = available;
}

void ConfigSync::LogFreshnessChange() {
  const bool fresh = IsFresh();
  if (fresh != m_was_fresh) {
    LogEvent(fresh ? Event::kConfigFresh : Event::kConfigStale,
             {{"version", m_replica.version()}});
  }
  m_was_fresh = fresh;
}

void ConfigSync::CompletePending() {
  std::vector<PendingChange> waiting;
  waiting.swap(m_pending_changes);
  for (PendingChange& change : waiting) {
    const ConfigVersion version = change.result.outcome.version;
    change.result.accepted = m_confirmations.IsAccepted(version);
    if (!change.result.accepted && m_loop.Now() < change.confirm_deadline) {
      m_pending_changes.push_back(std::move(change));
      continue;
    }
    change.result.confirmed_by = m_confirmations.ConfirmedBy(version);
    change.done(change.result);
  }
}

}  // namespace applestand
