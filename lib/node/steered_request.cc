#include "lib/node/steered_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "lib/log/log.h"
#include "lib/net/tcp.h"
#include "lib/node/attempt_outcome.h"

namespace applestand {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Reasons for which this host does not send a request itself.
constexpr const char* kHostLeaves = "host-leaves";
constexpr const char* kNoLinks = "host-has-no-links-to-targets";
// Retry-After of a host that is leaving. Short, because other hosts can serve
// the request immediately.
constexpr Duration kRetryAfterWhenLeaving = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
// Timeouts for connecting to targets of the local region and of other regions.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
constexpr Duration kRemoteConnectTimeout = std::chrono::milliseconds(400);
// If a reused connection fails this soon after a request was sent on it, the
// target had closed it, or had lost its state, before the request.
constexpr Duration kIdleConnectionLossTime = std::chrono::milliseconds(100);
// A repeatable request is hedged once the first target has taken this many
// times the expected time, but not before the route's latency objective.
constexpr int kHedgeFactor = 3;

size_t MemoryOf(const HttpResponse& response) {
  size_t bytes = response.body.capacity();
  for (const HttpHeader& header : response.headers) {
    bytes += sizeof(header) + header.name.size() + header.value.size();
  }
  return bytes;
}

std::string RateText(const std::optional<double>& requests_per_s) {
  return requests_per_s ? fmt::format("{:g}", *requests_per_s) : "none";
}

}  // namespace

SteeredRequest::SteeredRequest(SteeringContext& context,
                               std::shared_ptr<CallerExchange> exchange)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_metadata(context.adapter().ReadRequestMetadata(m_exchange->request())),
      m_failed_response_memory(context.failed_response_budget()) {}

SteeredRequest::SteeredRequest(SteeringContext& context,
                               const std::shared_ptr<RelayedExchange>& exchange)
    : m_context(context),
      m_exchange(exchange),
      m_relayed(exchange),
      m_metadata(context.adapter().ReadRequestMetadata(m_exchange->request())),
      m_failed_response_memory(context.failed_response_budget()) {}

Duration SteeredRequest::Age() const {
  return m_context.Now() - m_exchange->arrival_time();
}

void SteeredRequest::Start() {
  const TimePoint now = m_context.Now();
  if (!Admit(now)) {
    return;
  }
  if (m_account == nullptr || m_account->rate <= 0 || m_relayed != nullptr) {
    m_exchange->OnCallerDisconnect(
        [self = shared_from_this()](const Disconnection& disconnection) {
          self->OnCallerDisconnect(disconnection);
        });
    Attempt();
    return;
  }
  m_context.region().Acquire(
      *m_account, [self = shared_from_this()](std::optional<Duration> wait) {
        self->OnLimitResult(wait);
      });
}

void SteeredRequest::OnLimitResult(std::optional<Duration> retry_after) {
  if (retry_after) {
    Refuse(kTooManyRequests, "account-over-limit",
           std::min(*retry_after, kMaxRetryAfter));
    return;
  }
  if (m_exchange->caller_disconnected()) {
    m_context.region().ReturnToken(m_account->id);
    return;
  }
  m_token_taken = true;
  m_exchange->OnCallerDisconnect(
      [self = shared_from_this()](const Disconnection& disconnection) {
        self->OnCallerDisconnect(disconnection);
      });
  Attempt();
}

std::variant<TargetChoice, NoTarget> SteeredRequest::ChooseTarget(
    TimePoint now) {
  m_query.time_left = m_deadline - now;
  m_query.latency_objective_left =
      m_exchange->arrival_time() + m_route->latency_objective - now;
  m_query.tried = m_retry_state->tried();
  if (m_relayed != nullptr) {
    const std::set<TargetId>& tried = m_relayed->terms().tried;
    m_query.tried.insert(tried.begin(), tried.end());
  }
  for (const auto& [target, attempt_in_flight] : m_attempts_in_flight) {
    m_query.tried.insert(target);
  }
  return m_context.selector().Choose(m_query, now);
}

