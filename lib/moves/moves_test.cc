#include <doctest/doctest.h>

#include <random>

#include "lib/moves/move_advancer.h"
#include "lib/moves/traffic_shares.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const RegionId kFrom("norte");
const RegionId kTo("sul");
const TimePoint kStart{std::chrono::hours(1)};

class FakeHeadroom : public HeadroomView {
 public:
  bool HasRoom(const ServiceId& /*service*/,
               const RegionId& /*from*/,
               const RegionId& /*to*/,
               uint32_t permille) const override {
    return permille <= room;
  }

  uint32_t room = 1000;
};

ConfigState MakeConfig(uint64_t version, uint32_t current) {
  ConfigState config;
  config.version = ConfigVersion(version);
  Move move;
  move.id = MoveId("m");
  move.service = kDesk;
  move.from = kFrom;
  move.to = kTo;
  move.current_permille = current;
  config.moves[move.id] = move;
  return config;
}

TEST_CASE("a step is proposed after a full interval, for the latest version") {
  const FakeHeadroom headroom;
  MoveAdvancer advancer(headroom);
  advancer.OnConfig(MakeConfig(5, 100), kStart);
  CHECK(advancer.DueSteps(kStart + seconds(29)).empty());
  // An unrelated change does not restart the interval.
  advancer.OnConfig(MakeConfig(6, 100), kStart + seconds(20));
  const auto due = advancer.DueSteps(kStart + seconds(30));
  REQUIRE(due.size() == 1);
  CHECK(due[0].expected_version == ConfigVersion(6));
  CHECK(due[0].expected_permille == 100);
  CHECK(due[0].next_permille == 200);
  advancer.OnConfig(MakeConfig(7, 200), kStart + seconds(31));
  CHECK(advancer.DueSteps(kStart + seconds(60)).empty());
}

TEST_CASE(
    "a paused or finished move does not advance; one beyond its goal returns") {
  const FakeHeadroom headroom;
  ConfigState config = MakeConfig(1, 300);
  Move& move = config.moves[MoveId("m")];
  const TimePoint later = kStart + seconds(30);

  move.paused = true;
  MoveAdvancer paused(headroom);
  paused.OnConfig(config, kStart);
  CHECK(paused.DueSteps(later).empty());

  move.paused = false;
  move.goal_permille = 300;
  MoveAdvancer done(headroom);
  done.OnConfig(config, kStart);
  CHECK(done.DueSteps(later).empty());

  move.goal_permille = 250;
  MoveAdvancer back(headroom);
  back.OnConfig(config, kStart);
  REQUIRE(back.DueSteps(later).size() == 1);
  CHECK(back.DueSteps(later)[0].next_permille == 250);
}

TEST_CASE("a step waits until the destination has headroom") {
  FakeHeadroom headroom;
  headroom.room = 50;
  MoveAdvancer advancer(headroom);
  advancer.OnConfig(MakeConfig(1, 0), kStart);
  CHECK(advancer.DueSteps(kStart + seconds(40)).empty());
  headroom.room = 100;
  CHECK(advancer.DueSteps(kStart + seconds(40)).size() == 1);
}

TEST_CASE(
    "draining a region skips services without a target in the destination") {
  ConfigState config;
  const auto add = [&config](const char* id, const char* service,
                             const RegionId& region, bool leaving) {
    Target target;
    target.id = TargetId(id);
    target.service = ServiceId(service);
    target.region = region;
    target.leaving = leaving;
    config.targets[target.id] = target;
  };
  add("a", "desk", kFrom, true);
  add("b", "desk", kTo, false);
  add("c", "photo", kFrom, false);
  add("d", "photo", kTo, true);
  const auto moves = DrainRegion(config, kFrom, kTo, 100, seconds(30), "d-");
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].id == MoveId("d-desk"));
  CHECK(moves[0].goal_permille == 1000);
}

TEST_CASE(
    "a host that learns of two steps at once applies them one per interval") {
  TrafficShares shares(kFrom, {});
  shares.OnConfig(MakeConfig(1, 0), kStart);
  shares.OnConfig(MakeConfig(3, 200), kStart + seconds(100));
  CHECK(shares.SharesOf(kDesk)[0].permille == 100);
  shares.Tick(kStart + seconds(129));
  CHECK(shares.SharesOf(kDesk)[0].permille == 100);
  shares.Tick(kStart + seconds(130));
  CHECK(shares.SharesOf(kDesk)[0].permille == 200);
}

TEST_CASE("failover grows and decreases by one step per interval") {
  const FailoverPolicy policy;
  TrafficShares shares(kFrom, policy);
  TimePoint now = kStart;
  shares.SetLocalCapacityLost(kDesk, true, now);
  for (uint32_t steps = 1; steps <= 5; ++steps) {
    CHECK(shares.FailoverPermille(kDesk) == steps * policy.step_permille);
    now += policy.step_interval;
    shares.Tick(now);
  }
  CHECK(shares.FailoverPermille(kDesk) == 1000);
  CHECK(shares.TryFailOver(kDesk, 7));
  shares.SetLocalCapacityLost(kDesk, false, now + policy.step_interval);
  CHECK(shares.FailoverPermille(kDesk) == 800);
}

/// Returns the largest excess of shifted requests over the share, taken over
/// all prefixes of a sequence of requests. With `one_hot_request`, every second
/// request has the same hash.
double LargestExcess(uint32_t permille, bool one_hot_request, int* shifted) {
  TrafficShares shares(kFrom, {});
  shares.OnConfig(MakeConfig(1, permille), kStart);
  std::mt19937_64 random(20263);
  double excess = 0;
  *shifted = 0;
  for (int n = 1; n <= 20'000; ++n) {
    const uint64_t hash = one_hot_request && n % 2 == 0 ? 4 : random();
    *shifted += shares.TryShift(kDesk, hash).empty() ? 0 : 1;
    excess = std::max(excess, *shifted - n * permille / 1000.0);
  }
  return excess;
}

TEST_CASE("shifted requests stay within their share whatever the hashes") {
  int shifted = 0;
  for (const uint32_t permille : {1, 50, 100, 333, 700, 1000}) {
    CHECK(LargestExcess(permille, false, &shifted) <=
          TrafficShares::kCreditLimit);
    CHECK(shifted >= 0.9 * permille * 20 - 20);
    CHECK(LargestExcess(permille, true, &shifted) <=
          TrafficShares::kCreditLimit);
  }
}

TEST_CASE(
    "a hash is either never shifted or shifted whenever the limit allows") {
  TrafficShares shares(kFrom, {});
  shares.OnConfig(MakeConfig(1, 500), kStart);
  std::mt19937_64 random(20264);
  for (int n = 0; n < 100; ++n) {
    const uint64_t hash = random();
    int shifted = 0;
    for (int repeat = 0; repeat < 50; ++repeat) {
      shifted += shares.TryShift(kDesk, hash).empty() ? 0 : 1;
      for (int filler = 0; filler < 20; ++filler) {
        shares.TryShift(kDesk, random());
      }
    }
    CHECK((shifted == 0 || shifted >= 30));
  }
}

}  // namespace
}  // namespace applestand
