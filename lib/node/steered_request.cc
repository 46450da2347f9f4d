#include "lib/node/steered_request.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// A key or route that is not known may be newer than a configuration of this
// age; the caller is asked to come back.
constexpr Duration kDoubtAfter = std::chrono::milliseconds(2500);
// Retry-After where a host does not know what it needs to serve.
constexpr Duration kRetryWhenUnready = std::chrono::milliseconds(150);
// Retry-After where a target refused and named no time: another may be free.
constexpr Duration kRetryAfterShed = std::chrono::milliseconds(25);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
// Connections to targets of the own region, and others, open within this.
constexpr Duration kConnectLimit = std::chrono::milliseconds(250);
constexpr Duration kRemoteConnectLimit = std::chrono::milliseconds(400);
// A connection that ends so soon after a request was sent on it was closed, or
// forgotten, by its target before.
constexpr Duration kForgottenWithin = std::chrono::milliseconds(100);
// A repeatable request goes to one more target once the first has taken this
// many times what was expected, and at least as long as the answer's goal.
constexpr int kHedgeFactor = 3;

std::string HostNameOf(const HttpRequest& request) {
  std::string host = FindHeader(request.headers, "Host").value_or("");
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return host;
}

}  // namespace

SteeredRequest::SteeredRequest(SteeringContext& context,
                               std::shared_ptr<ServerExchange> exchange)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_facts(context.adapter().ReadCaller(m_exchange->request())) {}

Duration SteeredRequest::Age() const {
  return m_context.Now() - m_exchange->arrival_time();
}

void SteeredRequest::Start() {
  const TimePoint now = m_context.Now();
  if (!Admit(now)) {
    return;
  }
  if (m_account == nullptr || m_account->rate <= 0) {
    m_exchange->OnCallerDisconnect(
        [self = shared_from_this()] { self->OnCallerGone(); });
    Attempt();
    return;
  }
  m_context.region().Acquire(
      *m_account, [self = shared_from_this()](std::optional<Duration> wait) {
        self->OnLimit(wait);
      });
}

void SteeredRequest::OnLimit(std::optional<Duration> retry_after) {
  if (retry_after) {
    Refuse(kTooManyRequests, "account-over-limit", *retry_after);
    return;
  }
  if (m_exchange->caller_disconnected()) {
    m_context.region().GiveBack(m_account->id);
    return;
  }
  m_counted = true;
  m_exchange->OnCallerDisconnect(
      [self = shared_from_this()] { self->OnCallerGone(); });
  Attempt();
}

void SteeredRequest::RefuseUnseen(const char* reason, Duration retry_after) {
  Refuse(kUnavailable, reason, retry_after);
}

bool SteeredRequest::Admit(TimePoint now) {
  const ServingState serving = m_context.Serving();
  if (serving.config == nullptr) {
    Refuse(kUnavailable, "no-configuration", kRetryWhenUnready);
    return false;
  }
  m_config = serving.config;
  m_config_age = now - serving.current_at;
  const HttpRequest& request = m_exchange->request();
  m_route = FindRoute(*m_config, HostNameOf(request), PathOf(request));
  if (m_route == nullptr) {
    if (m_config_age > kDoubtAfter) {
      Refuse(kUnavailable, "route-unknown-configuration-old",
             kRetryWhenUnready);
    } else {
      Refuse(kNotFound, "route-unknown", std::nullopt);
    }
    return false;
  }
  if (!m_route->open && !m_config->accounts.empty() && !AdmitKey(serving)) {
    return false;
  }
  const ServiceId* service = m_context.split().Next(*m_route);
  if (service == nullptr) {
    Refuse(kUnavailable, "route-without-service", std::nullopt);
    return false;
  }
  m_deadline = m_exchange->arrival_time() +
               std::min(m_route->timeout,
                        m_facts.time_budget.value_or(m_route->timeout));
  m_query.service = *service;
  if (m_route->sticky && !m_facts.object.empty()) {
    // Objects of different routes have nothing in common.
    const std::string object = m_route->id.value() + "/" + m_facts.object;
    m_query.object = XXH3_64bits(object.data(), object.size());
  }
  m_query.home_regions = EffectiveHomeRegions(*m_route, m_account);
  m_query.priority = m_account != nullptr && m_account->priority
                         ? *m_account->priority
                         : m_route->priority;
  m_query.body_bytes = request.body.size();
  RetryOptions options;
  options.repeatable = m_route->repeatable;
  options.max_attempts = m_route->attempts;
  options.default_retry_after = kRetryAfterShed;
  m_plan.emplace(options, m_deadline, m_context.BudgetOf(*service));
  return true;
}

