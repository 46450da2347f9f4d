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

/// Computes the fingerprint of a request. `host_name` is the host name that its
/// route depends on, in lower case, and empty if routes do not depend on it:
/// the Host header may hold the address of the host that took the request.
/// Thread-safe.
Fingerprint ComputeFingerprint(const ClientAccountId& account,
                               const std::string& host_name,
                               const HttpRequest& request);

struct QuarantineOptions {
  /// Number of distinct targets whose crashes quarantine a request, unless it
  /// was completed within `completed_window`, or was running at less than half
  /// of the targets that crashed within `crash_window`.
  size_t crashes_to_quarantine = 2;
  /// Number of distinct targets whose crashes quarantine a request in any case.
  size_t crashes_to_quarantine_always = 3;
  /// Maximum time between an aborted attempt and the report of its target's
  /// crash, in either order.
  Duration correlation_window = std::chrono::seconds(10);
  /// Time for which a crash of any target counts as recent.
  Duration crash_window = std::chrono::seconds(10);
  /// Time after which a suspicion expires, counted from the last crash or the
  /// end of the quarantine, whichever is later.
  Duration suspicion_lifetime = std::chrono::minutes(10);
  /// Duration of the first quarantine. Each further crash doubles it, up to a
  /// factor of 64.
  Duration quarantine_time = std::chrono::minutes(2);
  /// Time for which a complete response counts in favor of the request. If
  /// zero, complete responses are ignored.
  Duration completed_window = std::chrono::seconds(30);
  /// Time after a complete response within which a peer's notice of quarantine
  /// may have been sent before the peer learned of that response.
  Duration crossing_window = std::chrono::seconds(2);
  /// Maximum number of suspects, of aborted attempts and of completed requests
  /// in memory. The least recent are evicted.
  size_t max_fingerprints = 4096;
};

/// Returns options that quarantine a request after one crash more than the
/// defaults do, and for longer. For fleets whose targets often crash for other
/// reasons.
QuarantineOptions ThreeCrashOptions();

