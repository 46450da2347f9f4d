#include <doctest/doctest.h>

#include <set>

#include "lib/targets/home_map.h"
#include "lib/targets/target_pool.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const TimePoint kStart{std::chrono::hours(1)};

Target MakeTarget(const std::string& id, uint32_t slots = 4) {
  return {TargetId(id),
          kDesk,
          RegionId("norte"),
          ZoneId("norte-a"),
          "127.0.0.1:800",
          slots,
          false};
}

/// Makes all slots usable from the beginning, so that tests skip slow start.
PoolPolicy NoSlowStartPolicy() {
  PoolPolicy policy;
  policy.target.cold_slots = 100;
  return policy;
}

Submission MakeSubmission(uint64_t id,
                          const std::string& account = "coop",
                          TimePoint deadline = kStart + seconds(10)) {
  return {DispatchId(id), kDesk, ClientAccountId(account), 1, deadline, {}};
}

template <class T>
size_t CountOf(const std::vector<PoolDecision>& decisions) {
  size_t count = 0;
  for (const PoolDecision& decision : decisions) {
    count += std::holds_alternative<T>(decision) ? 1 : 0;
  }
  return count;
}

std::vector<LiveHost> MakeHosts(int count) {
  std::vector<LiveHost> hosts;
  hosts.reserve(count);
  for (int i = 0; i < count; ++i) {
    hosts.push_back({HostId("host" + std::to_string(i)), RegionId("norte")});
  }
  return hosts;
}

std::map<TargetId, Target> MakeTargets(int count) {
  std::map<TargetId, Target> targets;
  for (int i = 0; i < count; ++i) {
    const Target target = MakeTarget("target" + std::to_string(i));
    targets[target.id] = target;
  }
  return targets;
}

TEST_CASE("removing a host changes the home host of its own targets only") {
  const auto targets = MakeTargets(300);
  std::vector<LiveHost> hosts = MakeHosts(10);
  const HomeMap before(targets, hosts);
  hosts.erase(hosts.begin() + 3);
  const HomeMap after(targets, hosts);
  for (const auto& [id, target] : targets) {
    if (before.HomeOf(id) != HostId("host3")) {
      CHECK(before.HomeOf(id) == after.HomeOf(id));
    }
    CHECK(after.HomeOf(id) != HostId("host3"));
  }
}

TEST_CASE("a region without live hosts has no home hosts") {
  auto targets = MakeTargets(3);
  targets.begin()->second.region = RegionId("sul");
  const HomeMap map(targets, MakeHosts(2));
  CHECK(map.HomeOf(targets.begin()->first).empty());
  CHECK(map.HomeHostsOf(kDesk, RegionId("sul")).empty());
  CHECK(map.RegionsOf(kDesk) == std::vector<RegionId>{RegionId("norte")});
}

TEST_CASE("requests beyond the slots wait and start when a slot is free") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 2)}, kStart);
  CHECK(CountOf<Start>(pool.Submit(MakeSubmission(1), kStart)) == 1);
  CHECK(CountOf<Start>(pool.Submit(MakeSubmission(2), kStart)) == 1);
  CHECK(CountOf<Queued>(pool.Submit(MakeSubmission(3), kStart)) == 1);
  CHECK(pool.LoadOf(kDesk, kStart).Spare() == 0);
  const auto next = pool.OnFinished(DispatchId(1), TargetOutcome::kServed,
                                    std::nullopt, kStart);
  REQUIRE(next.size() == 1);
  CHECK(std::get<Start>(next[0]).id == DispatchId(3));
}

TEST_CASE("slow start adds the slots of a new target one at a time") {
  const PoolPolicy policy;
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 4)}, kStart);
  TimePoint now = kStart;
  CHECK(pool.LoadOf(kDesk, now).allowed == 1);
  uint64_t id = 0;
  for (int step = 0; step < 30; ++step) {
    now += milliseconds(100);
    ++id;
    pool.Submit(MakeSubmission(id, "coop", now + seconds(1)), now);
    pool.OnFinished(DispatchId(id), TargetOutcome::kServed, std::nullopt, now);
    const int64_t most = 1 + (now - kStart) / policy.target.ramp_interval;
    CHECK(pool.LoadOf(kDesk, now).allowed <= most);
  }
  CHECK(pool.LoadOf(kDesk, now).allowed == 4);
}

TEST_CASE("a shed closes the target for its retry time") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a")}, kStart);
  pool.Submit(MakeSubmission(1), kStart);
  pool.OnFinished(DispatchId(1), TargetOutcome::kShed, seconds(3), kStart);
  const auto refused = pool.Submit(MakeSubmission(2), kStart + seconds(1));
  REQUIRE(CountOf<Refused>(refused) == 1);
  CHECK(std::get<Refused>(refused[0]).retry_after == seconds(2));
  CHECK(CountOf<Start>(pool.Submit(MakeSubmission(3), kStart + seconds(3))) ==
        1);
}

