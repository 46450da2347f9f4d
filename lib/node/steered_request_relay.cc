// The part of SteeredRequest that passes a request to another host.

#include <utility>

#include "lib/log/log.h"
#include "lib/node/attempt_outcome.h"
#include "lib/node/steered_request.h"

namespace applestand {

namespace {

constexpr int kUnavailable = 503;
// Maximum number of hosts that refuse a request for want of a target before its
// caller gets the refusal.
constexpr size_t kMaxRelayRefusals = 3;

}  // namespace

bool SteeredRequest::DeclineRelayed(const char* reason) {
  if (m_retry_state->attempts() > 0) {
    return false;
  }
  m_relayed->Decline(reason);
  return true;
}

bool SteeredRequest::Relay(TimePoint now) {
  const auto peer =
      m_context.relay().ChoosePeer(m_query.home_regions, m_relay_peers);
  if (!peer) {
    return false;
  }
  m_relay_peers.insert(*peer);
  m_relay_sent = now;
  RelayTerms terms;
  terms.time_left = m_deadline - now;
  terms.attempts_left = m_route->attempts - m_retry_state->attempts();
  terms.tried = m_retry_state->tried();
  terms.service = m_query.service;
  terms.config = m_config->version;
  // Includes the time since the request was checked.
  terms.config_age = m_config_age + Age();
  m_relay_call = m_context.relay().Send(
      *peer, m_exchange->request(), terms,
      [self = shared_from_this(), peer = *peer](RequestRelay::Result result) {
        self->OnRelayEnd(peer, std::move(result));
      });
  return true;
}

void SteeredRequest::ReportRelayedNotices(const RequestRelay::Result& result) {
  if (result.target.empty()) {
    return;
  }
  const ResponseMetadata metadata =
      m_context.adapter().ReadResponseMetadata(result.response);
  SteeringTarget target;
  target.id = result.target;
  target.incarnation = result.target_incarnation;
  // A rest concerns only the host that the target has turned away.
  ReportLeaving(target, m_relay_sent, metadata);
  ReportRateLimit(target.id, m_relay_sent, metadata, AttemptOutcome::kAnswered);
}

void SteeredRequest::OnRelayEnd(const HostId& peer,
                                RequestRelay::Result result) {
  const auto self = shared_from_this();
  const TimePoint now = m_context.Now();
  m_relay_call = nullptr;
  LogEvent(Event::kRequestRelayed,
           {{"request", m_metadata.request_id},
            {"host", peer},
            {"ran", ToString(result.ran)},
            {"status", result.ran == Ran::kRan ? result.response.status : 0},
            {"error", result.error},
            {"attempts", m_retry_state->attempts()},
            {"took_ms", ToMillis(now - m_relay_sent)},
            {"age_ms", ToMillis(Age())}});
  switch (result.ran) {
    case Ran::kRan:
      ReportRelayedNotices(result);
      if (result.no_target && ++m_relay_refusals < kMaxRelayRefusals) {
        m_relay_refusal = std::move(result.response);
        Attempt();
        return;
      }
      ForwardRelayedResponse(result.response);
      return;
    case Ran::kNotRun:
      Attempt();
      return;
    case Ran::kMayHaveRun: {
      AttemptResult attempt;
      attempt.ran = Ran::kMayHaveRun;
      const RetryDecision decision = m_retry_state->OnAttempt(attempt, now);
      if (decision.kind == RetryDecision::Kind::kRetry) {
        Attempt();
      } else {
        GiveUp(decision);
      }
      return;
    }
  }
}

void SteeredRequest::ForwardRelayedResponse(const HttpResponse& response) {
  // The other host does not know what became of earlier attempts.
  if (SaysNotRun(response.status) &&
      m_retry_state->combined_ran() == Ran::kMayHaveRun) {
    GiveUp(m_retry_state->OnCannotSend(Duration::zero(),
                                       "another host refused a retry"));
    return;
  }
  // The other host refused the request, so that its token is left.
  if (response.status == kUnavailable && std::exchange(m_token_taken, false)) {
    m_context.region().ReturnToken(m_account->id);
  }
  m_context.metrics().OnRelayedResponse(response.status, Age());
  m_exchange->Respond(response);
}

}  // namespace applestand
