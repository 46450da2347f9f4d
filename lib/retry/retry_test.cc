#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "lib/retry/deadline.h"
#include "lib/retry/problem.h"
#include "lib/retry/retry_state.h"

namespace applestand {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

std::optional<TimePoint> ParseDeadline(std::vector<HttpHeader> headers) {
  Reason reason;
  return ComputeDeadline({"GET", "/", std::move(headers), "", ""},
                         std::chrono::seconds(10), kNow, reason);
}

}  // namespace

TEST_CASE("the route's time-out bounds a caller's deadline") {
  CHECK(ParseDeadline({}) == kNow + std::chrono::seconds(10));
  CHECK(ParseDeadline({{"x-deadline-ms", "250"}}) ==
        kNow + std::chrono::milliseconds(250));
  CHECK(ParseDeadline({{"X-Deadline-Ms", "0"}}) == kNow);
  CHECK(ParseDeadline({{"X-Deadline-Ms", "999999999"}}) ==
        kNow + std::chrono::seconds(10));
}

TEST_CASE("a malformed or repeated deadline is rejected") {
  for (const char* bad : {"", "-1", "1.5", "9999999999", " 1", "0x1"}) {
    CHECK_FALSE(ParseDeadline({{"X-Deadline-Ms", bad}}).has_value());
  }
  CHECK_FALSE(ParseDeadline({{"X-Deadline-Ms", "1"}, {"x-deadline-ms", "2"}}));
}

TEST_CASE("the time left that targets get is rounded down") {
  const auto header =
      MakeDeadlineHeader(kNow + std::chrono::microseconds(1999), kNow);
  REQUIRE(header.has_value());
  CHECK(header->value == "1");
  CHECK_FALSE(MakeDeadlineHeader(kNow + std::chrono::microseconds(999), kNow));
  CHECK_FALSE(MakeDeadlineHeader(kNow - std::chrono::seconds(1), kNow));
}

TEST_CASE("no attempt starts at the deadline, and the request gives up") {
  RetryBudget budget({});
  RetryState state({}, kNow + std::chrono::seconds(1), budget);
  CHECK(state.CanStartAttempt(kNow));
  CHECK_FALSE(state.CanStartAttempt(kNow + std::chrono::seconds(1)));
  const RetryDecision decision =
      state.OnAttempt({TargetId("t"), Ran::kNotRun, std::chrono::seconds(7)},
                      kNow + std::chrono::seconds(1));
  CHECK(decision.kind == RetryDecision::Kind::kGiveUp);
  CHECK(decision.ran == Ran::kNotRun);
  CHECK(decision.retry_after == std::chrono::seconds(7));
  CHECK_FALSE(state.CanStartAttempt(kNow));
}

TEST_CASE("unreachable targets count as no attempt and cost no budget") {
  // When a quarter of a service's targets crashes, every host tries each of
  // them once. These failures must not use up the attempts or the budget.
  RetryBudget budget({0.1, 10, 0});
  RetryOptions options;
  options.max_attempts = 1;
  RetryState state(options, kNow + std::chrono::seconds(1), budget);
  for (const char* unreachable : {"a", "b", "c"}) {
    const RetryDecision decision =
        state.OnAttempt({TargetId(unreachable), Ran::kNotRun, {}, false}, kNow);
    CHECK(decision.kind == RetryDecision::Kind::kRetry);
    CHECK(decision.ran == Ran::kNotRun);
  }
  RetryState served = state;
  CHECK(served.OnAttempt({TargetId("d"), Ran::kRan, {}}, kNow).kind ==
        RetryDecision::Kind::kReturnResponse);
  CHECK(served.attempts() == 1);
  // One more than max_unreachable makes the request give up, as not run.
  const RetryDecision last =
      state.OnAttempt({TargetId("d"), Ran::kNotRun, {}, false}, kNow);
  CHECK(last.kind == RetryDecision::Kind::kGiveUp);
  CHECK(last.ran == Ran::kNotRun);
}

TEST_CASE("a response after an unanswered attempt is reported as run") {
  RetryBudget budget({});
  RetryOptions options;
  options.repeatable = true;
  RetryState state(options, kNow + std::chrono::seconds(1), budget);
  const RetryDecision first =
      state.OnAttempt({TargetId("a"), Ran::kMayHaveRun, {}}, kNow);
  CHECK(first.kind == RetryDecision::Kind::kRetry);
  CHECK(first.ran == Ran::kMayHaveRun);
  CHECK(state.tried().count(TargetId("a")) == 1);
  const RetryDecision second =
      state.OnAttempt({TargetId("b"), Ran::kRan, {}}, kNow);
  CHECK(second.kind == RetryDecision::Kind::kReturnResponse);
  CHECK(second.ran == Ran::kRan);
}

TEST_CASE("a problem response says whether the request ran and when to retry") {
  const HttpResponse response =
      MakeProblemResponse({"overloaded", "No room", 503, "queue\xff full",
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
  const HttpResponse without_retry =
      MakeProblemResponse({"x", "y", 409, "", Ran::kNotRun, Duration::zero()});
  CHECK(CountHeaders(without_retry.headers, "Retry-After") == 0);
}

}  // namespace applestand
