#include "lib/local_state/follower.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

StateFollower::StateFollower(Options options,
                             EventLoop& loop,
                             PeerCaller& caller,
                             FillFetch fill,
                             OnReply on_reply)
    : m_options(std::move(options)),
      m_loop(loop),
      m_caller(caller),
      m_fill(std::move(fill)),
      m_on_reply(std::move(on_reply)),
      m_freshness(m_options.freshness),
      m_last_reply(loop.Now()) {}

void StateFollower::Start() {
  m_loop.RunEvery(m_options.period, [this] { Ask(); });
}

bool StateFollower::IsFresh() const {
  return m_freshness.MayServe(m_loop.Now(), m_replica.version());
}

void StateFollower::Ask() {
  const bool silent = m_loop.Now() - m_last_reply > m_options.silence;
  if (silent && !m_silent) {
    LogEvent(Event::kControlUnavailable,
             {{"address", m_options.control_address}});
  }
  m_silent = silent;
  if (m_silent) {
    AskOtherHost();
  }
  if (m_asking) {
    return;
  }
  m_asking = true;
  LocalStateFetch fetch;
  fetch.have_version = m_replica.version();
  fetch.have_hosts = m_hosts_digest;
  m_fill(fetch);
  const TimePoint asked = m_loop.Now();
  m_caller.Call(
      m_options.control_address, MessageKind::kLocalState, Encode(fetch),
      m_options.timeout,
      [this, asked](const RpcResult& result) { OnLocalReply(asked, result); });
}

void StateFollower::OnLocalReply(TimePoint asked, const RpcResult& result) {
  m_asking = false;
  Reason reason;
  const auto reply = Decode<LocalStateReply>(result.payload, reason);
  if (result.ran != Ran::kRan || !reply) {
    return;
  }
  m_last_reply = m_loop.Now();
  if (reply->live_hosts) {
    m_live_hosts = *reply->live_hosts;
    m_hosts_digest = reply->hosts_digest;
  }
  m_leaving_targets = reply->leaving_targets;
  TakeConfig(asked, reply->config);
  m_on_reply(*reply);
}

void StateFollower::AskOtherHost() {
  if (m_asking_other || m_live_hosts.empty()) {
    return;
  }
  const HostRecord& other = m_live_hosts[m_next_other++ % m_live_hosts.size()];
  if (other.control_address == m_options.control_address) {
    return;
  }
  m_asking_other = true;
  const TimePoint asked = m_loop.Now();
  m_caller.Call(
      other.control_address, MessageKind::kConfigFetch,
      Encode(ConfigFetch{m_replica.version()}), m_options.timeout,
      [this, asked](const RpcResult& result) { OnOtherReply(asked, result); });
}

void StateFollower::OnOtherReply(TimePoint asked, const RpcResult& result) {
  m_asking_other = false;
  Reason reason;
  const auto reply = Decode<ConfigFetchReply>(result.payload, reason);
  if (result.ran == Ran::kRan && reply) {
    TakeConfig(asked, *reply);
  }
}

void StateFollower::TakeConfig(TimePoint asked, const ConfigFetchReply& reply) {
  Reason reason;
  const ConfigVersion before = m_replica.version();
  if (!m_replica.Apply(reply, reason)) {
    LogEvent(Event::kConfigGap, {{"reason", reason.text}});
    return;
  }
  if (reply.evidence) {
    m_freshness.OnPeerEvidence(asked, *reply.evidence);
  }
  if (m_replica.version() > before) {
    LogEvent(Event::kConfigApplied, {{"version", m_replica.version()}});
  }
}

}  // namespace applestand
