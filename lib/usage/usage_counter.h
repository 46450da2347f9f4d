#ifndef LIB_USAGE_USAGE_COUNTER_H_
#define LIB_USAGE_USAGE_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/table_store/table_service.h"
#include "lib/usage/messages.h"

namespace applestand {

/// A call to the table service that the owner makes on behalf of UsageCounter.
struct UsageAction {
  uint64_t id = 0;
  /// If not empty, the owner calls Transact with these rows; otherwise it calls
  /// Read with `read_keys`.
  std::vector<RowWrite> writes;
  std::vector<std::string> read_keys;
};

/// Counts the charged and disputed requests of each client account in this
/// incarnation of a host, and writes the totals to the table.
///
/// Each incarnation has its own rows and overwrites them with cumulative
/// totals, so a repeated write or a lost response never counts a request twice.
/// A crash loses the requests counted since the last write, so an account is
/// never charged too much.
///
/// The owner (the entry process) calls on one thread:
///  - Count exactly once for each request of a keyed route, when it is final
///    whether the request ran.
///  - NextAction about once a second and after each result. The owner performs
///    the action on a thread that may block and passes the result to
///    OnTransactResult or OnReadResult. At most one action is outstanding.
///  - NextAction with `flush` before a planned stop, until IsWritten returns
///    true.
///
/// Performs no I/O. Not thread-safe.
class UsageCounter {
 public:
  struct Options {
    /// Time from the end of one write of all totals to the start of the next.
    Duration write_interval = std::chrono::seconds(10);
    /// Delay before the next call after a failed call to the table service.
    Duration retry_interval = std::chrono::seconds(2);
    /// Maximum number of rows in one action. Precondition: greater than zero.
    size_t batch = 50;
  };

  /// Precondition: `host` has never used `incarnation` before.
  UsageCounter(HostId host, Incarnation incarnation, Options options);

  /// Counts one request. Requests that did not run (kNotRun) are ignored.
  void Count(const ClientAccountId& account, Ran ran);

  /// Returns the next table call, or std::nullopt if none is due or one is
  /// outstanding. With `flush`, a write is due without waiting for
  /// `write_interval`.
  [[nodiscard]] std::optional<UsageAction> NextAction(TimePoint now,
                                                      bool flush = false);

  /// Processes the result of the outstanding action `action_id`. Results of
  /// other actions are ignored.
  void OnTransactResult(TimePoint now, uint64_t action_id, TableStatus status);
  void OnReadResult(TimePoint now,
                    uint64_t action_id,
                    const ReadResult& result);

  /// Returns true if all totals have been written to the table.
  bool IsWritten() const;

 private:
  struct Entry {
    Usage usage;
    Usage written;
    RowVersion version;
    // The outcome of the last write is unknown or was a conflict, so the row's
    // version must be read before the next write.
    bool version_uncertain = false;
  };
  struct Outstanding {
    uint64_t id = 0;
    // The accounts of the action, with the totals being written.
    std::map<ClientAccountId, Usage> accounts;
  };

  static bool IsDirty(const Entry& entry);
  std::string KeyOf(const ClientAccountId& account) const;
  std::optional<UsageAction> MakeRead();
  std::optional<UsageAction> MakeWrite();

  const HostId m_host;
  const Incarnation m_incarnation;
  const Options m_options;
  std::map<ClientAccountId, Entry> m_entries;
  // The account at which the next batch starts. Batches rotate through all
  // accounts, so that none is starved.
  ClientAccountId m_next_account;
  std::optional<Outstanding> m_outstanding;
  uint64_t m_last_action_id = 0;
  std::optional<TimePoint> m_next_write;
  std::optional<TimePoint> m_retry_at;
};

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_COUNTER_H_
