#ifndef LIB_CONFIG_HEAD_POLL_SCHEDULER_H_
#define LIB_CONFIG_HEAD_POLL_SCHEDULER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Decides when a host reads the head of the configuration log from the store.
/// A host reads about once per `poll_interval`, unless peers report a head that
/// was read more recently. The number of reads in the whole fleet therefore
/// grows more slowly than the number of hosts. From a few hundred hosts on,
/// most reads are those required by `max_read_interval`.
///
/// The owner calls StartPollIfDue on a timer of `poll_interval` / 10 or less.
/// If it returns true, the owner reads the head on a worker thread and then
/// calls OnPollDone. It calls OnEvidence for each HeadEvidence received in a
/// reply.
///
/// Performs no I/O and reads no clock. Not thread-safe; owned by one EventLoop.
class HeadPollScheduler {
 public:
  struct Options {
    Duration poll_interval = std::chrono::seconds(1);
    /// Upper bound of the random delay added to each wait, so that hosts do not
    /// read simultaneously.
    Duration jitter = std::chrono::milliseconds(500);
    /// A read that has not ended after this time no longer blocks the next one.
    Duration read_timeout = std::chrono::seconds(2);
    /// Longest time between two reads by this host, regardless of what peers
    /// report, so that it determines itself whether it can reach the store.
    Duration max_read_interval = std::chrono::seconds(10);
  };

  /// `seed` initializes the random delays and should differ between hosts.
  HeadPollScheduler(Options options, uint64_t seed, TimePoint now);

  /// Returns whether the owner must read the head now. If true, the read counts
  /// as started.
  [[nodiscard]] bool StartPollIfDue(TimePoint now);

  /// Called when a read started by StartPollIfDue has ended, successfully or
  /// not.
  void OnPollDone(TimePoint now);

  /// Called when a peer's reply contains the head as it was at `read_at`, by
  /// this host's clock.
  void OnEvidence(TimePoint read_at);

 private:
  /// Postpones the next poll until at least `poll_interval` after `from`.
  void Schedule(TimePoint from);

  Options m_options;
  uint64_t m_random_state;
  TimePoint m_next_poll;
  TimePoint m_last_own_read;
  std::optional<TimePoint> m_read_started;
};

}  // namespace applestand

#endif  // LIB_CONFIG_HEAD_POLL_SCHEDULER_H_
