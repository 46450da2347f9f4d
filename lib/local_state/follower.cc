#include "lib/local_state/follower.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

StateFollower::StateFollower(Options options,
                             EventLoop& loop,
                             PeerClient& caller,
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
  m_loop.RunEvery(m_options.poll_interval, [this] { Poll(); });
}

bool StateFollower::IsFresh() const {
  return m_freshness.MayServe(m_loop.Now(), m_replica.version());
}

void StateFollower::Poll() {
  const bool is_unavailable =
      m_loop.Now() - m_last_reply > m_options.unavailable_after;
  if (is_unavailable && !m_is_unavailable) {
    LogEvent(Event::kControlUnavailable,
             {{"address", m_options.control_address}});
  }
  m_is_unavailable = is_unavailable;
  if (m_is_unavailable) {
    PollPeer();
  }
  if (m_poll_pending) {
    return;
  }
  m_poll_pending = true;
  LocalStateFetch fetch;
  fetch.have_version = m_replica.version();
  fetch.known_hosts_digest = m_hosts_digest;
  m_fill(fetch);
  const TimePoint requested_at = m_loop.Now();
  m_caller.Call(m_options.control_address, MessageKind::kLocalState,
                Encode(fetch), m_options.timeout,
                [this, requested_at](const RpcResult& result) {
                  OnLocalReply(requested_at, result);
                });
}

void StateFollower::OnLocalReply(TimePoint requested_at,
                                 const RpcResult& result) {
  m_poll_pending = false;
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
  ApplyConfig(requested_at, reply->config);
  m_on_reply(*reply);
}

void StateFollower::PollPeer() {
  if (m_peer_poll_pending || m_live_hosts.empty()) {
    return;
  }
  const HostRecord& peer = m_live_hosts[m_next_peer++ % m_live_hosts.size()];
  if (peer.control_address == m_options.control_address) {
    return;
  }
  m_peer_poll_pending = true;
  const TimePoint requested_at = m_loop.Now();
  m_caller.Call(peer.control_address, MessageKind::kConfigFetch,
                Encode(ConfigFetch{m_replica.version()}), m_options.timeout,
                [this, requested_at](const RpcResult& result) {
                  OnPeerReply(requested_at, result);
                });
}

void StateFollower::OnPeerReply(TimePoint requested_at,
                                const RpcResult& result) {
  m_peer_poll_pending = false;
  Reason reason;
  const auto reply = Decode<ConfigFetchReply>(result.payload, reason);
  if (result.ran == Ran::kRan && reply) {
    ApplyConfig(requested_at, *reply);
  }
}

void StateFollower::ApplyConfig(TimePoint requested_at,
                                const ConfigFetchReply& reply) {
  Reason reason;
  const ConfigVersion previous_version = m_replica.version();
  if (!m_replica.Apply(reply, reason)) {
    LogEvent(Event::kConfigGap, {{"reason", reason.text}});
    return;
  }
  if (reply.evidence) {
    m_freshness.OnPeerEvidence(requested_at, *reply.evidence);
  }
  if (m_replica.version() > previous_version) {
    LogEvent(Event::kConfigApplied, {{"version", m_replica.version()}});
  }
}

}  // namespace applestand
