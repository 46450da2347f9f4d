#ifndef LIB_NODE_STEERED_REQUEST_H_
#define LIB_NODE_STEERED_REQUEST_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "lib/http/byte_budget.h"
#include "lib/log/log.h"
#include "lib/node/node_metrics.h"
#include "lib/node/platform_adapter.h"
#include "lib/node/quarantine_service.h"
#include "lib/node/reachability_service.h"
#include "lib/node/region_service.h"
#include "lib/node/request_relay.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"
#include "lib/retry/retry_state.h"
#include "lib/steering/idle_timeout_estimator.h"
#include "lib/steering/service_split.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// The configuration that a host knows, and whether the host may rely on it.
struct ServingState {
  /// Null until a configuration is known.
  std::shared_ptr<const ServingConfig> config;
  /// The configuration contains every change that was confirmed to an operator
  /// before this time.
  TimePoint current_at = TimePoint::min();
  /// This host may use its share of the limits, because every other host
  /// reserves that share for it.
  bool share_valid = false;
  /// Set while changes may be missing in the configuration because the store
  /// has lost them. They are presumed to be back at this time.
  std::optional<TimePoint> incomplete_until;
};

/// State that all requests of a host share. The returned references outlive all
/// requests. Not thread-safe.
class SteeringContext {
 public:
  virtual ~SteeringContext() = default;

  virtual Reactor& reactor() = 0;
  virtual TimePoint Now() const = 0;
  virtual ServingState Serving() const = 0;
  /// Returns the state in which another host, whose copy of the configuration
  /// `version` had the given age, has checked a request. Its configuration is
  /// null if this host has not had that version in effect recently.
  virtual ServingState ServingAt(ConfigVersion version, Duration age) const = 0;
  virtual const PlatformAdapter& adapter() const = 0;
  virtual HttpClientPool& http_client() = 0;
  virtual TargetSelector& selector() = 0;
  virtual ServiceSplit& split() = 0;
  virtual IdleTimeoutEstimator& idle_timeout_estimator() = 0;
  virtual RegionService& region() = 0;
  virtual QuarantineService& quarantine() = 0;
  virtual ReachabilityService& reachability() = 0;
  virtual RequestRelay& relay() = 0;
  virtual RetryBudget& RetryBudgetFor(const ServiceId& service) = 0;
  virtual NodeMetrics& metrics() = 0;
  /// Limits the memory of responses of targets that failed, which are kept
  /// while their requests are tried elsewhere.
  virtual ByteBudget& failed_response_budget() = 0;
  /// Returns the maximum age of the configuration at which the keys in it are
  /// accepted; with an older one, any key may have been withdrawn.
  virtual Duration max_key_age() const = 0;
  /// Returns whether a request with this deadline may be sent to a target or to
  /// another host. If not, this host might stop before there is a response.
  virtual bool CanPassOn(TimePoint deadline) const = 0;
};

/// Handles one caller's request, from its arrival to its response: finds its
/// route and account, chooses targets, retries and hedges. While this host has
/// no links to the targets, it passes the request to another host instead.
/// Keeps itself alive until the response. Not thread-safe.
class SteeredRequest : public std::enable_shared_from_this<SteeredRequest> {
 public:
  /// A request of a caller of this host. `context` must outlive this object.
  SteeredRequest(SteeringContext& context,
                 std::shared_ptr<CallerExchange> exchange);
  /// A request that another host passed on. It is not passed on again, and
  /// takes no token of its account's limit.
  SteeredRequest(SteeringContext& context,
                 const std::shared_ptr<RelayedExchange>& exchange);

  /// Must be called once.
  void Start();
  /// Responds at once, because the process ends: as not run if the request has
  /// been sent nowhere, otherwise as one that may have run. Precondition: Start
  /// has been called, and the request has no response yet.
  void EndBecauseOfExit();

 private:
  // Reason for which quarantined requests are refused, in logs and metrics.
  static constexpr const char* kCrashesTargets = "request-crashes-targets";