bool SteeredRequest::AdmitKey(const ServingState& serving) {
  const auto key =
      m_facts.key ? m_config->keys.find(*m_facts.key) : m_config->keys.end();
  if (key == m_config->keys.end()) {
    if (m_config_age > kDoubtAfter) {
      Refuse(kUnavailable, "key-unknown-configuration-old", kRetryWhenUnready);
    } else {
      Refuse(kUnauthorized, "key-unknown", std::nullopt);
    }
    return false;
  }
  if (m_config_age > m_context.key_freshness()) {
    Refuse(kUnavailable, "key-may-be-withdrawn", kRetryWhenUnready);
    return false;
  }
  m_account = &m_config->accounts.at(key->second);
  if (m_account->rate > 0 && !serving.share_valid) {
    Refuse(kUnavailable, "share-of-limit-not-valid", kRetryWhenUnready);
    return false;
  }
  return true;
}

std::variant<TargetChoice, NoTarget> SteeredRequest::Choose(TimePoint now) {
  m_query.time_left = m_deadline - now;
  m_query.latency_objective_left =
      m_exchange->arrival_time() + m_route->latency_objective - now;
  m_query.tried = m_plan->tried();
  for (const auto& [target, flight] : m_flights) {
    m_query.tried.insert(target);
  }
  return m_context.board().Choose(m_query, now);
}

void SteeredRequest::Attempt() {
  const TimePoint now = m_context.Now();
  if (!m_plan->CanStartAttempt(now)) {
    GiveUp(m_plan->OnCannotSend(Duration::zero()));
    return;
  }
  const auto choice = Choose(now);
  if (const auto* none = std::get_if<NoTarget>(&choice)) {
    if (m_plan->attempts() == 0) {
      Refuse(kUnavailable, ToString(none->reason), none->retry_after);
    } else {
      GiveUp(m_plan->OnCannotSend(none->retry_after));
    }
    return;
  }
  Send(std::get<TargetChoice>(choice), now);
}

void SteeredRequest::Send(const TargetChoice& choice, TimePoint now) {
  m_context.board().OnSent(choice.target, m_query.object, now);
  ForTarget for_target;
  for_target.target = choice.target;
  for_target.time_left = m_deadline - now;
  if (m_account != nullptr) {
    for_target.account = m_account->id;
  }
  CallOptions options;
  options.connect_timeout = choice.remote ? kRemoteConnectLimit : kConnectLimit;
  options.call_timeout = m_deadline - now;
  options.max_idle = m_context.idle_watch().MaxIdleTime(
      m_query.service, m_route->repeatable, now);
  options.head_request = m_exchange->request().method == "HEAD";
  options.matches = [&adapter = m_context.adapter(),
                     id = m_facts.request_id](const HttpResponse& response) {
    return adapter.Matches(response, id);
  };
  m_expected = choice.expected;
  Flight& flight = m_flights[choice.target];
  flight.sent = now;
  flight.call = m_context.caller().Call(
      choice.address,
      m_context.adapter().RequestFor(m_exchange->request(), for_target),
      options,
      [self = shared_from_this(), target = choice.target](CallResult result) {
        self->OnCallEnd(target, std::move(result));
      });
  const Duration hedge_after = std::max(
      Duration(choice.expected * kHedgeFactor), m_route->latency_objective);
  if (m_route->repeatable && m_flights.size() == 1 &&
      now + hedge_after < m_deadline) {
    m_hedge = std::make_unique<Timer>(m_context.reactor());
    m_hedge->Start(hedge_after, [this] { Hedge(); });
  }
}

