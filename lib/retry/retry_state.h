#ifndef LIB_RETRY_RETRY_STATE_H_
#define LIB_RETRY_RETRY_STATE_H_

#include <cstdint>
#include <set>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/retry/retry_budget.h"

namespace applestand {

struct RetryOptions {
  /// Whether the route's requests may run more than once without harm.
  bool repeatable = false;
  /// Maximum number of attempts, including the first.
  uint32_t max_attempts = 3;
  /// Maximum number of attempts that may end without a complete response after
  /// bytes were sent. Two, so that a request that crashes targets never reaches
  /// a third one.
  uint32_t max_unanswered = 2;
  /// Maximum number of unreachable targets; at the next one the request gives
  /// up.
  uint32_t max_unreachable = 3;
  /// No attempt starts with less time left.
  Duration min_attempt_time = std::chrono::milliseconds(5);
  /// Sent to callers if no target or queue specified a time.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// How one attempt ended.
struct AttemptResult {
  /// The target that was tried; empty if none was chosen.
  TargetId target;
  /// kRan: a complete response, whatever its status. kNotRun: connection
  /// refused, request shed by the target, or rejected by this host; it did not
  /// and will not run.
  Ran ran = Ran::kNotRun;
  /// Time that the target or the local queue asked to wait before a retry; zero
  /// if unspecified.
  Duration retry_after{};
  /// Whether any part of the request was sent to the target. If not, for
  /// example because no connection could be made, the attempt put no load on
  /// the target and counts against neither the attempts nor the budget.
  bool sent = true;
};

struct RetryDecision {
  enum class Kind {
    /// Return the attempt's response to the caller.
    kReturnResponse,
    /// Try again now, at a target that is not in tried().
    kRetry,
    /// Respond to the caller at once that the request failed.
    kGiveUp,
    /// Wait for the attempts that are still running.
    kWait,
  };

  Kind kind = Kind::kGiveUp;
  /// Whether the request ran, over all its attempts.
  Ran ran = Ran::kNotRun;
  /// kGiveUp: time after which the caller may try again.
  Duration retry_after{};
  /// kGiveUp: why; a string literal.
  const char* reason = "";
};

/// State of the attempts of one request. Decides after each attempt whether to
/// return the response, to retry at another target, or to give up.
///
/// An attempt that ended as kNotRun may be retried on every route, one that
/// ended as kMayHaveRun on repeatable routes only. There is no retry after the
/// deadline, beyond the budget, or without a target left; the caller then gets
/// a response at once.
///
/// The owner calls CanStartAttempt before the first attempt and OnAttempt after
/// each. On kGiveUp it responds at once (MakeProblemResponse). If no target is
/// left after kRetry, it calls OnCannotSend.
///
/// Does no I/O and reads no clock. Not thread-safe; owned by one event loop.
/// The budget must outlive this object.
class RetryState {
 public:
  RetryState(RetryOptions options, TimePoint deadline, RetryBudget& budget);

  /// Returns whether the request is undecided and there is time for an attempt.
  [[nodiscard]] bool CanStartAttempt(TimePoint now) const;

  /// Called when an attempt ended while `running` others are still running.
  /// Preconditions: no earlier decision was kReturnResponse or kGiveUp; an
  /// attempt that was not sent has the result kNotRun.
  [[nodiscard]] RetryDecision OnAttempt(const AttemptResult& result,
                                        TimePoint now,
                                        uint32_t running = 0);

  /// Returns whether a hedged request may be sent in addition to `running`
  /// attempts. If so, takes it from the budget.
  [[nodiscard]] bool TryHedge(TimePoint now, uint32_t running);

  /// Called when the request cannot be sent (again): no target is left, it is
  /// quarantined, or its key was withdrawn. Returns kGiveUp with `reason`, a
  /// string literal. Precondition: no earlier decision was kReturnResponse or
  /// kGiveUp.
  [[nodiscard]] RetryDecision OnCannotSend(
      Duration retry_after,
      const char* reason = "no target can take the request");

  /// Targets of the attempts that ended, including unreachable targets.
  const std::set<TargetId>& tried() const { return m_tried; }
  TimePoint deadline() const { return m_deadline; }
  /// Number of attempts that were sent.
  uint32_t attempts() const { return m_attempts; }
  /// Returns whether the request ran, if no attempt so far got a complete
  /// response: kNotRun or kMayHaveRun.
  Ran combined_ran() const {
    return m_unanswered > 0 ? Ran::kMayHaveRun : Ran::kNotRun;
  }

 private:
  RetryDecision GiveUp(const char* reason);

  const RetryOptions m_options;
  const TimePoint m_deadline;
  RetryBudget& m_budget;
  std::set<TargetId> m_tried;
  uint32_t m_attempts = 0;
  uint32_t m_unanswered = 0;
  uint32_t m_unreachable = 0;
  Duration m_last_retry_after{};
  bool m_decided = false;
};

}  // namespace applestand

#endif  // LIB_RETRY_RETRY_STATE_H_