  /// Finds route, account, service and deadline. Returns false if the request
  /// was refused.
  bool Admit(TimePoint now);
  /// Refuses the request because the configuration, of which changes may be
  /// missing until the given time, might say otherwise.
  void RefuseAsIncomplete(TimePoint until, TimePoint now);
  /// Finds the account of the caller's key. Returns false if the request was
  /// refused.
  bool AuthorizeKey(const ServingState& serving);
  /// Called when the account's limit has admitted the request, or rejected it
  /// if `retry_after` is set.
  void OnLimitResult(std::optional<Duration> retry_after);
  /// Sends the request to a target, or ends it if that is impossible.
  void Attempt();
  /// Ends a request that this host cannot pass on because it stops. Another
  /// host that passed it on may try elsewhere.
  void EndBecauseOfStop();
  std::variant<TargetChoice, NoTarget> ChooseTarget(TimePoint now);
  void Send(const TargetChoice& choice, TimePoint now);
  /// Passes the request to another host. Returns false if there is none.
  bool Relay(TimePoint now);
  /// Lets the host that passed the request on try another one. Returns false if
  /// the request has been sent to a target. `reason` must be a constant.
  bool DeclineRelayed(const char* reason);
  void OnRelayEnd(const HostId& peer, RequestRelay::Result result);
  /// Responds to the caller with another host's response.
  void ForwardRelayedResponse(const HttpResponse& response);
  /// Sends the request to one more target because the first is slow.
  void Hedge();
  /// Called when an attempt has ended: responds to the caller, retries, gives
  /// up or waits for the other attempt.
  void OnCallEnd(const TargetId& target, CallResult result);
  /// Keeps the response of a target that failed, in case that no other gives a
  /// better one. Returns false if all that are kept take too much memory.
  bool KeepFailedResponse(const TargetId& target, HttpResponse& response);
  /// Reports the outcome of an attempt to the quarantine.
  void ReportToQuarantine(const SteeringTarget& target,
                          TimePoint sent,
                          const CallResult& result,
                          const ResponseMetadata& metadata,
                          AttemptOutcome outcome);
  /// Reports to the selector whether the target's response names a limit.
  void ReportRateLimit(const TargetId& target,
                       TimePoint sent,
                       const ResponseMetadata& metadata,
                       AttemptOutcome outcome);
  /// Reports to the selector whether the target has turned the request away
  /// and asks this host for a rest.
  void ReportRest(const SteeringTarget& target,
                  TimePoint sent,
                  const CallResult& result,
                  const ResponseMetadata& metadata);
  /// Reports to the selector whether the target has said that it leaves.
  void ReportLeaving(const SteeringTarget& target,
                     TimePoint sent,
                     const ResponseMetadata& metadata);
  /// Reports what a target's response to a request that was passed to another
  /// host says about the target.
  void ReportRelayedNotices(const RequestRelay::Result& result);
  void OnCallerDisconnect(const Disconnection& disconnection);
  /// Logs that the request ends without a response of a target.
  void LogEnd(Event event, const std::string& cause) const;
  /// Responds with a status of this host and returns the token of the account's
  /// limit, if one was taken. The request must not have been processed.
  void Refuse(int status,
              const char* reason,
              std::optional<Duration> retry_after);
  /// Ends the request after its attempts have failed.
  void GiveUp(const RetryDecision& decision);
  /// Responds to the caller with a target's response.
  void ForwardResponse(const TargetId& target, HttpResponse response);
  /// Cancels all attempts in flight.
  void CancelAttempts();
  /// Returns the time since the request arrived.
  Duration Age() const;

  SteeringContext& m_context;
  const std::shared_ptr<CallerExchange> m_exchange;
  // The same exchange if another host passed the request on, otherwise null.
  const std::shared_ptr<RelayedExchange> m_relayed;
  RequestMetadata m_metadata;
  // Keeps m_route and m_account alive.
  std::shared_ptr<const ServingConfig> m_config;
  Duration m_config_age{};
  const ServingRoute* m_route = nullptr;
  const ServingAccount* m_account = nullptr;
  // A token of the account's limit was taken for the request.
  bool m_token_taken = false;
  // Equal for all attempts of callers at the same request. Zero until the
  // request's route and account are known.
  Fingerprint m_fingerprint;
  TargetQuery m_query;
  TimePoint m_deadline;
  std::optional<RetryState> m_retry_state;
  struct InFlightAttempt {
    std::unique_ptr<PendingCall> call;
    TimePoint sent;
    AttemptConditions conditions;
    // The target as it was known when the attempt was sent.
    SteeringTarget target;
  };
  // Attempts that have not ended, by target.
  std::map<TargetId, InFlightAttempt> m_attempts_in_flight;
  // The request at another host, and the hosts that it was passed to.
  std::unique_ptr<PendingCall> m_relay_call;
  std::set<HostId> m_relay_peers;
  TimePoint m_relay_sent;
  // The last refusal of another host for want of a target, and how many there
  // were.
  std::optional<HttpResponse> m_relay_refusal;
  size_t m_relay_refusals = 0;
  std::unique_ptr<Timer> m_hedge_timer;
  // The last server error of a target. It is forwarded if no other target gives
  // a better response.
  std::optional<HttpResponse> m_failed_response;
  ByteReservation m_failed_response_memory;
  TargetId m_failed_target;
  // Expected response time of the attempt that was sent last, and what it was
  // sent under.
  Duration m_expected_time{};
  AttemptConditions m_conditions;
};

}  // namespace applestand

#endif  // LIB_NODE_STEERED_REQUEST_H_
