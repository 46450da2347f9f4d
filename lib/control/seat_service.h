#ifndef LIB_CONTROL_SEAT_SERVICE_H_
#define LIB_CONTROL_SEAT_SERVICE_H_

#include <memory>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/contract_shares/share_manager.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// Runs a ShareManager's table calls on a worker.
/// Single-threaded: lives on one event loop.
class SeatService {
 public:
  SeatService(HostId self,
              Incarnation incarnation,
              const ShareManager::Options& options,
              const Clock& clock,
              EventLoop& loop,
              TableService& table);

  /// Makes the next table call where one is due. Call about every 200 ms.
  /// `seats` is the configuration's number of shares.
  void Tick(uint32_t seats, const std::vector<HostId>& live_hosts);

  /// The entry process reports the grant that it uses.
  void OnEntryGrant(const ShareGrant& grant);

  /// The seats that the entry process may use.
  ShareGrant Grant();

  void BeginStop();
  bool Stopped() const;
  size_t OwnedCount() const;

 private:
  void Start(uint32_t seats);
  void Run(const ShareAction& action);
  void NoteOwned();

  const HostId m_self;
  const Incarnation m_incarnation;
  const ShareManager::Options m_options;
  EventLoop& m_loop;
  TableService& m_table;
  const TimePoint m_start;
  std::unique_ptr<ShareManager> m_manager;
  uint32_t m_seats = 0;
  ShareGrant m_entry_grant;
  bool m_entry_seen = false;
  bool m_stopping = false;
  size_t m_owned = 0;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_SEAT_SERVICE_H_