void SteeredRequest::Attempt() {
  const TimePoint now = m_context.Now();
  if (!m_retry_state->CanStartAttempt(now)) {
    GiveUp(
        m_retry_state->OnCannotSend(Duration::zero(), "the deadline has come"));
    return;
  }
  if (const auto remaining =
          m_context.quarantine().RemainingTime(m_fingerprint)) {
    if (m_retry_state->attempts() == 0) {
      Refuse(kUnavailable, kCrashesTargets, *remaining);
    } else {
      GiveUp(m_retry_state->OnCannotSend(*remaining, kCrashesTargets));
    }
    return;
  }
  if (!m_context.CanPassOn(m_deadline)) {
    EndBecauseOfStop();
    return;
  }
  if (m_context.reachability().lost()) {
    if (m_relayed == nullptr ? Relay(now) : DeclineRelayed(kNoLinks)) {
      return;
    }
    if (m_relay_refusal) {
      ForwardRelayedResponse(*m_relay_refusal);
      return;
    }
  }
  const auto choice = ChooseTarget(now);
  if (const auto* no_target = std::get_if<NoTarget>(&choice)) {
    if (m_retry_state->attempts() == 0) {
      // Queues are the targets' own and are as long for other hosts.
      if (m_relayed != nullptr &&
          no_target->reason != NoTargetReason::kOverloaded) {
        m_relayed->SetNoTarget();
      }
      Refuse(kUnavailable, ToString(no_target->reason),
             no_target->reason == NoTargetReason::kResting
                 ? no_target->retry_after
                 : std::min(no_target->retry_after, kMaxRetryAfter));
    } else {
      GiveUp(m_retry_state->OnCannotSend(no_target->retry_after));
    }
    return;
  }
  Send(std::get<TargetChoice>(choice), now);
}

void SteeredRequest::EndBecauseOfStop() {
  if (m_relayed != nullptr && DeclineRelayed(kHostLeaves)) {
    return;
  }
  if (m_retry_state->attempts() == 0) {
    Refuse(kUnavailable, kHostLeaves, kRetryAfterWhenLeaving);
  } else {
    GiveUp(m_retry_state->OnCannotSend(kRetryAfterWhenLeaving, kHostLeaves));
  }
}

void SteeredRequest::EndBecauseOfExit() {
  const auto self = shared_from_this();
  if (m_attempts_in_flight.empty() && m_relay_call == nullptr) {
    Refuse(kUnavailable, kHostLeaves, kRetryAfterWhenLeaving);
    return;
  }
  LogEnd(Event::kRequestCut, kHostLeaves);
  CancelAttempts();
  m_relay_call = nullptr;
  RetryDecision decision;
  decision.kind = RetryDecision::Kind::kGiveUp;
  decision.ran = Ran::kMayHaveRun;
  decision.reason = kHostLeaves;
  GiveUp(decision);
}

void SteeredRequest::Send(const TargetChoice& choice, TimePoint now) {
  m_conditions =
      m_context.selector().OnSent(choice.target, m_query.object, now);
  ForwardingInfo forwarding;
  forwarding.target = choice.target;
  forwarding.time_left = m_deadline - now;
  if (m_account != nullptr) {
    forwarding.account = m_account->id;
  }
  CallOptions options;
  options.connect_timeout =
      choice.remote ? kRemoteConnectTimeout : kConnectTimeout;
  options.call_timeout = m_deadline - now;
  options.max_idle = m_context.idle_timeout_estimator().MaxIdleTime(
      m_query.service, m_route->repeatable, now);
  // Its response would not be believed on another one.
  options.new_connection = m_metadata.request_id.empty();
  options.log_id = m_metadata.request_id;
  options.head_request = m_exchange->request().method == "HEAD";
  options.owner_of = [&adapter = m_context.adapter(),
                      id =
                          m_metadata.request_id](const HttpResponse& response) {
    return adapter.OwnerOf(response, id);
  };
  options.response_id = m_metadata.request_id;
  m_expected_time = choice.expected;
  InFlightAttempt& attempt_in_flight = m_attempts_in_flight[choice.target];
  attempt_in_flight.sent = now;
  attempt_in_flight.conditions = m_conditions;
  if (const SteeringTarget* target = m_context.selector().Find(choice.target)) {
    attempt_in_flight.target = *target;
  }
  attempt_in_flight.call = m_context.http_client().Call(
      choice.address,
      m_context.adapter().SerializeForTarget(m_exchange->request(), forwarding),
      options,
      [self = shared_from_this(), target = choice.target](CallResult result) {
        self->OnCallEnd(target, std::move(result));
      });
  const Duration hedge_after = std::max(
      Duration(choice.expected * kHedgeFactor), m_route->latency_objective);
  if (m_route->repeatable && m_attempts_in_flight.size() == 1 &&
      now + hedge_after < m_deadline) {
    m_hedge_timer = std::make_unique<Timer>(m_context.reactor());
    m_hedge_timer->Start(hedge_after, [this] { Hedge(); });
  }
}