void SteeredRequest::Hedge() {
  const TimePoint now = m_context.Now();
  if (m_flights.size() != 1) {
    return;
  }
  const auto choice = Choose(now);
  const auto* target = std::get_if<TargetChoice>(&choice);
  if (target != nullptr && m_plan->TryHedge(now, 1)) {
    LogEvent(Event::kRequestHedged,
             {{"request", m_facts.request_id},
              {"target", m_flights.begin()->first},
              {"also", target->target},
              {"after_ms", ToMillis(now - m_flights.begin()->second.sent)}});
    Send(*target, now);
  }
}

void SteeredRequest::Abandon() {
  const TimePoint now = m_context.Now();
  m_hedge = nullptr;
  for (const auto& [target, flight] : std::exchange(m_flights, {})) {
    m_context.board().OnAttemptEnd(target, AttemptOutcome::kAbandoned,
                                   now - flight.sent, std::nullopt, now);
  }
}

AttemptOutcome SteeredRequest::Judge(const CallResult& result,
                                     const TargetFacts& facts,
                                     AttemptResult& attempt) {
  attempt.ran = result.ran;
  if (result.ran == Ran::kNotRun) {
    attempt.sent = false;
    return AttemptOutcome::kUnreachable;
  }
  if (result.ran == Ran::kMayHaveRun) {
    return AttemptOutcome::kLost;
  }
  if (facts.not_run) {
    attempt.ran = Ran::kNotRun;
    attempt.retry_after = facts.retry_after.value_or(Duration::zero());
    return facts.misdirected ? AttemptOutcome::kMisdirected
                             : AttemptOutcome::kShed;
  }
  if (!facts.genuine) {
    attempt.ran = Ran::kMayHaveRun;
    return AttemptOutcome::kLost;
  }
  if (result.response.status >= kServerError) {
    if (m_route->repeatable) {
      attempt.ran = Ran::kMayHaveRun;
    }
    return AttemptOutcome::kError;
  }
  return AttemptOutcome::kAnswered;
}

void SteeredRequest::OnCallEnd(const TargetId& target, CallResult result) {
  const auto self = shared_from_this();
  const TimePoint now = m_context.Now();
  const auto flight = m_flights.find(target);
  const Duration took = now - flight->second.sent;
  m_flights.erase(flight);
  const TargetFacts facts =
      result.ran == Ran::kRan ? m_context.adapter().ReadAnswer(result.response)
                              : TargetFacts();
  AttemptResult attempt;
  attempt.target = target;
  const AttemptOutcome end = Judge(result, facts, attempt);
  if (end == AttemptOutcome::kLost && result.connection_failed &&
      !result.opened_connection && took < kForgottenWithin) {
    m_context.idle_watch().OnIdleConnectionLost(
        m_query.service, result.connection_idle_time, now);
  }
  m_context.board().OnAttemptEnd(target, end, took, facts.load, now);
  m_context.metrics().OnAttempt(end, took);
  const RetryDecision decision =
      m_plan->OnAttempt(attempt, now, static_cast<uint32_t>(m_flights.size()));
  if (decision.kind == RetryDecision::Kind::kReturnResponse) {
    Abandon();
    PassOn(target, std::move(result.response));
    return;
  }
  LogEvent(Event::kAttemptFailed,
           {{"request", m_facts.request_id},
            {"target", target},
            {"end", ToString(end)},
            {"status", result.ran == Ran::kRan ? result.response.status : 0},
            {"error", result.error},
            {"took_ms", ToMillis(took)},
            {"ran", ToString(attempt.ran)},
            {"retry", decision.kind == RetryDecision::Kind::kRetry}});
  if (end == AttemptOutcome::kError) {
    m_failure = std::move(result.response);
    m_failed_target = target;
  }
  if (decision.kind == RetryDecision::Kind::kRetry) {
    m_hedge = nullptr;
    Attempt();
    return;
  }
  if (decision.kind == RetryDecision::Kind::kGiveUp) {
    m_hedge = nullptr;
    GiveUp(decision);
  }
}

