#include "lib/steering/target_rate_limits.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

using std::chrono::milliseconds;

const TargetId kTarget("t");
constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("a target names a limit, changes it and ends it") {
  TargetRateLimits limits;
  CHECK(!limits.OnResponse(kTarget, std::nullopt, kStart, kStart));
  auto change = limits.OnResponse(kTarget, 8, kStart, kStart);
  REQUIRE(change.has_value());
  CHECK(!change->before);
  CHECK(change->after == 8);
  CHECK(!limits.OnResponse(kTarget, 8, kStart, kStart));
  change = limits.OnResponse(kTarget, 3.5, kStart, kStart);
  REQUIRE(change.has_value());
  CHECK(change->before == 8);
  CHECK(change->after == 3.5);
  CHECK(limits.size() == 1);
  change = limits.OnResponse(kTarget, std::nullopt, kStart + milliseconds(1),
                             kStart + milliseconds(2));
  REQUIRE(change.has_value());
  CHECK(change->before == 3.5);
  CHECK(!change->after);
  CHECK(limits.size() == 0);
}

// Guards against a late response from before the limit ending it.
TEST_CASE("a response to a request sent before the limit was named ends none") {
  TargetRateLimits limits;
  limits.OnResponse(kTarget, 8, kStart, kStart + milliseconds(10));
  CHECK(!limits.OnResponse(kTarget, std::nullopt, kStart + milliseconds(9),
                           kStart + milliseconds(500)));
  CHECK(limits.OnResponse(kTarget, std::nullopt, kStart + milliseconds(10),
                          kStart + milliseconds(500)));
}

}  // namespace applestand
