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
#include "lib/rpc/peer_client.h"

namespace applestand {

/// State that is shared by all requests of one entry process.
struct RequestFlowContext {
  HostId self;
  RegionId region;
  EventLoop& loop;
  PeerClient& peer_client;
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
  std::map<ServiceId, RetryBudget>& retry_budgets;
};

/// Handles one caller's request from arrival to response: checks the key, the
/// headers and the rate limit, obtains a claim if the request must run at most
/// once, makes attempts at home hosts while it is not quarantined, and records
/// the outcome. A step that cannot continue responds immediately. Not
/// thread-safe; runs on the context's loop. Pending callbacks keep the object
/// alive until it has responded.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  /// `context` must outlive this object.
  RequestFlow(RequestFlowContext& context,
              HttpRequest request,
              HttpReply reply);

  /// Starts to handle the request. Must be called once, on the loop.
  void Start();

 private:
  /// Checks the key. Responds and returns false if the request is rejected.
  bool CheckKey();
  /// As CheckKey, for the headers, including the deadline.
  bool CheckHeaders();
  void CheckRateLimit();
  /// Sets the state that all attempts share, then starts an attempt or, for a
  /// route whose requests must run at most once, requests a claim.
  void PrepareAttempts();
  void BeginClaim();
  void OnClaim(const ClaimEvent& event);
  /// Returns whether this host can show that its keys are current and the key
  /// is still valid for the route and the account. The key is checked again
  /// only if the configuration changed.
  [[nodiscard]] bool IsStillAuthorized();
  void StartAttempt();
  ForwardRequest MakeForwardRequest() const;
  void SendToHomeHost(const RouteChoice& choice);
  /// `ran_if_no_reply` tells whether the request ran if `reply` is empty.
  void OnAttemptEnd(const RouteChoice& choice,
                    std::optional<ForwardReply> reply,
                    Ran ran_if_no_reply);
  void ApplyRetryDecision(const ForwardReply& reply);
  void ReturnTargetResponse(const ForwardReply& reply);
  void GiveUp(const RetryDecision& decision);
  /// Finishes the claim, if any. `response` is null unless the request ran.
  void FinishClaim(Ran ran, const HttpResponse* response);
  void RespondWithProblem(const Problem& problem);
  /// Counts the request toward the account's usage if it is charged.
  void CountUsage(Ran ran);
  void Respond(HttpResponse response, Ran ran);

  RequestFlowContext& m_context;
  HttpRequest m_request;
  HttpReply m_reply;
  ActiveSpan m_span;
  TimePoint m_arrival_time;
  Route m_route;
  ClientAccountId m_account;
  double m_weight = 1;
  // Configuration against which the key was last checked.
  ConfigVersion m_checked_version;
  std::vector<HttpHeader> m_headers;
  TimePoint m_deadline;
  Fingerprint m_fingerprint;
  RouteQuery m_route_query;
  std::optional<RetryState> m_retry_state;
  std::optional<ClaimRequestId> m_claim;
  bool m_attempted = false;
};

}  // namespace applestand

#endif  // LIB_ENTRY_REQUEST_FLOW_H_
