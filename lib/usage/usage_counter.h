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

/// One call to the table service that the owner is to make for UsageCounter.
struct UsageAction {
  uint64_t id = 0;
  /// Call Transact with these if not empty, else Read with `read_keys`.
  std::vector<RowWrite> writes;
  std::vector<std::string> read_keys;
};

/// Counts what this run of a host has to charge, and writes the totals.
///
/// Each run has rows of its own and overwrites them with cumulative totals, so
/// a repeated write or a lost answer never counts a request twice. A crash
/// loses what was counted since the last write: never charged too much.
///
/// The owner (the entry process) calls, on one thread:
///  - Count exactly once for each request of a keyed route, when its verdict
///    is final,
///  - NextAction about once a second and after each result; it runs the action
///    on a thread that may block, and brings the result back with
///    OnTransactResult or OnReadResult. At most one action is outstanding.
///  - on a planned stop, NextAction with `flush` until IsWritten.
///
/// Not thread-safe. No I/O.
class UsageCounter {
 public:
  struct Options {
    /// Time between two writes of totals.
    Duration write_interval = std::chrono::seconds(10);
    /// Pause after a call that the table service did not answer.
    Duration retry_interval = std::chrono::seconds(2);
    /// Rows per transaction.
    size_t batch = 50;
  };

  /// Precondition: `incarnation` was never used by this host id before.
  UsageCounter(HostId host, Incarnation incarnation, Options options);

  /// Counts one request. kNotRun is never charged.
  void Count(const ClientAccountId& account, Ran ran);

  /// The next table call, or nothing if none is due or one is outstanding.
  /// `flush` makes it due at once.
  [[nodiscard]] std::optional<UsageAction> NextAction(TimePoint now,
                                                      bool flush = false);

  /// Result of the outstanding action `action_id`; others are ignored.
  void OnTransactResult(TimePoint now, uint64_t action_id, TableStatus status);
  void OnReadResult(TimePoint now,
                    uint64_t action_id,
                    const ReadResult& result);

  /// Whether the table has all totals.
  bool IsWritten() const;

 private:
  struct Entry {
    Usage usage;
    Usage written;
    RowVersion version;
    // The row's version is not certain: read before the next write.
    bool must_read = false;
  };
  struct Outstanding {
    uint64_t id = 0;
    // With the totals that are being written.
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
  // Where the next batch starts, so that no account waits for ever.
  ClientAccountId m_next_account;
  std::optional<Outstanding> m_outstanding;
  uint64_t m_last_action = 0;
  std::optional<TimePoint> m_next_write;
  std::optional<TimePoint> m_retry_at;
};

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_COUNTER_H_
