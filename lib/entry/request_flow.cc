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

/// Account under which requests of routes open to all are queued.
constexpr const char* kOpenAccount = "_open";
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

Problem ProblemOfRefusal(const AuthorizationRefusal& refusal) {
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

Problem ProblemOfClaim(const ClaimEvent& event) {
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

RequestFlow::RequestFlow(FlowContext& context,
                         HttpRequest request,
                         HttpReply reply)
    : m_context(context),
      m_request(std::move(request)),
      m_reply(std::move(reply)) {}

void RequestFlow::Start() {
  m_arrived = m_context.loop.Now();
  m_span = m_context.tracer.Begin(
      FindHeader(m_request.headers, kTraceparentHeader).value_or(""));
  if (CheckKey() && CheckHeaders()) {
    CheckLimit();
  }
}

bool RequestFlow::CheckKey() {
  const AuthorizationResult result = m_context.authorizer.Authorize(m_request);
  if (const auto* refusal = std::get_if<AuthorizationRefusal>(&result)) {
    Fail(ProblemOfRefusal(*refusal));
    return false;
  }
  const auto& authorization = std::get<Authorization>(result);
  m_route = *authorization.route;
  m_checked_version = m_context.follower.config().version;
  m_account = authorization.account.value_or(ClientAccountId(kOpenAccount));
  if (!m_route.open && !m_context.follower.IsFresh()) {
    Fail(MakeProblem(503, "keys-not-current", "Keys cannot be checked now",
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
    Fail(MakeProblem(400, "bad-request", "Malformed request", reason.text));
    return false;
  }
  m_headers = std::move(*headers);
  const auto deadline =
      ComputeDeadline(m_request, m_route.timeout, m_context.loop.Now(), reason);
  if (!deadline) {
    Fail(MakeProblem(400, "bad-request", "Malformed request", reason.text));
    return false;
  }
  m_deadline = *deadline;
  return true;
}

void RequestFlow::CheckLimit() {
  if (m_route.open) {
    Prepare();
    return;
  }
  m_context.limits.Admit(m_account, [self = shared_from_this()](
                                        LimitService::Admission admission) {
    if (admission.admitted) {
      self->Prepare();
      return;
    }
    self->Fail(MakeProblem(429, "rate-limited", "Over the contract's rate",
                           "the client account has used its rate and burst",
                           admission.retry_after));
  });
}

void RequestFlow::Prepare() {
  m_fingerprint = ComputeFingerprint(m_account, m_request);
  m_query.service = m_route.service;
  m_query.body_bytes = m_request.body.size();
  const std::string routed = m_account.value() + ' ' + m_request.target;
  m_query.request_hash = XXH3_64bits(routed.data(), routed.size());
  RetryOptions options;
  options.repeatable = m_route.repeatable;
  auto& budgets = m_context.budgets;
  const auto budget =
      budgets.try_emplace(m_route.service, RetryBudget::Options()).first;
  m_plan.emplace(options, m_deadline, budget->second);
  if (m_route.repeatable) {
    Attempt();
    return;
  }
  BeginClaim();
}

void RequestFlow::BeginClaim() {
  Reason reason;
  const auto key = ParseIdempotencyKey(m_request, reason);
  if (!key) {
    Fail(MakeProblem(400, "idempotency-key-needed",
                     "This route needs an idempotency key", reason.text));
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
    Attempt();
    return;
  }
  // Only a granted claim is to be finished.
  m_claim.reset();
  if (event.kind == ClaimEvent::Kind::kRecorded) {
    Answer(MakeRecordedResponse(event.outcome), Ran::kRan);
    return;
  }
  Fail(ProblemOfClaim(event));
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

void RequestFlow::Attempt() {
  const TimePoint now = m_context.loop.Now();
  // The key may have been withdrawn while the request waited.
  if (!IsStillAuthorized()) {
    GiveUp(m_plan->OnCannotSend(Freshness::Options().retry_after));
    return;
  }
  if (const auto left =
          m_context.quarantine.RemainingTime(m_fingerprint, now)) {
    GiveUp(m_plan->OnCannotSend(*left));
    return;
  }
  const bool in_time = m_plan->CanStartAttempt(now) &&
                       (!m_claim || m_context.claims.MaySend(*m_claim));
  if (!in_time) {
    GiveUp(m_plan->OnCannotSend(kDefaultRetryAfter));
    return;
  }
  RouteRefusal refusal;
  const auto choice = m_context.router.Choose(m_query, now, refusal);
  if (!choice) {
    GiveUp(m_plan->OnCannotSend(refusal.retry_after));
    return;
  }
  SendTo(*choice);
}

ForwardRequest RequestFlow::MakeForward() const {
  ForwardRequest forward;
  forward.from = m_context.self;
  forward.from_region = m_context.region;
  forward.service = m_route.service;
  forward.account = m_account;
  forward.weight = m_weight;
  forward.method = m_request.method;
  forward.target = m_request.target;
  forward.headers = ToPairs(m_headers);
  forward.body = m_request.body;
  forward.time_left = m_deadline - m_context.loop.Now();
  forward.avoid.assign(m_plan->tried().begin(), m_plan->tried().end());
  forward.repeatable = m_route.repeatable;
  forward.traceparent = FormatTraceparent(m_span.context);
  forward.fingerprint = m_fingerprint;
  return forward;
}

void RequestFlow::SendTo(const RouteChoice& choice) {
  m_attempted = true;
  auto self = shared_from_this();
  if (choice.home == m_context.self) {
    m_context.home.Run(MakeForward(), [self, choice](ForwardReply reply) {
      self->OnForwarded(choice, std::move(reply), Ran::kRan);
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
    OnForwarded(choice, std::nullopt, Ran::kNotRun);
    return;
  }
  m_context.caller.Call(
      address, MessageKind::kForward, Encode(MakeForward()),
      m_deadline - m_context.loop.Now(),
      [self, choice](const RpcResult& result) {
        Reason reason;
        if (result.ran != Ran::kRan) {
          self->OnForwarded(choice, std::nullopt, result.ran);
          return;
        }
        auto reply = Decode<ForwardReply>(result.payload, reason);
        self->OnForwarded(choice, std::move(reply), Ran::kMayHaveRun);
      });
}

void RequestFlow::OnForwarded(const RouteChoice& choice,
                              std::optional<ForwardReply> reply,
                              Ran ran_without_reply) {
  const TimePoint now = m_context.loop.Now();
  AttemptEnd end = AttemptEnd::kNoResponse;
  if (reply) {
    m_context.router.OnReport(reply->report, now);
    // Without a target it was the home host itself that refused; otherwise it
    // may have other targets, and knows which ones to leave out.
    const bool refused = reply->ran == Ran::kNotRun && reply->target.empty();
    end = refused ? AttemptEnd::kRefused : AttemptEnd::kAccepted;
  } else {
    reply.emplace();
    reply->ran = ran_without_reply;
    reply->reason = "the home host did not answer";
  }
  m_context.router.OnAttemptEnd(m_route.service, choice, end, now);
  if (end != AttemptEnd::kAccepted) {
    m_query.tried.push_back(choice.home);
  }
  Decide(*reply);
}

void RequestFlow::Decide(const ForwardReply& reply) {
  const RetryDecision decision = m_plan->OnAttempt(
      {reply.target, reply.ran, reply.retry_after}, m_context.loop.Now());
  switch (decision.kind) {
    case RetryDecision::Kind::kReturnResponse:
      AnswerWith(reply);
      return;
    case RetryDecision::Kind::kRetry:
      Attempt();
      return;
    case RetryDecision::Kind::kGiveUp:
      GiveUp(decision);
      return;
    case RetryDecision::Kind::kWait:
      // Attempts here run one after the other.
      assert(false && "no attempt runs beside another");
      return;
  }
}

void RequestFlow::AnswerWith(const ForwardReply& reply) {
  HttpResponse response;
  response.status = reply.status;
  response.body = reply.body;
  for (const HttpHeader& header : FromPairs(reply.headers)) {
    if (IsEndToEndHeader(header.name)) {
      response.headers.push_back(header);
    }
  }
  FinishClaim(Ran::kRan, &response);
  Answer(std::move(response), Ran::kRan);
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
  Fail(problem);
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

void RequestFlow::Fail(const Problem& problem) {
  const Ran ran = problem.ran;
  if (ran == Ran::kNotRun) {
    m_context.metrics.OnRefused(m_account, problem.type);
  }
  Answer(MakeProblemResponse(problem), ran);
}

void RequestFlow::Charge(Ran ran) {
  // A recorded answer was charged when its request ran.
  if (m_attempted && !m_route.open) {
    m_context.usage.Count(m_account, ran);
  }
}

void RequestFlow::Answer(HttpResponse response, Ran ran) {
  Charge(ran);
  m_context.tracer.End(m_span, "entry", response.status >= 500,
                       {{"status", std::to_string(response.status)},
                        {"ran", ToString(ran)},
                        {"account", m_account.value()}});
  m_context.metrics.OnAnswer(m_account, m_route.service, ran, response.status,
                             m_context.loop.Now() - m_arrived);
  response.headers.push_back({"X-Applestand-Ran", ToString(ran)});
  response.headers.push_back({"X-Applestand-Host", m_context.self.value()});
  m_reply(std::move(response));
}

}  // namespace applestand