TEST_CASE("failed requests eject a target until a probe succeeds") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a")}, kStart);
  TimePoint now = kStart + seconds(2);
  pool.DueProbes(now);
  pool.OnProbe({TargetId("a"), true, false, 0.0}, now);
  for (uint64_t id = 1; id <= policy.target.ejecting_failures; ++id) {
    CHECK(CountOf<Start>(pool.Submit(MakeSubmission(id), now)) == 1);
    pool.OnFinished(DispatchId(id), TargetOutcome::kFailed, std::nullopt, now);
  }
  CHECK(CountOf<Refused>(pool.Submit(MakeSubmission(8), now)) == 1);
  now += policy.target.first_reprobe;
  REQUIRE(pool.DueProbes(now).size() == 1);
  pool.OnProbe({TargetId("a"), true, false, 0.0}, now);
  CHECK(CountOf<Start>(pool.Submit(MakeSubmission(9), now)) == 1);
}

TEST_CASE(
    "a target ejected by failed probes alone still gets a trial request") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a")}, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    if (!pool.DueProbes(now).empty()) {
      pool.OnProbe({TargetId("a"), false, false, std::nullopt}, now);
    }
  }
  CHECK(pool.LoadOf(kDesk, now).allowed == 0);
  const TimePoint deadline = now + seconds(10);
  CHECK(CountOf<Start>(pool.Submit(MakeSubmission(1, "coop", deadline), now)) ==
        1);
  CHECK(CountOf<Refused>(
            pool.Submit(MakeSubmission(2, "coop", deadline), now)) == 1);
  pool.OnFinished(DispatchId(1), TargetOutcome::kServed, std::nullopt, now);
  CHECK(pool.LoadOf(kDesk, now).allowed == 4);
}

TEST_CASE(
    "a leaving target receives no new requests and finishes running ones") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a"), MakeTarget("b")}, kStart);
  for (uint64_t id = 1; id <= 4; ++id) {
    pool.Submit(MakeSubmission(id), kStart);
  }
  CHECK(pool.InFlightAt(TargetId("a")) == 2);
  Target leaving = MakeTarget("a");
  leaving.leaving = true;
  pool.SetTargets({leaving, MakeTarget("b")}, kStart);
  for (uint64_t id = 5; id <= 9; ++id) {
    pool.Submit(MakeSubmission(id), kStart);
  }
  CHECK(pool.InFlightAt(TargetId("a")) == 2);
  CHECK(pool.InFlightAt(TargetId("b")) == 4);
}

TEST_CASE("a reported load never raises the slots in use") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 2)}, kStart);
  const TimePoint now = kStart + seconds(1);
  pool.DueProbes(now);
  pool.OnProbe({TargetId("a"), true, false, -100.0}, now);
  for (uint64_t id = 1; id <= 5; ++id) {
    pool.Submit(MakeSubmission(id), now);
  }
  CHECK(pool.InFlightAt(TargetId("a")) == 2);
}

TEST_CASE("a request expected to end after its deadline is refused at once") {
  PoolPolicy policy = NoSlowStartPolicy();
  policy.assumed_service_time = milliseconds(100);
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 1)}, kStart);
  pool.Submit(MakeSubmission(1), kStart);
  const auto soon = kStart + milliseconds(150);
  const auto decisions = pool.Submit(MakeSubmission(2, "coop", soon), kStart);
  REQUIRE(CountOf<Refused>(decisions) == 1);
  CHECK(std::get<Refused>(decisions[0]).reason == PoolRefusal::kDeadline);
  CHECK(std::get<Refused>(decisions[0]).retry_after == milliseconds(100));
}

TEST_CASE("a waiter is refused at its deadline unless it was cancelled") {
  const PoolPolicy policy = NoSlowStartPolicy();
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 1)}, kStart);
  pool.Submit(MakeSubmission(1), kStart);
  const TimePoint deadline = kStart + seconds(1);
  pool.Submit(MakeSubmission(2, "coop", deadline), kStart);
  pool.Submit(MakeSubmission(3), kStart);
  CHECK(pool.Cancel(DispatchId(3)));
  CHECK_FALSE(pool.Cancel(DispatchId(3)));
  REQUIRE(pool.NextDeadline().has_value());
  CHECK(*pool.NextDeadline() == deadline);
  CHECK(pool.Tick(deadline - milliseconds(1)).empty());
  CHECK(CountOf<Refused>(pool.Tick(deadline)) == 1);
  CHECK(pool.OnFinished(DispatchId(1), TargetOutcome::kServed, std::nullopt,
                        deadline)
            .empty());
}

TEST_CASE("a target that returns to its home host restarts slow start") {
  const PoolPolicy policy;
  TargetPool pool(policy);
  pool.SetTargets({MakeTarget("a", 4)}, kStart);
  TimePoint now = kStart;
  for (uint64_t id = 1; id <= 60; ++id) {
    now += milliseconds(100);
    pool.Submit(MakeSubmission(id, "coop", now + seconds(1)), now);
    pool.OnFinished(DispatchId(id), TargetOutcome::kServed, std::nullopt, now);
  }
  const TimePoint deadline = now + seconds(1);
  pool.Submit(MakeSubmission(100, "coop", deadline), now);
  CHECK(pool.LoadOf(kDesk, now).allowed == 4);
  CHECK(pool.SetTargets({}, now).empty());
  CHECK(pool.InFlightAt(TargetId("a")) == 1);
  pool.SetTargets({MakeTarget("a", 4)}, now);
  CHECK(pool.InFlightAt(TargetId("a")) == 1);
  CHECK(pool.LoadOf(kDesk, now).allowed == 1);
}

}  // namespace
}  // namespace applestand
