#include "lib/membership/membership.h"

#include <doctest/doctest.h>

#include <vector>

#include "lib/membership/fleet_for_test.h"

namespace applestand {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

HostCondition Seen(Fleet& fleet, size_t by, size_t host) {
  return fleet[by].ConditionOf(Fleet::NameOf(host), fleet.Now());
}

// Three hosts that know each other.
struct Fixture {
  Fixture() {
    fleet.ListTo(0, fleet.ListAll());
    fleet.Run(2 * kSecond);
  }
  Fleet fleet{3};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "hosts learn of each other through one of them") {
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LiveHosts(fleet.Now()).size() == 3);
  }
  CHECK(Seen(fleet, 0, 7) == HostCondition::kUnknown);
}

TEST_CASE_FIXTURE(Fixture,
                  "a frozen host is routed round though it is listed") {
  fleet.Freeze(2);
  fleet.Run(5 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kSuspect);
  fleet.Run(10 * kSecond);
  fleet.ListTo(1, fleet.ListAll());
  CHECK(Seen(fleet, 1, 2) == HostCondition::kDead);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 2);
  fleet.Thaw(2);
  fleet.Run(2 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kLive);
}

TEST_CASE_FIXTURE(Fixture, "the lagging list neither kills nor revives") {
  fleet.ListTo(0, {});
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLive);
  fleet.ListTo(0, {{Fleet::NameOf(9), "h1001", false}});
  CHECK(Seen(fleet, 0, 9) == HostCondition::kUnknown);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 3);
  // A listed-leaving host gets nothing new at once.
  fleet.ListTo(0, {{Fleet::NameOf(1), "h1001", true}});
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLeaving);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 2);
  CHECK(fleet[0].LeavingHosts(fleet.Now()).size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a leaving host is left by all, through one hop") {
  fleet.Cut(0, 2);
  fleet[2].Leave();
  fleet.Run(2 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kLeaving);
  CHECK(Seen(fleet, 0, 2) == HostCondition::kLeaving);
  CHECK(fleet[2].LiveHosts(fleet.Now()).size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "an older run of a host never comes back") {
  const Heartbeat old{fleet[2].self(), 1000, {}, {}};
  fleet[2].Leave();
  fleet.Run(2 * kSecond);
  fleet.Restart(2);
  fleet.Run(2 * kSecond);
  CHECK(Seen(fleet, 0, 2) == HostCondition::kLive);
  fleet.Freeze(2);
  fleet.Run(11 * kSecond);
  (void)fleet[0].OnHeartbeat(old, fleet.Now());
  CHECK(Seen(fleet, 0, 2) == HostCondition::kDead);
  for (const HostRecord& host : fleet[0].LiveHosts(fleet.Now())) {
    CHECK(host.host != Fleet::NameOf(2));
  }
}

TEST_CASE_FIXTURE(Fixture, "a mended cut is noticed without the list") {
  fleet.Cut(0, 1);
  fleet.Cut(0, 2);
  fleet.Run(12 * kSecond);
  CHECK(Seen(fleet, 0, 1) == HostCondition::kDead);
  CHECK(Seen(fleet, 1, 0) == HostCondition::kDead);
  fleet.Mend();
  fleet.Run(10 * kSecond);
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLive);
  CHECK(Seen(fleet, 1, 0) == HostCondition::kLive);
}

TEST_CASE_FIXTURE(Fixture, "a leaving target is told on, and forgotten") {
  fleet.Cut(0, 2);
  fleet[2].OnTargetLeaving(TargetId("t"), fleet.Now());
  fleet.Run(2 * kSecond);
  CHECK(fleet[0].LeavingTargets(fleet.Now()).size() == 1);
  fleet.Run(std::chrono::minutes(10));
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LeavingTargets(fleet.Now()).empty());
  }
}

TEST_CASE("in a large fleet a host sends few heartbeats and knows all") {
  Membership::Options options;
  Fleet fleet(120, options);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.ListTo(i, fleet.ListAll());
  }
  fleet.Run(8 * kSecond);
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LiveHosts(fleet.Now()).size() == fleet.size());
  }
  fleet.heartbeats = 0;
  fleet.Run(4 * kSecond);
  CHECK(fleet.heartbeats ==
        4 * fleet.size() * (options.zone_peers + options.relay_peers));
  CHECK(fleet[7].LiveHosts(fleet.Now()).size() == fleet.size());
}

}  // namespace applestand
