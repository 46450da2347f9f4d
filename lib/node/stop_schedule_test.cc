#include "lib/node/stop_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kGrace = seconds(6);

}  // namespace

// Guards against payments that arrive late in a planned stop, are passed on and
// end without a response when the process does.
TEST_CASE("a request that could outlive the process is not passed on") {
  const StopSchedule schedule(kStart, kGrace);
  CHECK(schedule.CanPassOn(kStart + milliseconds(5200)));
  CHECK_FALSE(schedule.CanPassOn(kStart + milliseconds(3100) + seconds(4)));
  CHECK_FALSE(schedule.CanPassOn(kStart + kGrace));
}

TEST_CASE(
    "requests in every order end before the process, and it before the "
    "kill") {
  constexpr int kMaxGraceMs = 20'000;
  CHECK(rc::check([] {
    const auto at = [](int ms) { return kStart + milliseconds(ms); };
    const int grace_ms = *rc::gen::inRange(1000, kMaxGraceMs);
    const StopSchedule schedule(kStart, milliseconds(grace_ms));
    const auto deadlines = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, 2 * kMaxGraceMs));
    TimePoint last_passed_on = kStart;
    for (const int deadline_ms : deadlines) {
      if (schedule.CanPassOn(at(deadline_ms))) {
        last_passed_on = std::max(last_passed_on, at(deadline_ms));
      }
    }
    int exit_ms = 0;
    while (!schedule.ShouldExit(at(exit_ms), at(exit_ms) < last_passed_on)) {
      ++exit_ms;
    }
    RC_ASSERT(at(exit_ms) >= last_passed_on);
    RC_ASSERT(exit_ms < grace_ms);
  }));
}

TEST_CASE("idle connections stay open until callers know of other hosts") {
  const StopSchedule schedule(kStart, kGrace);
  CHECK_FALSE(schedule.ShouldCloseIdle(kStart + seconds(2)));
  CHECK_FALSE(schedule.ShouldStopAccepting(kStart + seconds(3)));
  CHECK(schedule.ShouldCloseIdle(kStart + seconds(3)));
  CHECK(schedule.ShouldStopAccepting(kStart + seconds(4)));
  CHECK_FALSE(schedule.ShouldExit(kStart + seconds(4), false));
  CHECK(schedule.ShouldExit(kStart + seconds(5), false));
  CHECK_FALSE(schedule.ShouldExit(kStart + seconds(5), true));
  CHECK(schedule.ShouldExit(kStart + milliseconds(5400), true));
}

}  // namespace applestand
