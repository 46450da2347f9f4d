#ifndef LIB_ENTRY_USAGE_SERVICE_H_
#define LIB_ENTRY_USAGE_SERVICE_H_

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/usage/usage_counter.h"

namespace applestand {

/// Counts what this run has to charge and runs the counter's table calls on a
/// worker. Single-threaded: lives on one event loop.
class UsageService {
 public:
  UsageService(HostId self,
               Incarnation incarnation,
               const Clock& clock,
               EventLoop& loop,
               TableService& table);

  /// Counts one request of a keyed route, when its verdict is final.
  void Count(const ClientAccountId& account, Ran ran) {
    m_counter.Count(account, ran);
  }

  /// Makes the next table call where one is due. Call about once a second.
  void Tick();

  /// From now on totals are written at once.
  void BeginStop();

  /// Whether the table has all totals.
  bool Idle() const { return m_counter.IsWritten(); }

 private:
  void Run(const UsageAction& action);

  EventLoop& m_loop;
  TableService& m_table;
  UsageCounter m_counter;
  bool m_flush = false;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_ENTRY_USAGE_SERVICE_H_
