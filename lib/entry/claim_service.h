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

/// Runs a ClaimManager's platform calls on workers and hands its events on.
/// Single-threaded: lives on one event loop.
class ClaimService {
 public:
  using OnEvent = std::function<void(const ClaimEvent&)>;

  ClaimService(HostId self,
               Incarnation incarnation,
               const Clock& clock,
               EventLoop& loop,
               TableService& table,
               ObjectStore& objects);

  /// Starts an arrival; `request.id` is set here and returned. `on_event` runs
  /// once, later.
  ClaimRequestId Begin(ClaimRequest request, OnEvent on_event);

  /// As ClaimManager::MaySend and ClaimManager::Finish.
  [[nodiscard]] bool MaySend(ClaimRequestId request);
  void Finish(ClaimRequestId request,
              Ran ran,
              std::optional<ClaimOutcome> outcome);

  /// Whether every outcome is stored.
  bool Idle() const { return m_book.Idle(); }
  const ClaimCounters& counters() const { return m_book.counters(); }

 private:
  void Pump();
  void ScheduleWakeup();

  EventLoop& m_loop;
  TableService& m_table;
  ObjectStore& m_objects;
  ClaimManager m_book;
  ClaimRequestId m_last_id;
  std::unordered_map<ClaimRequestId, OnEvent> m_waiting;
  std::optional<TimePoint> m_wakeup;
  size_t m_next_worker = 0;
  std::vector<std::unique_ptr<Worker>> m_workers;
};

}  // namespace applestand

#endif  // LIB_ENTRY_CLAIM_SERVICE_H_
