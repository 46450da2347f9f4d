#ifndef LIB_CONFIG_HEAD_WATCH_H_
#define LIB_CONFIG_HEAD_WATCH_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Decides when a host reads the log's head. Each host reads about once in
/// `period` unless peers told it a head that was read more recently, so that
/// the reads of the whole fleet grow more slowly than the fleet; from some
/// hundred hosts on, `longest_wait` makes up most of them.
///
/// The owner calls PollDue on a timer of `period` / 10 or less; where true it
/// reads the head on a worker and then calls OnPollDone. It calls OnEvidence
/// for each HeadEvidence that an answer brought.
///
/// Pure. Single-threaded: owned by one EventLoop.
class HeadWatch {
 public:
  struct Options {
    Duration period = std::chrono::seconds(1);
    /// Added at random to each wait, so that hosts do not read in step.
    Duration jitter = std::chrono::milliseconds(500);
    /// A read without an answer is given up after this time.
    Duration read_timeout = std::chrono::seconds(2);
    /// This host reads at least this often, whatever peers tell, so that it
    /// knows by itself whether it reaches the store.
    Duration longest_wait = std::chrono::seconds(10);
  };

  /// `seed` differs between hosts.
  HeadWatch(Options options, uint64_t seed, TimePoint now);

  /// Whether to read the head now; true starts a read.
  [[nodiscard]] bool PollDue(TimePoint now);

  /// A read that PollDue started has ended, with or without success.
  void OnPollDone(TimePoint now);

  /// A peer's answer showed the head as of `read_at`, by this host's clock.
  void OnEvidence(TimePoint read_at);

 private:
  void Schedule(TimePoint from);

  Options m_options;
  uint64_t m_random;
  TimePoint m_next;
  TimePoint m_last_own;
  std::optional<TimePoint> m_reading_since;
};

}  // namespace applestand

#endif  // LIB_CONFIG_HEAD_WATCH_H_
