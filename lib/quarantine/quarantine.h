#ifndef LIB_QUARANTINE_QUARANTINE_H_
#define LIB_QUARANTINE_QUARANTINE_H_

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/http/message.h"
#include "lib/quarantine/messages.h"

namespace applestand {

/// Computes the fingerprint of a request. Thread-safe.
Fingerprint FingerprintOf(const ClientAccountId& account,
                          const HttpRequest& request);

struct QuarantineOptions {
  /// Deaths of distinct targets that quarantine a request which was not
  /// answered lately and was present at no less than half of the deaths within
  /// `death_window`.
  size_t deaths_to_quarantine = 2;
  /// Deaths of distinct targets that quarantine a request in any case.
  size_t deaths_to_quarantine_always = 3;
  /// Longest time between a cut attempt and the news of the target's death.
  Duration join_window = std::chrono::seconds(10);
  Duration death_window = std::chrono::seconds(10);
  /// Time after which a suspicion is forgotten, counted from the end of a
  /// quarantine.
  Duration suspicion_life = std::chrono::minutes(10);
  /// Time for which a request is refused at first; each further death doubles
  /// it, up to 64 times.
  Duration quarantine_time = std::chrono::minutes(2);
  /// Time for which a request counts as answered lately; zero: answers are not
  /// looked at.
  Duration answered_window = std::chrono::seconds(30);
  /// Time within which a peer's notice of quarantine may have crossed the news
  /// of an answer.
  Duration crossing_window = std::chrono::seconds(2);
  /// Fingerprints of each kind held in memory; the least recent give way.
  size_t max_fingerprints = 4096;
};

/// Keeps requests that crash the targets that run them from reaching more
/// targets.
///
/// A suspicion is one cut attempt (connection dropped, no whole answer) on a
/// target that was seen down or restarted within the join window. Two distinct
/// targets quarantine the request: its callers get a final answer at once.
/// Two things keep innocent requests free, since a dying target takes every
/// request that it runs with it:
///  - a whole answer at any target clears the request everywhere, since one
///    that kills never completes, and for a while one more death is asked for;
///  - when many targets die at once, a request must have been present at half
///    of the deaths; three distinct deaths count in any case.
/// Time-outs and sheds never count.
///
/// Owner's duties, in the entry process:
///  - before each attempt: Check; where it returns a time, send nothing;
///  - after each attempt on a target: OnAnswered for a whole answer, or
///    OnAttemptCut where the connection was dropped during it;
///  - OnTargetDeath when a target is seen down or restarted (local or told);
///  - OnNotice for each peer notice; after each call: TakeNotices, and send
///    them to every peer.
///
/// Pure. Thread safety: none; one event loop owns it.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options);

  /// Time for which the request is still refused; nothing: it may be sent.
  [[nodiscard]] std::optional<Duration> Check(const Fingerprint& fingerprint,
                                              TimePoint now);

  /// A target answered the request in full.
  void OnAnswered(const Fingerprint& fingerprint, TimePoint now);

  /// The connection to `target` was dropped during an attempt.
  void OnAttemptCut(const Fingerprint& fingerprint,
                    const TargetId& target,
                    TimePoint now);

  /// `target` was seen down or restarted; once per death.
  void OnTargetDeath(const TargetId& target, TimePoint now);

  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  /// Returns and forgets the notices to send to every peer: this host's own
  /// observations. What peers tell is not relayed, since relayed suspicions and
  /// answers would chase each other round without end.
  [[nodiscard]] std::vector<QuarantineNotice> TakeNotices();

  /// Requests under suspicion or in quarantine.
  size_t suspects() const { return m_suspects.size(); }
  /// Quarantines imposed or learned since the start.
  uint64_t quarantined_total() const { return m_quarantined_total; }

 private:
  /// What is known of a request under suspicion.
  struct Record {
    /// Targets that died running it.
    std::set<TargetId> targets;
    TimePoint last_seen;
    std::optional<TimePoint> quarantined_until;
  };
  struct Cut {
    Fingerprint fingerprint;
    TargetId target;
    TimePoint at;
  };

  void Forget(TimePoint now);
  bool AnsweredWithin(Duration window,
                      const Fingerprint& fingerprint,
                      TimePoint now) const;
  void Observed(const Fingerprint& fingerprint,
                const TargetId& target,
                TimePoint now);
  /// Returns whether the suspicion is new.
  bool Suspect(const Fingerprint& fingerprint,
               const TargetId& target,
               TimePoint now);
  void Impose(const Fingerprint& fingerprint, Duration time, TimePoint now);
  bool Guilty(const Fingerprint& fingerprint,
              const Record& suspect,
              TimePoint now) const;
  /// Returns whether the request was under suspicion.
  bool Clear(const Fingerprint& fingerprint, TimePoint now);
  void MakeRoom();
  void Notify(QuarantineNoticeKind kind,
              const Fingerprint& fingerprint,
              const TargetId& target,
              Duration remaining);

  const QuarantineOptions m_options;
  std::map<Fingerprint, Record> m_suspects;
  /// Requests answered in full, and their order from oldest to newest.
  std::map<Fingerprint, std::list<std::pair<Fingerprint, TimePoint>>::iterator>
      m_answered;
  std::list<std::pair<Fingerprint, TimePoint>> m_answered_order;
  std::deque<Cut> m_cuts;
  /// Last death of each target within the death window.
  std::map<TargetId, TimePoint> m_deaths;
  std::vector<QuarantineNotice> m_notices;
  uint64_t m_quarantined_total = 0;
};

}  // namespace applestand

#endif  // LIB_QUARANTINE_QUARANTINE_H_