void SteeredRequest::PassOn(const TargetId& target, HttpResponse response) {
  LogEvent(Event::kRequestServed,
           {{"request", m_facts.request_id},
            {"route", m_route->id},
            {"account", m_account != nullptr ? m_account->id.value() : "-"},
            {"service", m_query.service},
            {"target", target},
            {"expected_ms", ToMillis(m_expected)},
            {"attempts", m_plan->attempts()},
            {"status", response.status},
            {"took_ms", ToMillis(Age())},
            {"config", m_config->version},
            {"config_age_ms", ToMillis(m_config_age)}});
  m_context.metrics().OnServed(response.status, Age());
  // These promise that the request has not run, which is not known of it.
  const bool promises = response.status == kTooManyRequests ||
                        response.status == kUnavailable ||
                        response.status == 408 || response.status == 421;
  if (promises) {
    m_context.metrics().OnOwnAnswer(kBadGateway, "answer-unusable");
    m_exchange->Respond(m_context.adapter().OwnAnswer(
        kBadGateway, "the target failed", m_facts.request_id, std::nullopt));
    return;
  }
  m_exchange->Respond(m_context.adapter().AnswerFor(std::move(response)));
}

void SteeredRequest::Refuse(int status,
                            const char* reason,
                            std::optional<Duration> retry_after) {
  if (std::exchange(m_counted, false)) {
    m_context.region().GiveBack(m_account->id);
  }
  if (retry_after) {
    retry_after = std::min(*retry_after, kMaxRetryAfter);
  }
  LogEvent(
      Event::kRequestRefused,
      {{"request", m_facts.request_id},
       {"status", status},
       {"reason", reason},
       {"route", m_route != nullptr ? m_route->id.value() : "-"},
       {"account", m_account != nullptr ? m_account->id.value() : "-"},
       {"retry_after_ms", ToMillis(retry_after.value_or(Duration(0)))},
       {"config", m_config != nullptr ? m_config->version : ConfigVersion()},
       {"config_age_ms", ToMillis(m_config_age)}});
  m_context.metrics().OnOwnAnswer(status, reason);
  m_exchange->Respond(m_context.adapter().OwnAnswer(
      status, reason, m_facts.request_id, retry_after));
}

void SteeredRequest::GiveUp(const RetryDecision& decision) {
  const bool late =
      m_context.Now() + std::chrono::milliseconds(5) >= m_deadline;
  if (m_failure) {
    PassOn(m_failed_target, std::move(*m_failure));
    return;
  }
  if (decision.ran == Ran::kNotRun) {
    Refuse(kUnavailable, decision.reason,
           std::min(decision.retry_after, kMaxRetryAfter));
    return;
  }
  const int status = late ? kGatewayTimeout : kBadGateway;
  LogEvent(Event::kRequestFailed, {{"request", m_facts.request_id},
                                   {"status", status},
                                   {"reason", decision.reason},
                                   {"route", m_route->id},
                                   {"attempts", m_plan->attempts()},
                                   {"took_ms", ToMillis(Age())}});
  m_context.metrics().OnOwnAnswer(status, decision.reason);
  m_exchange->Respond(m_context.adapter().OwnAnswer(
      status, decision.reason, m_facts.request_id, std::nullopt));
}

void SteeredRequest::OnCallerGone() {
  LogEvent(
      Event::kCallerGone,
      {{"request", m_facts.request_id},
       {"target", m_flights.empty() ? "-" : m_flights.begin()->first.value()},
       {"after_ms", ToMillis(Age())}});
  m_context.metrics().OnCallerGone();
  Abandon();
}

}  // namespace applestand