void SteeredRequest::Hedge() {
  const TimePoint now = m_context.Now();
  if (m_attempts_in_flight.size() != 1 || m_context.reachability().lost() ||
      m_context.quarantine().RemainingTime(m_fingerprint)) {
    return;
  }
  const auto choice = ChooseTarget(now);
  const auto* target = std::get_if<TargetChoice>(&choice);
  if (target != nullptr && m_retry_state->TryHedge(now, 1)) {
    LogEvent(Event::kRequestHedged,
             {{"request", m_metadata.request_id},
              {"target", m_attempts_in_flight.begin()->first},
              {"also", target->target},
              {"after_ms",
               ToMillis(now - m_attempts_in_flight.begin()->second.sent)}});
    Send(*target, now);
  }
}

void SteeredRequest::CancelAttempts() {
  const TimePoint now = m_context.Now();
  m_hedge_timer = nullptr;
  for (const auto& [target, attempt_in_flight] :
       std::exchange(m_attempts_in_flight, {})) {
    m_context.selector().OnAttemptEnd(
        target, AttemptOutcome::kAbandoned, now - attempt_in_flight.sent,
        std::nullopt, attempt_in_flight.conditions, now);
  }
}

void SteeredRequest::ReportToQuarantine(const SteeringTarget& target,
                                        TimePoint sent,
                                        const CallResult& result,
                                        const ResponseMetadata& metadata,
                                        AttemptOutcome outcome) {
  QuarantineService& quarantine = m_context.quarantine();
  if (outcome == AttemptOutcome::kUnreachable) {
    if (IsConnectionRefused(result.error)) {
      quarantine.OnConnectionRefused(target);
    }
  } else if (result.ran == Ran::kMayHaveRun) {
    quarantine.OnNoResponse(m_fingerprint, target, sent,
                            result.connection_failed
                                ? QuarantineService::Connection::kDropped
                                : QuarantineService::Connection::kOpen);
  } else if (metadata.genuine && !metadata.not_run) {
    quarantine.OnCompleteResponse(m_fingerprint, target);
  }
}

void SteeredRequest::ReportRateLimit(const TargetId& target,
                                     TimePoint sent,
                                     const ResponseMetadata& metadata,
                                     AttemptOutcome outcome) {
  // A limit ends with a response of the target's own that names none; other
  // responses without one may come from elsewhere.
  if (outcome == AttemptOutcome::kMisdirected ||
      (!metadata.max_request_rate && outcome != AttemptOutcome::kAnswered)) {
    return;
  }
  const auto change = m_context.selector().OnRateLimit(
      target, metadata.max_request_rate, sent, m_context.Now());
  if (change) {
    LogEvent(Event::kTargetLimitChanged,
             {{"target", target},
              {"per_s", RateText(change->after)},
              {"before_per_s", RateText(change->before)},
              {"request", m_metadata.request_id}});
  }
}

void SteeredRequest::ReportRest(const SteeringTarget& target,
                                TimePoint sent,
                                const CallResult& result,
                                const ResponseMetadata& metadata) {
  const auto rest = RequestedRest(result, metadata);
  if (rest &&
      m_context.selector().OnRest(target, sent, *rest, m_context.Now())) {
    LogEvent(Event::kTargetRests, {{"target", target.id},
                                   {"rest_ms", ToMillis(*rest)},
                                   {"request", m_metadata.request_id}});
  }
}

void SteeredRequest::ReportLeaving(const SteeringTarget& target,
                                   TimePoint sent,
                                   const ResponseMetadata& metadata) {
  // A misdirected response comes from another target.
  if (metadata.leaving && !metadata.misdirected &&
      m_context.selector().OnLeaving(target, sent, m_context.Now())) {
    LogEvent(Event::kTargetLeaves,
             {{"target", target.id}, {"request", m_metadata.request_id}});
  }
}

