#include "lib/steering/target_notices.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetId kTarget("t");
const Incarnation kFirst(1);
const Incarnation kSecond(2);
constexpr TimePoint kNow(seconds(100));

}  // namespace

TEST_CASE("a rest lasts for its time") {
  TargetNotices notices;
  CHECK(!notices.RestLeft(kTarget, kFirst, kNow));
  CHECK(notices.OnRest(kTarget, kFirst, seconds(3), kNow));
  CHECK(notices.RestLeft(kTarget, kFirst, kNow + seconds(1)) == seconds(2));
  CHECK(!notices.RestLeft(kTarget, kFirst, kNow + seconds(3)));
  CHECK(!notices.RestLeft(TargetId("other"), kFirst, kNow));
}

// Guards against a short rest, asked for by a later response, that ends a long
// one.
TEST_CASE("the longest rest that a target has asked for counts") {
  TargetNotices notices;
  CHECK(notices.OnRest(kTarget, kFirst, seconds(10), kNow));
  CHECK_FALSE(notices.OnRest(kTarget, kFirst, milliseconds(20), kNow));
  CHECK(notices.RestLeft(kTarget, kFirst, kNow) == seconds(10));
}

TEST_CASE("a rest ends with the target's incarnation") {
  TargetNotices notices;
  (void)notices.OnRest(kTarget, kFirst, seconds(10), kNow);
  CHECK(!notices.RestLeft(kTarget, kSecond, kNow));
  CHECK(notices.OnRest(kTarget, kSecond, seconds(1), kNow));
  // A late response of the incarnation before.
  CHECK_FALSE(notices.OnRest(kTarget, kFirst, seconds(10), kNow));
  CHECK(notices.RestLeft(kTarget, kSecond, kNow) == seconds(1));
  // The row of the incarnation before, out of an older copy of the store.
  CHECK(notices.RestLeft(kTarget, kFirst, kNow) == seconds(1));
}

TEST_CASE("notices that have ended are discarded") {
  TargetNotices notices;
  for (int i = 0; i < 100; ++i) {
    (void)notices.OnRest(TargetId("t" + std::to_string(i)), kFirst,
                         seconds(i < 40 ? 5 : 1), kNow);
  }
  CHECK(notices.CountResting(kNow) == 100);
  notices.Tick([](const TargetId&) { return true; }, kNow + seconds(2));
  CHECK(notices.CountResting(kNow) == 40);
}

TEST_CASE("a leaving lasts until the next incarnation") {
  TargetNotices notices;
  CHECK(!notices.IsLeaving(kTarget, kFirst));
  CHECK(notices.OnLeaving(kTarget, kFirst, kNow));
  CHECK_FALSE(notices.OnLeaving(kTarget, kFirst, kNow));
  (void)notices.OnRest(kTarget, kFirst, seconds(1), kNow);
  const auto unknown = [](const TargetId&) { return false; };
  const auto known = [](const TargetId&) { return true; };
  notices.Tick(unknown, kNow + std::chrono::minutes(30));
  CHECK(notices.IsLeaving(kTarget, kFirst));
  CHECK(!notices.IsLeaving(kTarget, kSecond));
  // Kept while the target is known, and discarded long after it has gone.
  notices.Tick(known, kNow + std::chrono::hours(5));
  CHECK(notices.IsLeaving(kTarget, kFirst));
  notices.Tick(unknown, kNow + std::chrono::hours(7));
  CHECK(!notices.IsLeaving(kTarget, kFirst));
}

}  // namespace applestand
