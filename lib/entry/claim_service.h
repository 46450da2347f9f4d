#ifndef LIB_ENTRY_CLAIM_SERVICE_H_
#define LIB_ENTRY_CLAIM_SERVICE_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/claims/claim_manager.h"

namespace applestand {

/// Executes the store calls of a ClaimManager on worker threads and passes its
/// events to the callbacks of their requests. Not thread-safe; all calls must
/// come from the event loop.
class ClaimService {
 public:
  using OnEvent = std::function<void(const ClaimEvent&)>;

  /// Precondition: `incarnation` was never used by this host before. The
  /// references must outlive this object.
  ClaimService(HostId self,
               Incarnation incarnation,
               const Clock& clock,
               EventLoop& loop,
               TableService& table,
               ObjectStore& objects);

  /// Requests a claim for one arrival of a request. Assigns and returns
  /// `request.id`. Calls `on_event` exactly once, after this method returned.
  ClaimRequestId Begin(ClaimRequest request, OnEvent on_event);

  /// See ClaimManager::MaySend and ClaimManager::Finish.
  [[nodiscard]] bool MaySend(ClaimRequestId request);
  void Finish(ClaimRequestId request,
              Ran ran,
              std::optional<ClaimOutcome> outcome);

  /// See ClaimManager::Idle.
  bool Idle() const { return m_claim_manager.Idle(); }
  const ClaimCounters& counters() const { return m_claim_manager.counters(); }

 private:
  /// Starts the store calls that are due, dispatches the pending events, and
  /// schedules the next wake-up.
  void ProcessPending();
  void ScheduleWakeup();

  EventLoop& m_loop;
  TableService& m_table;
  ObjectStore& m_objects;
  ClaimManager m_claim_manager;
  ClaimRequestId m_last_id;
  std::unordered_map<ClaimRequestId, OnEvent> m_event_callbacks;
  std::optional<TimePoint> m_scheduled_wakeup;
  size_t m_next_worker = 0;
  std::vector<std::unique_ptr<Worker>> m_workers;
};

}  // namespace applestand

#endif  // LIB_ENTRY_CLAIM_SERVICE_H_
