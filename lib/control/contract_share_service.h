#ifndef LIB_CONTROL_CONTRACT_SHARE_SERVICE_H_
#define LIB_CONTROL_CONTRACT_SHARE_SERVICE_H_

#include <memory>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/contract_shares/share_manager.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// Owns the ShareManager of this host, which leases contract shares (equal
/// parts of every contract) in the platform's table service, and runs its table
/// calls on a worker. Single-threaded: all methods are called on the thread of
/// the event loop.
class ContractShareService {
 public:
  /// The references must outlive this object.
  ContractShareService(HostId self,
                       Incarnation incarnation,
                       const ShareManager::Options& options,
                       const Clock& clock,
                       EventLoop& loop,
                       TableService& table);

  /// Starts the next table call if one is due. Must be called about every
  /// 200 ms. `share_count` is the configuration's number of shares of every
  /// contract; only its value in the call that creates the manager is used.
  void Tick(uint32_t share_count, const std::vector<HostId>& live_hosts);

  /// Called when the entry process reports the grant that it uses. The first
  /// report lets the manager adopt shares that an earlier incarnation of the
  /// control process granted.
  void OnEntryGrant(const ShareGrant& grant);

  /// Returns the contract shares that the entry process may use.
  ShareGrant Grant();

  /// Starts to release all contract shares. None is acquired afterwards.
  void BeginStop();
  /// Returns whether no contract share is left to release.
  bool Stopped() const;
  /// Returns the number of contract shares that this host owns now.
  size_t OwnedCount() const;

 private:
  void CreateManager(uint32_t share_count);
  void RunAction(const ShareAction& action);
  void LogOwnershipChange();

  const HostId m_self;
  const Incarnation m_incarnation;
  const ShareManager::Options m_options;
  EventLoop& m_loop;
  TableService& m_table;
  const TimePoint m_started_at;
  std::unique_ptr<ShareManager> m_manager;
  uint32_t m_share_count = 0;
  ShareGrant m_entry_grant;
  bool m_entry_reported = false;
  bool m_stopping = false;
  size_t m_last_owned_count = 0;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_CONTRACT_SHARE_SERVICE_H_
