#ifndef LIB_ENTRY_REQUEST_FLOW_H_
#define LIB_ENTRY_REQUEST_FLOW_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/entry/claim_service.h"
#include "lib/entry/home_service.h"
#include "lib/entry/hop_tracer.h"
#include "lib/entry/limit_service.h"
#include "lib/entry/usage_service.h"
#include "lib/http/server.h"
#include "lib/keys/authorizer.h"
#include "lib/keys/header_filter.h"
#include "lib/local_state/follower.h"
#include "lib/metrics/metrics.h"
#include "lib/quarantine/quarantine.h"
#include "lib/retry/problem.h"
#include "lib/retry/retry_budget.h"
#include "lib/retry/retry_state.h"
#include "lib/routing/router.h"
#include "lib/rpc/peer_caller.h"

namespace applestand {

/// What the requests of one entry process share.
struct FlowContext {
  HostId self;
  RegionId region;
  EventLoop& loop;
  PeerCaller& caller;
  StateFollower& follower;
  Authorizer& authorizer;
  const HeaderFilter& filter;
  LimitService& limits;
  ClaimService& claims;
  Quarantine& quarantine;
  Router& router;
  HomeService& home;
  HopTracer& tracer;
  EntryMetrics& metrics;
  UsageService& usage;
  std::map<ServiceId, RetryBudget>& budgets;
};

/// One caller's request from arrival to answer: key, limit, quarantine, claim,
/// attempts, outcome. Every step that cannot go on answers at once.
/// Single-threaded: lives on the context's loop and keeps itself alive until
/// it has answered.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  /// `context` must outlive the flow.
  RequestFlow(FlowContext& context, HttpRequest request, HttpReply reply);

  /// Begins. Call once.
  void Start();

 private:
  bool CheckKey();
  bool CheckHeaders();
  void CheckLimit();
  void Prepare();
  void BeginClaim();
  void OnClaim(const ClaimEvent& event);
  [[nodiscard]] bool IsStillAuthorized();
  void Attempt();
  ForwardRequest MakeForward() const;
  void SendTo(const RouteChoice& choice);
  void OnForwarded(const RouteChoice& choice,
                   std::optional<ForwardReply> reply,
                   Ran ran_without_reply);
  void Decide(const ForwardReply& reply);
  void AnswerWith(const ForwardReply& reply);
  void GiveUp(const RetryDecision& decision);
  void FinishClaim(Ran ran, const HttpResponse* response);
  void Fail(const Problem& problem);
  void Charge(Ran ran);
  void Answer(HttpResponse response, Ran ran);

  FlowContext& m_context;
  HttpRequest m_request;
  HttpReply m_reply;
  HopSpan m_span;
  TimePoint m_arrived;
  Route m_route;
  ClientAccountId m_account;
  double m_weight = 1;
  // Configuration that the key was last checked against.
  ConfigVersion m_checked_version;
  std::vector<HttpHeader> m_headers;
  TimePoint m_deadline;
  Fingerprint m_fingerprint;
  RouteQuery m_query;
  std::optional<RetryState> m_plan;
  std::optional<ClaimRequestId> m_claim;
  bool m_attempted = false;
};

}  // namespace applestand

#endif  // LIB_ENTRY_REQUEST_FLOW_H_