void SteeredRequest::OnCallEnd(const TargetId& target, CallResult result) {
  const auto self = shared_from_this();
  const TimePoint now = m_context.Now();
  const auto attempt_in_flight = m_attempts_in_flight.find(target);
  const TimePoint sent = attempt_in_flight->second.sent;
  const AttemptConditions conditions = attempt_in_flight->second.conditions;
  const Duration took = now - sent;
  const SteeringTarget sent_to = std::move(attempt_in_flight->second.target);
  m_attempts_in_flight.erase(attempt_in_flight);
  const ResponseMetadata metadata =
      result.ran == Ran::kRan
          ? m_context.adapter().ReadResponseMetadata(result.response)
          : ResponseMetadata();
  AttemptResult attempt;
  attempt.target = target;
  const AttemptOutcome outcome =
      ClassifyOutcome(result, metadata, m_route->repeatable, attempt);
  if (outcome == AttemptOutcome::kLost && result.connection_failed &&
      !result.opened_connection && took < kIdleConnectionLossTime) {
    m_context.idle_timeout_estimator().OnIdleConnectionLost(
        m_query.service, result.connection_idle_time, now);
  }
  m_context.selector().OnAttemptEnd(target, outcome, took, metadata.load,
                                    conditions, now);
  m_context.metrics().OnAttempt(outcome, took);
  m_context.reachability().OnAttemptEnd(sent_to, sent, result);
  ReportToQuarantine(sent_to, sent, result, metadata, outcome);
  ReportRateLimit(target, sent, metadata, outcome);
  ReportRest(sent_to, sent, result, metadata);
  ReportLeaving(sent_to, sent, metadata);
  const RetryDecision decision = m_retry_state->OnAttempt(
      attempt, now, static_cast<uint32_t>(m_attempts_in_flight.size()));
  if (decision.kind == RetryDecision::Kind::kReturnResponse) {
    CancelAttempts();
    ForwardResponse(target, std::move(result.response));
    return;
  }
  const int status = result.ran == Ran::kRan ? result.response.status : 0;
  const bool kept = outcome == AttemptOutcome::kError &&
                    KeepFailedResponse(target, result.response);
  LogEvent(Event::kAttemptFailed,
           {{"request", m_metadata.request_id},
            {"fingerprint", m_fingerprint.Hex()},
            {"target", target},
            {"end", ToString(outcome)},
            {"status", status},
            {"error", result.error},
            {"connection", result.opened_connection ? "new" : "reused"},
            {"requests_on_connection", result.requests_on_connection},
            {"identified", result.identified},
            {"took_ms", ToMillis(took)},
            {"retry_after_ms",
             ToMillis(metadata.retry_after.value_or(Duration::zero()))},
            {"ran", ToString(attempt.ran)},
            {"retry", decision.kind == RetryDecision::Kind::kRetry &&
                          (kept || outcome != AttemptOutcome::kError)}});
  if (outcome == AttemptOutcome::kError && !kept) {
    CancelAttempts();
    ForwardResponse(target, std::move(result.response));
    return;
  }
  if (decision.kind == RetryDecision::Kind::kRetry) {
    m_hedge_timer = nullptr;
    Attempt();
    return;
  }
  if (decision.kind == RetryDecision::Kind::kGiveUp) {
    m_hedge_timer = nullptr;
    GiveUp(decision);
  }
}

bool SteeredRequest::KeepFailedResponse(const TargetId& target,
                                        HttpResponse& response) {
  if (!m_failed_response_memory.TryResize(MemoryOf(response))) {
    return false;
  }
  m_failed_response = std::move(response);
  m_failed_target = target;
  return true;
}

void SteeredRequest::ForwardResponse(const TargetId& target,
                                     HttpResponse response) {
  LogEvent(Event::kRequestServed,
           {{"request", m_metadata.request_id},
            {"route", m_route->id},
            {"account", m_account != nullptr ? m_account->id.value() : "-"},
            {"service", m_query.service},
            {"object", m_query.object.value_or(0)},
            {"target", target},
            {"expected_ms", ToMillis(m_expected_time)},
            {"queue_per_slot", m_conditions.queue_per_slot},
            {"warm", m_conditions.warm},
            {"attempts", m_retry_state->attempts()},
            {"status", response.status},
            {"took_ms", ToMillis(Age())},
            {"config", m_config->version},
            {"config_age_ms", ToMillis(m_config_age)}});
  if (m_relayed != nullptr) {
    const SteeringTarget* responder = m_context.selector().Find(target);
    m_relayed->SetResponder(
        target, responder != nullptr ? responder->incarnation : Incarnation());
  }
  m_context.metrics().OnTargetResponse(response.status, Age());
  // A target that has not run a request says so by ResponseMetadata::not_run.
  if (SaysNotRun(response.status)) {
    m_context.metrics().OnLocalResponse(kBadGateway, "answer-unusable");
    m_exchange->Respond(m_context.adapter().MakeLocalResponse(
        kBadGateway, "the target failed", m_metadata.request_id, std::nullopt));
    return;
  }
  m_exchange->Respond(
      m_context.adapter().MakeCallerResponse(std::move(response)));
}

