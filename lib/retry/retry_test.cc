#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "lib/retry/attempt_plan.h"
#include "lib/retry/deadline.h"
#include "lib/retry/problem.h"

namespace applestand {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

std::optional<TimePoint> Deadline(std::vector<HttpHeader> headers) {
  Reason reason;
  return DeadlineOf({"GET", "/", std::move(headers), "", ""},
                    std::chrono::seconds(10), kNow, reason);
}

}  // namespace

TEST_CASE("a caller's deadline is bounded by the route's time-out") {
  CHECK(Deadline({}) == kNow + std::chrono::seconds(10));
  CHECK(Deadline({{"x-deadline-ms", "250"}}) ==
        kNow + std::chrono::milliseconds(250));
  CHECK(Deadline({{"X-Deadline-Ms", "0"}}) == kNow);
  CHECK(Deadline({{"X-Deadline-Ms", "999999999"}}) ==
        kNow + std::chrono::seconds(10));
}

TEST_CASE("a malformed or repeated deadline is refused") {
  for (const char* bad : {"", "-1", "1.5", "9999999999", " 1", "0x1"}) {
    CHECK_FALSE(Deadline({{"X-Deadline-Ms", bad}}).has_value());
  }
  CHECK_FALSE(Deadline({{"X-Deadline-Ms", "1"}, {"x-deadline-ms", "2"}}));
}

TEST_CASE("targets are told the time left, never more") {
  const auto header =
      DeadlineHeader(kNow + std::chrono::microseconds(1999), kNow);
  REQUIRE(header.has_value());
  CHECK(header->value == "1");
  CHECK_FALSE(DeadlineHeader(kNow + std::chrono::microseconds(999), kNow));
  CHECK_FALSE(DeadlineHeader(kNow - std::chrono::seconds(1), kNow));
}

TEST_CASE("nothing starts without time, and the end is told at once") {
  RetryBudget budget({});
  AttemptPlan plan({}, kNow + std::chrono::seconds(1), budget);
  CHECK(plan.MayStart(kNow));
  CHECK_FALSE(plan.MayStart(kNow + std::chrono::seconds(1)));
  const AttemptDecision decision =
      plan.OnAttempt({TargetId("t"), Ran::kNotRun, std::chrono::seconds(7)},
                     kNow + std::chrono::seconds(1));
  CHECK(decision.kind == AttemptDecision::Kind::kGiveUp);
  CHECK(decision.ran == Ran::kNotRun);
  CHECK(decision.retry_after == std::chrono::seconds(7));
  CHECK_FALSE(plan.MayStart(kNow));
}

TEST_CASE("targets that cannot be reached cost no attempt and no budget") {
  // A quarter of a service's targets dies: every host meets each of them once.
  RetryBudget budget({0.1, 10, 0});
  AttemptOptions options;
  options.max_attempts = 1;
  AttemptPlan plan(options, kNow + std::chrono::seconds(1), budget);
  for (const char* dead : {"a", "b", "c"}) {
    const AttemptDecision decision =
        plan.OnAttempt({TargetId(dead), Ran::kNotRun, {}, false}, kNow);
    CHECK(decision.kind == AttemptDecision::Kind::kRetry);
    CHECK(decision.ran == Ran::kNotRun);
  }
  AttemptPlan served = plan;
  CHECK(served.OnAttempt({TargetId("d"), Ran::kRan, {}}, kNow).kind ==
        AttemptDecision::Kind::kAnswer);
  CHECK(served.attempts() == 1);
  // It ends all the same, and what it says is true.
  const AttemptDecision last =
      plan.OnAttempt({TargetId("d"), Ran::kNotRun, {}, false}, kNow);
  CHECK(last.kind == AttemptDecision::Kind::kGiveUp);
  CHECK(last.ran == Ran::kNotRun);
}

TEST_CASE("an answer after an unanswered attempt says that the request ran") {
  RetryBudget budget({});
  AttemptOptions options;
  options.repeatable = true;
  AttemptPlan plan(options, kNow + std::chrono::seconds(1), budget);
  const AttemptDecision first =
      plan.OnAttempt({TargetId("a"), Ran::kMayHaveRun, {}}, kNow);
  CHECK(first.kind == AttemptDecision::Kind::kRetry);
  CHECK(first.ran == Ran::kMayHaveRun);
  CHECK(plan.tried().count(TargetId("a")) == 1);
  const AttemptDecision second =
      plan.OnAttempt({TargetId("b"), Ran::kRan, {}}, kNow);
  CHECK(second.kind == AttemptDecision::Kind::kAnswer);
  CHECK(second.ran == Ran::kRan);
}

TEST_CASE("a problem tells what ran and when to come back") {
  const HttpResponse response =
      ProblemResponse({"overloaded", "No room", 503, "queue\xff full",
                       Ran::kMayHaveRun, std::chrono::milliseconds(1001)});
  CHECK(response.status == 503);
  CHECK(FindHeader(response.headers, "Retry-After") == "2");
  CHECK(FindHeader(response.headers, "Content-Type") ==
        "application/problem+json");
  const auto body = nlohmann::json::parse(response.body);
  CHECK(body["type"] == "urn:applestand:problem:overloaded");
  CHECK(body["status"] == 503);
  CHECK(body["ran"] == "unknown");
  CHECK(body["retry_after_s"] == 2);
  const HttpResponse plain =
      ProblemResponse({"x", "y", 409, "", Ran::kNotRun, Duration::zero()});
  CHECK(CountHeaders(plain.headers, "Retry-After") == 0);
}

}  // namespace applestand
