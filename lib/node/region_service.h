#ifndef LIB_NODE_REGION_SERVICE_H_
#define LIB_NODE_REGION_SERVICE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lib/fleet/fleet_membership.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"
#include "lib/steering/limit_coordinator.h"
#include "lib/steering/region_load_aggregator.h"
#include "lib/steering/target_selector.h"

namespace applestand {

struct RegionResponse;

/// Coordinates the hosts of a region. The first-ranked live host of the region
/// is polled by the others several times a second:
/// - As limit coordinator it grants tokens from the shares of the accounts'
///   limits that the other hosts delegate to it. While it is unreachable, hosts
///   use their own shares.
/// - It adds up the requests that the hosts have in flight at each target.
/// Every host runs this service and can have either role. Not thread-safe.
class RegionService : public RequestHandler {
 public:
  /// Path of RegionRequest at a host's fleet address.
  static constexpr const char* kRegionPath = "/fleet/region";

  /// Receives std::nullopt if the request may be sent, otherwise the time after
  /// which the caller should retry.
  using Callback = std::function<void(std::optional<Duration> retry_after)>;

  /// All references must outlive this object.
  RegionService(Reactor& reactor,
                HttpClientPool& http_client,
                const FleetMembership& membership,
                TargetSelector& selector,
                const ShareBounds& bounds);
  ~RegionService() override;

  /// Starts to poll the coordinator.
  void Start();
  /// Must be called for each new configuration.
  void SetAccounts(std::shared_ptr<const ServingConfig> config);
  /// Sets the number of hosts among which limits are divided; 0 if unknown.
  void SetHosts(uint32_t hosts);
  /// Releases the shares that other hosts delegated to this host. Afterwards
  /// this host neither acts as limit coordinator nor polls one.
  void Close();

  /// Acquires a token of the account for one request. Calls `callback`
  /// immediately, or when the coordinator has responded or the wait for it has
  /// timed out. Precondition: the account has a limit.
  void Acquire(const ServingAccount& account, Callback callback);
  /// Called when a request that got a token was not sent.
  void ReturnToken(const ClientAccountId& account);

  /// Handles a RegionRequest of another host.
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override;

 private:
  struct Waiter {
    Callback callback;
    TimePoint since;
  };
  struct AccountState {
    std::deque<Waiter> waiters;
    // Tokens that were granted and have not been used.
    uint32_t granted_tokens = 0;
    TimePoint granted_tokens_expire_at;
    uint32_t requests_since_poll = 0;
    // Moving average of the requests per second.
    double rate = 0;
    // The coordinator granted fewer tokens than were wanted. Until this time,
    // requests that get no token locally are rejected without asking it.
    TimePoint retry_at;
  };

  /// Returns the limit coordinator of this region, which may be this host;
  /// empty after Close().
  const HostId& ChooseCoordinator(TimePoint now);
  /// Sends a RegionRequest to the coordinator unless one is pending. If this
  /// host is the coordinator, updates the load of the region.
  void PollCoordinator();
  /// Calls PollCoordinator() from the event loop, without delay.
  void PollSoon();
  /// Called when the poll has ended. `own` holds the requests in flight that
  /// this host reported in it.
  void OnCoordinatorResponse(const HostId& coordinator,
                             const TargetCounts& own,
                             const CallResult& result);
  void ApplyResponse(const RegionResponse& response,
                     const TargetCounts& own,
                     TimePoint now);
  /// Rejects the waiters that have waited longer than kMaxWait.
  void ExpireWaiters(TimePoint now);
  /// Updates the part of this host's share that it uses itself. Adds the start
  /// tokens once this host may use its share.
  void UpdateOwnShare(TimePoint now);
  void AddStartTokens(TimePoint now);
  /// Returns how many tokens to request from the coordinator. Also updates the
  /// account's rate.
  uint32_t TokensToRequest(const ClientAccountId& id,
                           AccountState& account,
                           TimePoint now);
  const ServingAccount* FindAccount(const ClientAccountId& id) const;

  Reactor& m_reactor;
  HttpClientPool& m_http_client;
  const FleetMembership& m_membership;
  TargetSelector& m_selector;
  std::shared_ptr<const ServingConfig> m_config;
  uint32_t m_hosts = 0;
  bool m_closed = false;
  // Limits requests to the part of its share that this host uses itself.
  ShareLimiter m_own_limiter;
  // Used while this host is the coordinator.
  LimitCoordinator m_coordinator;
  ShareDelegation m_delegation;
  bool m_start_tokens_added = false;
  // Until this time the pooled part of the start tokens may be given to the
  // coordinator.
  TimePoint m_start_tokens_expire_at = TimePoint::min();
  // The coordinator is polled again at once after its next response.
  bool m_poll_after_stamp = false;
  RegionLoadAggregator m_load_aggregator;
  HostId m_coordinator_host;
  TimePoint m_coordinator_chosen_at;
  std::map<ClientAccountId, AccountState> m_accounts;
  std::unique_ptr<PendingCall> m_pending_poll;
  // When the last poll was sent.
  TimePoint m_polled_at;
  TimePoint m_load_polled_at;
  // Requests arrived that the pending poll does not cover.
  bool m_poll_again = false;
  Timer m_poll_timer;
  Timer m_immediate_poll_timer;
};

}  // namespace applestand

#endif  // LIB_NODE_REGION_SERVICE_H_
