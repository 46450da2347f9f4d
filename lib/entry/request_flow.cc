#include "lib/entry/request_flow.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>
#include <variant>

#include "lib/claims/claim.h"
#include "lib/log/log.h"
#include "lib/retry/deadline.h"

namespace applestand {

namespace {

/// Account under which requests of open routes (those that need no key) are
/// queued.
constexpr const char* kOpenRouteAccount = "_open";
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Problem MakeProblem(int status,
                    const char* type,
                    const char* title,
                    std::string detail,
                    Duration retry_after = Duration::zero()) {
  return {type, title, status, std::move(detail), Ran::kNotRun, retry_after};
}

Problem MakeAuthorizationProblem(const AuthorizationRefusal& refusal) {
  switch (refusal.status) {
    case 401:
      return MakeProblem(401, "unauthorized", "No valid key",
                         refusal.reason.text);
    case 403:
      return MakeProblem(403, "forbidden", "Not for this client account",
                         refusal.reason.text);
    case 404:
      return MakeProblem(404, "no-route", "No such route", refusal.reason.text);
    default:
      return MakeProblem(400, "bad-request", "Malformed request",
                         refusal.reason.text);
  }
}

Problem MakeClaimProblem(const ClaimEvent& event) {
  Problem problem;
  problem.ran = event.ran;
  problem.retry_after = event.retry_after;
  switch (event.kind) {
    case ClaimEvent::Kind::kConflict:
      problem.status = 409;
      problem.type = "idempotency-conflict";
      problem.title = "The idempotency key was used for another request";
      break;
    case ClaimEvent::Kind::kInDoubt:
      problem.status = 409;
      problem.type = "in-doubt";
      problem.title = "The request may be running or have run";
      problem.detail = "it will not be run again; send it again to learn more";
      break;
    case ClaimEvent::Kind::kOutcomeUnavailable:
      problem.status = 503;
      problem.type = "outcome-unread";
      problem.title = "The request ran; its answer cannot be read now";
      break;
    default:
      problem.status = 503;
      problem.type = "store-unavailable";
      problem.title = "The request cannot be recorded now";
      problem.detail =
          "this arrival was not run; whether an earlier one with the same key "
          "ran cannot be known now";
      break;
  }
  return problem;
}

}  // namespace

RequestFlow::RequestFlow(RequestFlowContext& context,
                         HttpRequest request,
                         HttpReply reply)
    : m_context(context),
      m_request(std::move(request)),
      m_reply(std::move(reply)) {}

void RequestFlow::Start() {
  m_arrival_time = m_context.loop.Now();
  m_span = m_context.tracer.StartSpan(
      FindHeader(m_request.headers, kTraceparentHeader).value_or(""));
  if (CheckKey() && CheckHeaders()) {
    CheckRateLimit();
  }
}

bool RequestFlow::CheckKey() {
  const AuthorizationResult result = m_context.authorizer.Authorize(m_request);
  if (const auto* refusal = std::get_if<AuthorizationRefusal>(&result)) {
    RespondWithProblem(MakeAuthorizationProblem(*refusal));
    return false;
  }
  const auto& authorization = std::get<Authorization>(result);
  m_route = *authorization.route;
  m_checked_version = m_context.follower.config().version;
  m_account =
      authorization.account.value_or(ClientAccountId(kOpenRouteAccount));
  if (!m_route.open && !m_context.follower.IsFresh()) {
    RespondWithProblem(
        MakeProblem(503, "keys-not-current", "Keys cannot be checked now",
                    "this host cannot show that its keys are current",
                    Freshness::Options().retry_after));
    return false;
  }
  const auto& accounts = m_context.follower.config().accounts;
  if (const auto it = accounts.find(m_account); it != accounts.end()) {
    m_weight = it->second.contract.weight;
  }
  return true;
}

bool RequestFlow::CheckHeaders() {
  Reason reason;
  auto headers = m_context.filter.Filter(m_request, reason);
  if (!headers) {
    RespondWithProblem(
        MakeProblem(400, "bad-request", "Malformed request", reason.text));
    return false;
  }
  m_headers = std::move(*headers);
  const auto deadline =
      ComputeDeadline(m_request, m_route.timeout, m_context.loop.Now(), reason);
  if (!deadline) {
    RespondWithProblem(
        MakeProblem(400, "bad-request", "Malformed request", reason.text));
    return false;
  }
  m_deadline = *deadline;
  return true;
}

void RequestFlow::CheckRateLimit() {
  if (m_route.open) {
    PrepareAttempts();
    return;
  }
  m_context.limits.Admit(m_account, [self = shared_from_this()](
                                        LimitService::Admission admission) {
    if (admission.admitted) {
      self->PrepareAttempts();
      return;
    }
    self->RespondWithProblem(
        MakeProblem(429, "rate-limited", "Over the contract's rate",
                    "the client account has used its rate and burst",
                    admission.retry_after));
  });
}

void RequestFlow::PrepareAttempts() {
  m_fingerprint = ComputeFingerprint(m_account, "", m_request);
  m_route_query.service = m_route.service;
  m_route_query.body_bytes = m_request.body.size();
  const std::string hash_input = m_account.value() + ' ' + m_request.target;
  m_route_query.request_hash =
      XXH3_64bits(hash_input.data(), hash_input.size());
  RetryOptions options;
  options.repeatable = m_route.repeatable;
  auto& retry_budgets = m_context.retry_budgets;
  const auto budget =
      retry_budgets.try_emplace(m_route.service, RetryBudget::Options()).first;
  m_retry_state.emplace(options, m_deadline, budget->second);
  if (m_route.repeatable) {
    StartAttempt();
    return;
  }
  BeginClaim();
}

void RequestFlow::BeginClaim() {
  Reason reason;
  const auto key = ParseIdempotencyKey(m_request, reason);
  if (!key) {
    RespondWithProblem(MakeProblem(400, "idempotency-key-needed",
                                   "This route needs an idempotency key",
                                   reason.text));
    return;
  }
  ClaimRequest claim;
  claim.account = m_account;
  claim.key = *key;
  claim.hash = HashRequest(m_request);
  claim.deadline = m_deadline;
  claim.received_unix_ms = UnixMillis();
  m_claim = m_context.claims.Begin(
      std::move(claim), [self = shared_from_this()](const ClaimEvent& event) {
        self->OnClaim(event);
      });
}

void RequestFlow::OnClaim(const ClaimEvent& event) {
  if (event.kind == ClaimEvent::Kind::kGranted) {
    StartAttempt();
    return;
  }
  // Finish must be called for granted claims only.
  m_claim.reset();
  if (event.kind == ClaimEvent::Kind::kRecorded) {
    Respond(MakeRecordedResponse(event.outcome), Ran::kRan);
    return;
  }
  RespondWithProblem(MakeClaimProblem(event));
}

bool RequestFlow::IsStillAuthorized() {
  if (m_route.open) {
    return true;
  }
  if (!m_context.follower.IsFresh()) {
    return false;
  }
  const ConfigVersion version = m_context.follower.config().version;
  if (version == m_checked_version) {
    return true;
  }
  m_checked_version = version;
  const AuthorizationResult result = m_context.authorizer.Authorize(m_request);
  const auto* authorization = std::get_if<Authorization>(&result);
  return authorization != nullptr && authorization->account == m_account;
}

void RequestFlow::StartAttempt() {
  const TimePoint now = m_context.loop.Now();
  // The key may have been withdrawn while the request was waiting.
  if (!IsStillAuthorized()) {
    GiveUp(m_retry_state->OnCannotSend(Freshness::Options().retry_after));
    return;
  }
  if (const auto left =
          m_context.quarantine.RemainingTime(m_fingerprint, now)) {
    GiveUp(m_retry_state->OnCannotSend(*left));
    return;
  }
  const bool may_attempt = m_retry_state->CanStartAttempt(now) &&
                           (!m_claim || m_context.claims.MaySend(*m_claim));
  if (!may_attempt) {
    GiveUp(m_retry_state->OnCannotSend(kDefaultRetryAfter));
    return;
  }
  RouteRefusal refusal;
  const auto choice = m_context.router.Choose(m_route_query, now, refusal);
  if (!choice) {
    GiveUp(m_retry_state->OnCannotSend(refusal.retry_after));
    return;
  }
  SendToHomeHost(*choice);
}

ForwardRequest RequestFlow::MakeForwardRequest() const {
  ForwardRequest forward;
  forward.from = m_context.self;
  forward.from_region = m_context.region;
  forward.service = m_route.service;
  forward.account = m_account;
  forward.weight = m_weight;
  forward.method = m_request.method;
  forward.target = m_request.target;
  forward.headers = ToHeaderPairs(m_headers);
  forward.body = m_request.body;
  forward.time_left = m_deadline - m_context.loop.Now();
  forward.avoid.assign(m_retry_state->tried().begin(),
                       m_retry_state->tried().end());
  forward.repeatable = m_route.repeatable;
  forward.traceparent = FormatTraceparent(m_span.context);
  forward.fingerprint = m_fingerprint;
  return forward;
}

void RequestFlow::SendToHomeHost(const RouteChoice& choice) {
  m_attempted = true;
  auto self = shared_from_this();
  if (choice.home == m_context.self) {
    m_context.home.Run(
        MakeForwardRequest(), [self, choice](ForwardReply reply) {
          self->OnAttemptEnd(choice, std::move(reply), Ran::kRan);
        });
    return;
  }
  std::string address;
  for (const HostRecord& host : m_context.follower.live_hosts()) {
    if (host.host == choice.home) {
      address = host.entry_address;
    }
  }
  if (address.empty()) {
    OnAttemptEnd(choice, std::nullopt, Ran::kNotRun);
    return;
  }
  m_context.peer_client.Call(
      address, MessageKind::kForward, Encode(MakeForwardRequest()),
      m_deadline - m_context.loop.Now(),
      [self, choice](const RpcResult& result) {
        Reason reason;
        if (result.ran != Ran::kRan) {
          self->OnAttemptEnd(choice, std::nullopt, result.ran);
          return;
        }
        auto reply = Decode<ForwardReply>(result.payload, reason);
        self->OnAttemptEnd(choice, std::move(reply), Ran::kMayHaveRun);
      });
}

void RequestFlow::OnAttemptEnd(const RouteChoice& choice,
                               std::optional<ForwardReply> reply,
                               Ran ran_if_no_reply) {
  const TimePoint now = m_context.loop.Now();
  AttemptEnd end = AttemptEnd::kNoResponse;
  if (reply) {
    m_context.router.OnReport(reply->report, now);
    // If no target was tried, the home host itself refused the request.
    // Otherwise it may have other targets, and is told which ones to avoid.
    const bool refused = reply->ran == Ran::kNotRun && reply->target.empty();
    end = refused ? AttemptEnd::kRefused : AttemptEnd::kAccepted;
  } else {
    reply.emplace();
    reply->ran = ran_if_no_reply;
    reply->reason = "the home host did not answer";
  }
  m_context.router.OnAttemptEnd(m_route.service, choice, end, now);
  if (end != AttemptEnd::kAccepted) {
    m_route_query.tried.push_back(choice.home);
  }
  ApplyRetryDecision(*reply);
}

void RequestFlow::ApplyRetryDecision(const ForwardReply& reply) {
  const RetryDecision decision = m_retry_state->OnAttempt(
      {reply.target, reply.ran, reply.retry_after}, m_context.loop.Now());
  switch (decision.kind) {
    case RetryDecision::Kind::kReturnResponse:
      ReturnTargetResponse(reply);
      return;
    case RetryDecision::Kind::kRetry:
      StartAttempt();
      return;
    case RetryDecision::Kind::kGiveUp:
      GiveUp(decision);
      return;
    case RetryDecision::Kind::kWait:
      // There is at most one attempt at a time.
      assert(false && "no attempt runs beside another");
      return;
  }
}

void RequestFlow::ReturnTargetResponse(const ForwardReply& reply) {
  HttpResponse response;
  response.status = reply.status;
  response.body = reply.body;
  for (const HttpHeader& header : FromHeaderPairs(reply.headers)) {
    if (IsEndToEndHeader(header.name)) {
      response.headers.push_back(header);
    }
  }
  FinishClaim(Ran::kRan, &response);
  Respond(std::move(response), Ran::kRan);
}

void RequestFlow::GiveUp(const RetryDecision& decision) {
  FinishClaim(decision.ran, nullptr);
  Problem problem;
  problem.status = decision.ran == Ran::kMayHaveRun ? 502 : 503;
  problem.type = decision.ran == Ran::kMayHaveRun ? "no-answer" : "no-capacity";
  problem.title = decision.ran == Ran::kMayHaveRun
                      ? "The request may have run; no answer came"
                      : "The request was not run";
  problem.detail = decision.reason;
  problem.ran = decision.ran;
  problem.retry_after = decision.retry_after;
  RespondWithProblem(problem);
}

void RequestFlow::FinishClaim(Ran ran, const HttpResponse* response) {
  if (!m_claim) {
    return;
  }
  std::optional<ClaimOutcome> outcome;
  if (response != nullptr) {
    outcome = MakeClaimOutcome(*response);
  }
  m_context.claims.Finish(*m_claim, ran, std::move(outcome));
  m_claim.reset();
}

void RequestFlow::RespondWithProblem(const Problem& problem) {
  const Ran ran = problem.ran;
  if (ran == Ran::kNotRun) {
    m_context.metrics.RecordRefusal(m_account, problem.type);
  }
  Respond(MakeProblemResponse(problem), ran);
}

void RequestFlow::CountUsage(Ran ran) {
  // A recorded response was charged when its request ran.
  if (m_attempted && !m_route.open) {
    m_context.usage.Count(m_account, ran);
  }
}

void RequestFlow::Respond(HttpResponse response, Ran ran) {
  CountUsage(ran);
  m_context.tracer.EndSpan(m_span, "entry", response.status >= 500,
                           {{"status", std::to_string(response.status)},
                            {"ran", ToString(ran)},
                            {"account", m_account.value()}});
  m_context.metrics.RecordResponse(m_account, m_route.service, ran,
                                   response.status,
                                   m_context.loop.Now() - m_arrival_time);
  response.headers.push_back({"X-Applestand-Ran", ToString(ran)});
  response.headers.push_back({"X-Applestand-Host", m_context.self.value()});
  m_reply(std::move(response));
}

}  // namespace applestand