void SteeredRequest::Refuse(int status,
                            const char* reason,
                            std::optional<Duration> retry_after) {
  if (std::exchange(m_token_taken, false)) {
    m_context.region().ReturnToken(m_account->id);
  }
  LogEvent(
      Event::kRequestRefused,
      {{"request", m_metadata.request_id},
       {"fingerprint", m_fingerprint.Hex()},
       {"status", status},
       {"reason", reason},
       {"route", m_route != nullptr ? m_route->id.value() : "-"},
       {"account", m_account != nullptr ? m_account->id.value() : "-"},
       {"retry_after_ms", ToMillis(retry_after.value_or(Duration(0)))},
       {"attempts", m_retry_state ? m_retry_state->attempts() : 0},
       {"age_ms", ToMillis(Age())},
       {"time_left_ms",
        m_retry_state ? ToMillis(m_deadline - m_context.Now()) : 0},
       {"config", m_config != nullptr ? m_config->version : ConfigVersion()},
       {"config_age_ms", ToMillis(m_config_age)}});
  m_context.metrics().OnLocalResponse(status, reason);
  m_exchange->Respond(m_context.adapter().MakeLocalResponse(
      status, reason, m_metadata.request_id, retry_after));
}

void SteeredRequest::GiveUp(const RetryDecision& decision) {
  const bool deadline_reached =
      m_context.Now() + std::chrono::milliseconds(5) >= m_deadline;
  if (m_failed_response) {
    ForwardResponse(m_failed_target, std::move(*m_failed_response));
    return;
  }
  if (decision.ran == Ran::kNotRun) {
    // A rest of one target says nothing of the others.
    const auto rest = m_context.selector().RestOfAll(m_query, m_context.Now());
    Refuse(kUnavailable, decision.reason,
           rest ? *rest : std::min(decision.retry_after, kMaxRetryAfter));
    return;
  }
  const int status = deadline_reached ? kGatewayTimeout : kBadGateway;
  LogEvent(Event::kRequestFailed, {{"request", m_metadata.request_id},
                                   {"fingerprint", m_fingerprint.Hex()},
                                   {"status", status},
                                   {"reason", decision.reason},
                                   {"route", m_route->id},
                                   {"attempts", m_retry_state->attempts()},
                                   {"took_ms", ToMillis(Age())}});
  m_context.metrics().OnLocalResponse(status, decision.reason);
  m_exchange->Respond(m_context.adapter().MakeLocalResponse(
      status, decision.reason, m_metadata.request_id, std::nullopt));
}

void SteeredRequest::LogEnd(Event event, const std::string& cause) const {
  LogEvent(event,
           {{"request", m_metadata.request_id},
            {"target", m_attempts_in_flight.empty()
                           ? "-"
                           : m_attempts_in_flight.begin()->first.value()},
            {"cause", cause},
            {"after_ms", ToMillis(Age())},
            {"time_left_ms", ToMillis(m_deadline - m_context.Now())}});
}

void SteeredRequest::OnCallerDisconnect(const Disconnection& disconnection) {
  LogEnd(disconnection.process_ends ? Event::kRequestCut : Event::kCallerGone,
         disconnection.cause);
  m_context.metrics().OnCallerDisconnect();
  m_relay_call = nullptr;
  for (const auto& [target, attempt_in_flight] : m_attempts_in_flight) {
    m_context.quarantine().OnNoResponse(m_fingerprint, attempt_in_flight.target,
                                        attempt_in_flight.sent,
                                        QuarantineService::Connection::kOpen);
  }
  CancelAttempts();
}

}  // namespace applestand
