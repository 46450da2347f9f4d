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

struct RegionReply;

/// What the hosts of a region do together. The first of them is asked by the
/// others several times a second:
/// - it is the bank that grants requests of accounts, out of the shares of
///   limits that they leave to it; a host's own share serves while it is lost;
/// - it adds up the requests that they have at each target.
/// Not thread-safe.
class RegionService : public RequestHandler {
 public:
  /// Path of the request for grants on the fleet's address.
  static constexpr const char* kRegionPath = "/fleet/region";

  /// Nothing: the request may be sent. Otherwise when one more may.
  using Callback = std::function<void(std::optional<Duration> retry_after)>;

  /// Preconditions: the references outlive this object.
  RegionService(Reactor& reactor,
                HttpClientPool& caller,
                const FleetMembership& membership,
                TargetSelector& board,
                const ShareBounds& bounds);
  ~RegionService() override;

  void Start();
  void SetAccounts(std::shared_ptr<const ServingConfig> config);
  /// Number of hosts that share limits; 0: not known.
  void SetHosts(uint32_t hosts);
  /// Gives the shares of other hosts back.
  void Close();

  /// Calls `callback` at once or within `kLongestWait`.
  void Acquire(const ServingAccount& account, Callback callback);
  /// A request that was let through was not sent.
  void GiveBack(const ClientAccountId& account);

  /// Another host asks the bank.
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override;

 private:
  struct Waiter {
    Callback callback;
    TimePoint since;
  };
  struct Account {
    std::deque<Waiter> waiters;
    // Granted and not used.
    uint32_t granted = 0;
    TimePoint granted_until;
    // Requests since the last call to the bank, and their moving rate.
    uint32_t came = 0;
    double rate = 0;
    TimePoint retry_at;
  };

  const HostId& Bank(TimePoint now);
  void AskBank();
  void OnAnswer(const HostId& bank,
                const TargetCounts& own,
                const CallResult& result);
  void Take(const RegionReply& reply, const TargetCounts& own, TimePoint now);
  void Settle(TimePoint now);
  void UpdateOwnPart(TimePoint now);
  uint32_t Wanted(const ClientAccountId& id, Account& account, TimePoint now);
  const ServingAccount* Find(const ClientAccountId& id) const;

  Reactor& m_reactor;
  HttpClientPool& m_caller;
  const FleetMembership& m_membership;
  TargetSelector& m_board;
  std::shared_ptr<const ServingConfig> m_config;
  uint32_t m_hosts = 0;
  bool m_closed = false;
  ShareLimiter m_own;
  LimitCoordinator m_bank;
  ShareDelegation m_pledge;
  RegionLoadAggregator m_load;
  HostId m_bank_host;
  TimePoint m_bank_chosen;
  std::map<ClientAccountId, Account> m_accounts;
  std::unique_ptr<PendingCall> m_call;
  TimePoint m_asked_at;
  TimePoint m_load_asked_at;
  bool m_ask_again = false;
  Timer m_refresh;
  Timer m_soon;
};

}  // namespace applestand

#endif  // LIB_NODE_REGION_SERVICE_H_
