#include "lib/membership/membership.h"

#include <doctest/doctest.h>

#include <vector>

#include "lib/membership/simulated_fleet.h"

namespace applestand {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

HostCondition Seen(SimulatedFleet& fleet, size_t by, size_t host) {
  return fleet[by].ConditionOf(SimulatedFleet::HostName(host), fleet.Now());
}

// Three hosts that know each other.
struct Fixture {
  Fixture() {
    fleet.SetHostList(0, fleet.AllHosts());
    fleet.Run(2 * kSecond);
  }
  SimulatedFleet fleet{3};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "hosts learn of each other through a common peer") {
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LiveHosts(fleet.Now()).size() == 3);
  }
  CHECK(Seen(fleet, 0, 7) == HostCondition::kUnknown);
}

TEST_CASE_FIXTURE(Fixture,
                  "a frozen host receives no new work although it is listed") {
  fleet.Freeze(2);
  fleet.Run(5 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kSuspect);
  fleet.Run(10 * kSecond);
  fleet.SetHostList(1, fleet.AllHosts());
  CHECK(Seen(fleet, 1, 2) == HostCondition::kDead);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 2);
  fleet.Thaw(2);
  fleet.Run(2 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kLive);
}

TEST_CASE_FIXTURE(Fixture, "an outdated host list makes no host dead or live") {
  fleet.SetHostList(0, {});
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLive);
  fleet.SetHostList(0, {{SimulatedFleet::HostName(9), "h1001", false}});
  CHECK(Seen(fleet, 0, 9) == HostCondition::kUnknown);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 3);
  // A host that is listed as leaving immediately stops receiving new work.
  fleet.SetHostList(0, {{SimulatedFleet::HostName(1), "h1001", true}});
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLeaving);
  CHECK(fleet[0].LiveHosts(fleet.Now()).size() == 2);
  CHECK(fleet[0].LeavingHosts(fleet.Now()).size() == 1);
}

TEST_CASE_FIXTURE(
    Fixture,
    "all hosts learn that a host is leaving, also through a relay") {
  fleet.Disconnect(0, 2);
  fleet[2].Leave();
  fleet.Run(2 * kSecond);
  CHECK(Seen(fleet, 1, 2) == HostCondition::kLeaving);
  CHECK(Seen(fleet, 0, 2) == HostCondition::kLeaving);
  CHECK(fleet[2].LiveHosts(fleet.Now()).size() == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "an older incarnation of a host never replaces a newer one") {
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
    CHECK(host.host != SimulatedFleet::HostName(2));
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "the end of a partition is noticed without the host list") {
  fleet.Disconnect(0, 1);
  fleet.Disconnect(0, 2);
  fleet.Run(12 * kSecond);
  CHECK(Seen(fleet, 0, 1) == HostCondition::kDead);
  CHECK(Seen(fleet, 1, 0) == HostCondition::kDead);
  fleet.ReconnectAll();
  fleet.Run(10 * kSecond);
  CHECK(Seen(fleet, 0, 1) == HostCondition::kLive);
  CHECK(Seen(fleet, 1, 0) == HostCondition::kLive);
}

TEST_CASE_FIXTURE(Fixture,
                  "a leaving target is announced to other hosts and expires") {
  fleet.Disconnect(0, 2);
  fleet[2].OnTargetLeaving(TargetId("t"), fleet.Now());
  fleet.Run(2 * kSecond);
  CHECK(fleet[0].LeavingTargets(fleet.Now()).size() == 1);
  fleet.Run(std::chrono::minutes(10));
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LeavingTargets(fleet.Now()).empty());
  }
}

TEST_CASE("in a large fleet a host sends few heartbeats and knows every host") {
  Membership::Options options;
  SimulatedFleet fleet(120, options);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.SetHostList(i, fleet.AllHosts());
  }
  fleet.Run(8 * kSecond);
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet[i].LiveHosts(fleet.Now()).size() == fleet.size());
  }
  fleet.heartbeats = 0;
  fleet.Run(4 * kSecond);
  CHECK(fleet.heartbeats ==
        4 * fleet.size() * (options.zone_fanout + options.remote_fanout));
  CHECK(fleet[7].LiveHosts(fleet.Now()).size() == fleet.size());
}

}  // namespace applestand