/// Keeps requests that crash the targets that run them from reaching more
/// targets.
///
/// A request becomes suspect if an attempt was aborted (ended without a
/// complete response) on a target that was reported down or restarted within
/// the correlation window. After `crashes_to_quarantine` crashes of distinct
/// targets the request is quarantined: its callers get a final response at
/// once. A crashing target aborts every request that it runs, so three rules
/// protect innocent requests:
///  - A complete response from any target clears the request on all hosts,
///    since a request that crashes targets never completes. Attempts that were
///    aborted before it do not count either, even if the crash of their target
///    is detected later. For `completed_window` after it,
///    `crashes_to_quarantine_always` crashes are required.
///  - If many targets crash at once, the request must have been running at half
///    of them or more, unless it reaches `crashes_to_quarantine_always`.
///  - A crash is explained by another request that was running at the target,
///    is quarantined, and is not known to have completed. If a request was
///    completed within `completed_window` before one of its crashes, and others
///    are explained, those that are not must be `crashes_to_quarantine` as
///    well.
/// Shed requests never count.
///
/// The owner, in the entry process, calls
///  - RemainingTime before each attempt; if it returns a time, the attempt must
///    not be made;
///  - after each attempt on a target, OnCompleteResponse for a complete
///    response, or OnAttemptAborted if there was none;
///  - OnTargetCrash if a target was found down or restarted, by this host or by
///    another one;
///  - OnNotice for each notice from a peer;
///  - TakeNotices after each of these calls, to send the notices to all peers.
///
/// Does no I/O and reads no clock. Not thread-safe.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options);

  /// Returns the time for which the request must still be rejected, or
  /// std::nullopt if it may be sent.
  [[nodiscard]] std::optional<Duration> RemainingTime(
      const Fingerprint& fingerprint,
      TimePoint now);

  /// Called when a target returned a complete response.
  void OnCompleteResponse(const Fingerprint& fingerprint, TimePoint now);

  /// Called when an attempt at `target` ended without a complete response.
  void OnAttemptAborted(const Fingerprint& fingerprint,
                        const TargetId& target,
                        TimePoint now);

  /// Called once per crash when `target` was found down or restarted.
  void OnTargetCrash(const TargetId& target, TimePoint now);

  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  /// Discards expired state, as the On functions do as well.
  void RemoveExpired(TimePoint now);

  /// Returns and removes the notices to send to all peers. They hold only
  /// observations of this host: if notices from peers were relayed, suspicions
  /// and completions would circulate between the hosts forever.
  [[nodiscard]] std::vector<QuarantineNotice> TakeNotices();

  /// Returns and removes the requests whose quarantine ended early because
  /// another request explains their crashes.
  [[nodiscard]] std::vector<Fingerprint> TakeExcused();

  /// Returns whether a host is known to have received a complete response to
  /// the request within QuarantineOptions::completed_window.
  bool CompletedRecently(const Fingerprint& fingerprint, TimePoint now) const {
    return CompletedWithin(m_options.completed_window, fingerprint, now);
  }
  /// Returns the number of targets that crashed while they were running the
  /// request; 0 if it is not suspect.
  size_t CrashesOf(const Fingerprint& fingerprint) const;
  /// Returns a notice of kind kSuspected for each crash that counts, whichever
  /// host observed it.
  std::vector<QuarantineNotice> Suspicions() const;
  /// Number of requests that are suspect or quarantined.
  size_t suspects() const { return m_suspects.size(); }
  /// Number of quarantines started since construction, by this host or by
  /// notice of a peer.
  uint64_t quarantined_total() const { return m_quarantined_total; }

 private:
  struct Suspect {
    /// Targets that crashed while they were running the request.
    std::set<TargetId> targets;
    /// Whether a host knew of a recent complete response at one of the crashes.
    bool served_before = false;
    TimePoint last_seen;
    std::optional<TimePoint> quarantined_until;
  };
  struct AbortedAttempt {
    Fingerprint fingerprint;
    TargetId target;
    TimePoint at;
  };

  bool CompletedWithin(Duration window,
                       const Fingerprint& fingerprint,
                       TimePoint now) const;
  /// Adds a suspicion that this host observed, and notifies the peers if it is
  /// new.
  void AddObservedSuspicion(const Fingerprint& fingerprint,
                            const TargetId& target,
                            TimePoint now);
  /// Returns whether the suspicion is new, or the first that tells that the
  /// request was served before.
  bool AddSuspicion(const Fingerprint& fingerprint,
                    const TargetId& target,
                    bool served_before,
                    TimePoint now);
  /// Quarantines the request, for a time that depends on the number of crashes,
  /// if they suffice.
  void QuarantineIfDue(const Fingerprint& fingerprint, TimePoint now);
  /// Quarantines the request until `now` + `time`, or extends its quarantine to
  /// then.
  void StartQuarantine(const Fingerprint& fingerprint,
                       Duration time,
                       TimePoint now);
  bool ShouldQuarantine(const Fingerprint& fingerprint,
                        const Suspect& suspect,
                        TimePoint now) const;
  /// Returns whether other requests explain so many crashes of a request that
  /// was served before that the others do not quarantine it.
  bool IsExcused(const Suspect& suspect) const;
  /// Ends the quarantines of requests that are excused.
  void ReleaseExcused(TimePoint now);
  /// Records a complete response. Returns whether the request was suspect.
  bool Clear(const Fingerprint& fingerprint, TimePoint now);
  /// Evicts the least recent suspect if there are too many.
  void EvictSuspect();
  void Notify(QuarantineNoticeKind kind,
              const Fingerprint& fingerprint,
              const TargetId& target,
              Duration remaining);

  const QuarantineOptions m_options;
  std::map<Fingerprint, Suspect> m_suspects;
  /// Completed requests, and their order from the least to the most recent.
  std::map<Fingerprint, std::list<std::pair<Fingerprint, TimePoint>>::iterator>
      m_completed;
  std::list<std::pair<Fingerprint, TimePoint>> m_completed_order;
  std::deque<AbortedAttempt> m_aborted_attempts;
  /// Time of the last crash of each target, while within the correlation or the
  /// crash window.
  std::map<TargetId, TimePoint> m_crashes;
  std::vector<QuarantineNotice> m_notices;
  std::vector<Fingerprint> m_excused;
  uint64_t m_quarantined_total = 0;
};

}  // namespace applestand

#endif  // LIB_QUARANTINE_QUARANTINE_H_
