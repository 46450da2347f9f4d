#include <doctest/doctest.h>

#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/retry/retry_state.h"

namespace applestand {

namespace {

/// A generated attempt: `outcome` selects its ActualOutcome.
struct Attempt {
  int outcome = 0;
  int millis = 0;
};

std::ostream& operator<<(std::ostream& os, const Attempt& attempt) {
  return os << attempt.outcome << "/" << attempt.millis;
}

/// What the entry observed of an attempt, and whether the target ran it.
struct ActualOutcome {
  Ran observed = Ran::kNotRun;
  bool ran = false;
};

ActualOutcome OutcomeOf(int outcome) {
  switch (outcome) {
    case 0:
      return {Ran::kNotRun, false};
    case 1:
      return {Ran::kMayHaveRun, false};
    case 2:
      return {Ran::kMayHaveRun, true};
    default:
      return {Ran::kRan, true};
  }
}

void CheckRequest(bool repeatable,
                  const std::vector<Attempt>& attempts,
                  RetryBudget& budget) {
  TimePoint now{std::chrono::hours(1)};
  const TimePoint deadline = now + std::chrono::milliseconds(300);
  RetryOptions options;
  options.repeatable = repeatable;
  RetryState state(options, deadline, budget);
  int runs = 0;
  bool two_unanswered = false;
  int unanswered = 0;
  uint64_t target = 0;
  for (const Attempt& attempt : attempts) {
    RC_ASSERT(state.CanStartAttempt(now));
    RC_ASSERT(now < deadline);
    RC_ASSERT(!two_unanswered);
    const ActualOutcome actual = OutcomeOf(attempt.outcome);
    runs += actual.ran ? 1 : 0;
    unanswered += actual.observed == Ran::kMayHaveRun ? 1 : 0;
    two_unanswered = unanswered == 2;
    now += std::chrono::milliseconds(attempt.millis);
    const RetryDecision decision = state.OnAttempt(
        {TargetId(std::to_string(++target)), actual.observed, {}}, now);
    if (!repeatable) {
      RC_ASSERT(runs <= 1);
    }
    if (decision.kind == RetryDecision::Kind::kRetry) {
      RC_ASSERT(repeatable || unanswered == 0);
      continue;
    }
    if (decision.kind == RetryDecision::Kind::kReturnResponse) {
      RC_ASSERT(actual.observed == Ran::kRan && decision.ran == Ran::kRan);
    } else {
      RC_ASSERT(decision.retry_after > Duration::zero());
      RC_ASSERT(decision.ran != Ran::kRan);
      // Reports "unknown" if and only if an attempt may have run.
      RC_ASSERT((decision.ran == Ran::kMayHaveRun) == (unanswered > 0));
    }
    if (decision.ran == Ran::kNotRun) {
      RC_ASSERT(runs == 0);
    }
    return;
  }
  const RetryDecision last = state.OnCannotSend(Duration::zero());
  RC_ASSERT(last.ran != Ran::kNotRun || runs == 0);
}

/// Returns the number of attempts made for `requests` requests if all targets
/// fail.
int AttemptsIfAllFail(int requests, RetryBudget::Options options) {
  RetryBudget budget(options);
  const TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
  for (int i = 0; i < requests; ++i) {
    RetryState state({}, now + std::chrono::seconds(1), budget);
    RetryDecision decision;
    do {
      ++attempts;
      decision = state.OnAttempt({TargetId("t"), Ran::kNotRun, {}}, now);
    } while (decision.kind == RetryDecision::Kind::kRetry);
  }
  return attempts;
}

}  // namespace

TEST_CASE("fuzz: the reported result matches what the attempts did") {
  CHECK(FixedSeedCheck(20261205, 5000, 100, [] {
    RetryBudget budget({});
    const auto requests =
        *rc::gen::container<std::vector<std::vector<Attempt>>>(
            rc::gen::container<std::vector<Attempt>>(rc::gen::build<Attempt>(
                rc::gen::set(&Attempt::outcome, rc::gen::inRange(0, 4)),
                rc::gen::set(&Attempt::millis, rc::gen::inRange(0, 200)))));
    const bool repeatable = *rc::gen::arbitrary<bool>();
    for (const auto& attempts : requests) {
      CheckRequest(repeatable, attempts, budget);
    }
  }));
}

TEST_CASE("retries do not multiply the load if every target fails") {
  constexpr int kRequests = 10000;
  const int with_budget = AttemptsIfAllFail(kRequests, {});
  const int without = AttemptsIfAllFail(kRequests, {0.1, 1e9, 1e9});
  MESSAGE("attempts for 10000 requests: " << with_budget << " with a budget, "
                                          << without << " without");
  CHECK(with_budget <= kRequests + 10);
  CHECK(without == 3 * kRequests);
}

TEST_CASE("retries stay at a tenth of the successes if a fifth fails") {
  RetryBudget budget({});
  const TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
  int responses = 0;
  for (int i = 0; i < 10000; ++i) {
    RetryState state({}, now + std::chrono::seconds(1), budget);
    RetryDecision decision;
    do {
      const Ran ran = attempts++ % 5 == 0 ? Ran::kNotRun : Ran::kRan;
      decision = state.OnAttempt({TargetId("t"), ran, {}}, now);
    } while (decision.kind == RetryDecision::Kind::kRetry);
    responses += decision.kind == RetryDecision::Kind::kReturnResponse ? 1 : 0;
  }
  CHECK(attempts - 10000 <= responses / 10 + 10);
}

}  // namespace applestand
