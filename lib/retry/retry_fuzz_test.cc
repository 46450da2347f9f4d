#include <doctest/doctest.h>

#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/retry/attempt_plan.h"

namespace applestand {

namespace {

/// What really happened at a target, and what the entry saw of it.
struct Attempt {
  int outcome = 0;
  int millis = 0;
};

std::ostream& operator<<(std::ostream& os, const Attempt& attempt) {
  return os << attempt.outcome << "/" << attempt.millis;
}

struct Truth {
  Ran seen = Ran::kNotRun;
  bool ran = false;
};

Truth TruthOf(int outcome) {
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
  AttemptOptions options;
  options.repeatable = repeatable;
  AttemptPlan plan(options, deadline, budget);
  int runs = 0;
  bool sent_to_two_unanswered = false;
  int unanswered = 0;
  uint64_t target = 0;
  for (const Attempt& attempt : attempts) {
    RC_ASSERT(plan.MayStart(now));
    RC_ASSERT(now < deadline);
    RC_ASSERT(!sent_to_two_unanswered);
    const Truth truth = TruthOf(attempt.outcome);
    runs += truth.ran ? 1 : 0;
    unanswered += truth.seen == Ran::kMayHaveRun ? 1 : 0;
    sent_to_two_unanswered = unanswered == 2;
    now += std::chrono::milliseconds(attempt.millis);
    const AttemptDecision decision = plan.OnAttempt(
        {TargetId(std::to_string(++target)), truth.seen, {}}, now);
    if (!repeatable) {
      RC_ASSERT(runs <= 1);
    }
    if (decision.kind == AttemptDecision::Kind::kRetry) {
      RC_ASSERT(repeatable || unanswered == 0);
      continue;
    }
    if (decision.kind == AttemptDecision::Kind::kAnswer) {
      RC_ASSERT(truth.seen == Ran::kRan && decision.ran == Ran::kRan);
    } else {
      RC_ASSERT(decision.retry_after > Duration::zero());
      RC_ASSERT(decision.ran != Ran::kRan);
      // "Unknown" is said only where it is so.
      RC_ASSERT((decision.ran == Ran::kMayHaveRun) == (unanswered > 0));
    }
    if (decision.ran == Ran::kNotRun) {
      RC_ASSERT(runs == 0);
    }
    return;
  }
  const AttemptDecision last = plan.OnNoTarget(Duration::zero());
  RC_ASSERT(last.ran != Ran::kNotRun || runs == 0);
}

/// Attempts made for `requests` requests whose targets all fail.
int AttemptsWhenAllFail(int requests, RetryBudget::Options options) {
  RetryBudget budget(options);
  const TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
  for (int i = 0; i < requests; ++i) {
    AttemptPlan plan({}, now + std::chrono::seconds(1), budget);
    AttemptDecision decision;
    do {
      ++attempts;
      decision = plan.OnAttempt({TargetId("t"), Ran::kNotRun, {}}, now);
    } while (decision.kind == AttemptDecision::Kind::kRetry);
  }
  return attempts;
}

}  // namespace

TEST_CASE("fuzz: the verdict over all attempts is true") {
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

TEST_CASE("retries do not multiply load where every target fails") {
  constexpr int kRequests = 10000;
  const int with_budget = AttemptsWhenAllFail(kRequests, {});
  const int without = AttemptsWhenAllFail(kRequests, {0.1, 1e9, 1e9});
  MESSAGE("attempts for 10000 requests: " << with_budget << " with a budget, "
                                          << without << " without");
  CHECK(with_budget <= kRequests + 10);
  CHECK(without == 3 * kRequests);
}

TEST_CASE("retries stay a tenth of successful traffic where a fifth fails") {
  RetryBudget budget({});
  const TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
  int answers = 0;
  for (int i = 0; i < 10000; ++i) {
    AttemptPlan plan({}, now + std::chrono::seconds(1), budget);
    AttemptDecision decision;
    do {
      const Ran ran = attempts++ % 5 == 0 ? Ran::kNotRun : Ran::kRan;
      decision = plan.OnAttempt({TargetId("t"), ran, {}}, now);
    } while (decision.kind == AttemptDecision::Kind::kRetry);
    answers += decision.kind == AttemptDecision::Kind::kAnswer ? 1 : 0;
  }
  CHECK(attempts - 10000 <= answers / 10 + 10);
}

}  // namespace applestand
