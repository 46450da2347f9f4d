#ifndef LIB_NODE_STEERED_REQUEST_H_
#define LIB_NODE_STEERED_REQUEST_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "lib/node/node_metrics.h"
#include "lib/node/platform_adapter.h"
#include "lib/node/region_service.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"
#include "lib/retry/retry_state.h"
#include "lib/steering/idle_timeout_estimator.h"
#include "lib/steering/service_split.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// What a host believes of the configuration and its right to serve by it.
struct ServingState {
  /// Null until a configuration is known.
  std::shared_ptr<const ServingConfig> config;
  /// Nothing that operators had confirmed before this time is missing.
  TimePoint current_at = TimePoint::min();
  /// The other hosts leave this one its share of limits.
  bool share_valid = false;
};

/// What requests share. References outlive all requests.
class SteeringContext {
 public:
  virtual ~SteeringContext() = default;

  virtual Reactor& reactor() = 0;
  virtual TimePoint Now() const = 0;
  virtual ServingState Serving() const = 0;
  virtual const PlatformAdapter& adapter() const = 0;
  virtual HttpClientPool& caller() = 0;
  virtual TargetSelector& board() = 0;
  virtual ServiceSplit& split() = 0;
  virtual IdleTimeoutEstimator& idle_watch() = 0;
  virtual RegionService& region() = 0;
  virtual RetryBudget& BudgetOf(const ServiceId& service) = 0;
  virtual NodeMetrics& metrics() = 0;
  /// A key counts as withdrawn where the configuration is older.
  virtual Duration key_freshness() const = 0;
};

/// One caller's request, from its arrival to its answer. Keeps itself alive
/// until then. Not thread-safe.
class SteeredRequest : public std::enable_shared_from_this<SteeredRequest> {
 public:
  /// Precondition: `context` outlives the flow.
  SteeredRequest(SteeringContext& context,
                 std::shared_ptr<ServerExchange> exchange);

  /// Begins; call once.
  void Start();
  /// Refuses the request without a look at it, instead of Start.
  void RefuseUnseen(const char* reason, Duration retry_after);

 private:
  /// Finds route, account and deadline; false where the request was answered.
  bool Admit(TimePoint now);
  bool AdmitKey(const ServingState& serving);
  void OnLimit(std::optional<Duration> retry_after);
  void Attempt();
  std::variant<TargetChoice, NoTarget> Choose(TimePoint now);
  void Send(const TargetChoice& choice, TimePoint now);
  /// Sends the request to one more target where the first is late.
  void Hedge();
  void OnCallEnd(const TargetId& target, CallResult result);
  AttemptOutcome Judge(const CallResult& result,
                       const TargetFacts& facts,
                       AttemptResult& attempt);
  void OnCallerGone();
  void Refuse(int status,
              const char* reason,
              std::optional<Duration> retry_after);
  void GiveUp(const RetryDecision& decision);
  void PassOn(const TargetId& target, HttpResponse response);
  /// Ends all attempts under way.
  void Abandon();
  Duration Age() const;

  SteeringContext& m_context;
  const std::shared_ptr<ServerExchange> m_exchange;
  CallerFacts m_facts;
  // Keeps the route and account alive.
  std::shared_ptr<const ServingConfig> m_config;
  Duration m_config_age{};
  const ServingRoute* m_route = nullptr;
  const ServingAccount* m_account = nullptr;
  bool m_counted = false;
  TargetQuery m_query;
  TimePoint m_deadline;
  std::optional<RetryState> m_plan;
  struct Flight {
    std::unique_ptr<PendingCall> call;
    TimePoint sent;
  };
  // Attempts that have not ended.
  std::map<TargetId, Flight> m_flights;
  std::unique_ptr<Timer> m_hedge;
  // A target's failure that is passed on where no other target does better.
  std::optional<HttpResponse> m_failure;
  TargetId m_failed_target;
  Duration m_expected{};
};

}  // namespace applestand

#endif  // LIB_NODE_STEERED_REQUEST_H_
