#ifndef LIB_RETRY_ATTEMPT_PLAN_H_
#define LIB_RETRY_ATTEMPT_PLAN_H_

#include <cstdint>
#include <set>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/retry/retry_budget.h"

namespace applestand {

struct AttemptOptions {
  /// The route's requests may run more than once without harm.
  bool repeatable = false;
  /// Attempts in all.
  uint32_t max_attempts = 3;
  /// Attempts that may end without a whole answer after bytes were sent. Two,
  /// so that a request that crashes targets never reaches a third.
  uint32_t max_unanswered = 2;
  /// Targets that could not be reached before the request is given up on.
  uint32_t max_unreached = 3;
  /// No attempt starts with less time left.
  Duration min_attempt_time = std::chrono::milliseconds(5);
  /// Told to callers where no target named a time.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// How one attempt ended.
struct AttemptResult {
  /// Target tried; empty where none was chosen.
  TargetId target;
  /// kRan: a whole answer, whatever its status. kNotRun: refused connection,
  /// shed, or own refusal; nothing was or will be run.
  Ran ran = Ran::kNotRun;
  /// When the target or the local queue said to come back; zero: not said.
  Duration retry_after{};
  /// Some of the request left for the target. Otherwise, as where no connection
  /// could be made, the attempt put no load on any target: it counts neither as
  /// an attempt nor against the budget.
  bool sent = true;
};

struct AttemptDecision {
  enum class Kind {
    /// Pass the attempt's answer on.
    kAnswer,
    /// Try again now, at a target that is not in tried().
    kRetry,
    /// Tell the caller at once that it failed.
    kGiveUp,
    /// Wait for the attempts that still run.
    kWait,
  };

  Kind kind = Kind::kGiveUp;
  /// What is true of the whole request, over all attempts.
  Ran ran = Ran::kNotRun;
  /// kGiveUp: when the caller is to come back.
  Duration retry_after{};
  /// kGiveUp: why; a constant.
  const char* reason = "";
};

/// The attempts of one request: decides after each whether to answer, to try
/// elsewhere, or to give up.
///
/// kNotRun may be retried on every route, kMayHaveRun on repeatable routes
/// only; neither past the deadline, beyond the budget, or without a target
/// left. A request that is given up on is answered at once.
///
/// Owner's duties: MayStart before the first attempt; OnAttempt after each; on
/// kGiveUp answer at once (ProblemResponse); where no target is left after
/// kRetry, OnNoTarget.
///
/// Pure. Thread safety: none; one event loop owns it. The budget must outlive
/// the plan.
class AttemptPlan {
 public:
  AttemptPlan(AttemptOptions options, TimePoint deadline, RetryBudget& budget);

  /// Whether there is time for an attempt.
  [[nodiscard]] bool MayStart(TimePoint now) const;

  /// Takes an attempt's end; `running` others have not ended. Preconditions:
  /// not decided kAnswer or kGiveUp; an attempt that was not sent has not run.
  [[nodiscard]] AttemptDecision OnAttempt(const AttemptResult& result,
                                          TimePoint now,
                                          uint32_t running = 0);

  /// Whether one more attempt may run beside `running` others that have not
  /// ended; it is then taken from the budget.
  [[nodiscard]] bool TryHedge(TimePoint now, uint32_t running);

  /// The request cannot be sent (again): no target, quarantined, withdrawn key.
  [[nodiscard]] AttemptDecision OnNoTarget(Duration retry_after);

  /// Targets that got the request or refused it.
  const std::set<TargetId>& tried() const { return m_tried; }
  TimePoint deadline() const { return m_deadline; }
  uint32_t attempts() const { return m_attempts; }

 private:
  /// What is true of all attempts so far, none of them answered.
  Ran CombinedRan() const;
  AttemptDecision GiveUp(const char* reason);

  const AttemptOptions m_options;
  const TimePoint m_deadline;
  RetryBudget& m_budget;
  std::set<TargetId> m_tried;
  uint32_t m_attempts = 0;
  uint32_t m_unanswered = 0;
  uint32_t m_unreached = 0;
  Duration m_last_retry_after{};
  bool m_decided = false;
};

}  // namespace applestand

#endif  // LIB_RETRY_ATTEMPT_PLAN_H_
