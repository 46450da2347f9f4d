#ifndef LIB_ENTRY_USAGE_SERVICE_H_
#define LIB_ENTRY_USAGE_SERVICE_H_

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/usage/usage_counter.h"

namespace applestand {

/// Counts the requests of this incarnation that are charged to client accounts,
/// and executes the counter's table calls on a worker thread. Not thread-safe;
/// all calls must come from the event loop.
class UsageService {
 public:
  /// Precondition: `incarnation` was never used by this host before. The
  /// references must outlive this object.
  UsageService(HostId self,
               Incarnation incarnation,
               const Clock& clock,
               EventLoop& loop,
               TableService& table);

  /// Counts one request of a route that requires a key. Must be called once per
  /// request, when it is final whether the request ran.
  void Count(const ClientAccountId& account, Ran ran) {
    m_counter.Count(account, ran);
  }

  /// Starts the next table call if one is due. Must be called about once a
  /// second.
  void Tick();

  /// Makes all further totals due immediately.
  void BeginStop();

  /// Returns whether all totals are stored in the table.
  bool Idle() const { return m_counter.IsWritten(); }

 private:
  void RunTableCall(const UsageAction& action);

  EventLoop& m_loop;
  TableService& m_table;
  UsageCounter m_counter;
  bool m_flush = false;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_ENTRY_USAGE_SERVICE_H_
