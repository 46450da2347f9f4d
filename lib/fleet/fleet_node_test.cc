// Tests of whole fleets of hosts on loopback, each with its own access to the
// metadata store.

#include "lib/fleet/fleet_node.h"

#include <doctest/doctest.h>

#include <string>

#include "lib/fleet/loopback_fleet.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;

// Maximum time from the store's confirmation of an operator's change until
// every host that reaches the store has it.
constexpr Duration kConfigBound = milliseconds(2500);

}  // namespace

TEST_CASE(
    "updates reach all hosts, also through the first-ranked host of a zone") {
  LoopbackFleet fleet(12, 3);
  fleet.RunFor(milliseconds(1500));
  fleet.rows.Put(StoreTable::kTargets, "t1", "row");
  fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
  CHECK(fleet.At(0).node->membership().IsHub());
  CHECK(fleet.At(1).node->membership().source() == HostId("h0"));
  CHECK(fleet.At(4).node->membership().source() == HostId("h1"));
  CHECK(fleet.Lost() == 0);
}

TEST_CASE(
    "updates reach all hosts while the store fails for the first-ranked ones") {
  // The store fails for the hub and the hosts that rank next. When these probed
  // it one after another, they took 2.4 s to detect the failure, and removals
  // were delayed until the store came back.
  using Mode = InMemoryStore::Mode;
  for (const Mode mode : {Mode::kRefuses, Mode::kSilent}) {
    for (const int zones : {1, 3}) {
      LoopbackFleet fleet(12, zones);
      fleet.RunFor(milliseconds(1000));
      for (size_t i = 0; i < 5; ++i) {
        fleet.At(i).store.mode = mode;
      }
      fleet.RunFor(milliseconds(300));
      fleet.rows.Put(StoreTable::kTargets, "t1", "row");
      fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
      fleet.RunFor(milliseconds(1500));
      CHECK(fleet.Lost() == 0);
    }
  }
}

TEST_CASE("all hosts detect that the store answers no host, and its recovery") {
  LoopbackFleet fleet(5, 1);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.At(i).store.mode = InMemoryStore::Mode::kSilent;
  }
  fleet.RunUntil([&] { return fleet.Lost() == 5; });
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.At(i).store.mode = InMemoryStore::Mode::kAnswers;
  }
  fleet.rows.Put(StoreTable::kTargets, "t1", "row");
  fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
}

// Guards against hosts of a large fleet that learn of operators' changes only
// by way of other hosts.
TEST_CASE(
    "a host that reaches the store but no other host has changes in time") {
  LoopbackFleet fleet(30, 3);
  fleet.RunFor(milliseconds(1000));
  const size_t last = fleet.size() - 1;
  fleet.links.isolated.insert(fleet.At(last).node->membership().self().id);
  for (const int change : {1, 2, 3}) {
    const std::string key = "change-" + std::to_string(change);
    fleet.rows.Put(StoreTable::kOperator, key, "row");
    fleet.RunFor(kConfigBound);
    CHECK(fleet.At(last).Has(StoreTable::kOperator, key));
    CHECK(fleet.AllHave(StoreTable::kOperator, key));
  }
}

// Guards against hosts that fail over from one lost source to the next for
// longer than a change may take.
TEST_CASE("hosts have changes in time after most others have been lost") {
  LoopbackFleet fleet(30, 3);
  fleet.RunFor(milliseconds(1000));
  // All but the hosts that rank last.
  const size_t lost = fleet.size() - 4;
  for (size_t i = 0; i < lost; ++i) {
    fleet.links.isolated.insert(fleet.At(i).node->membership().self().id);
    fleet.At(i).store.mode = InMemoryStore::Mode::kSilent;
  }
  fleet.rows.Put(StoreTable::kOperator, "change", "row");
  fleet.RunFor(kConfigBound);
  for (size_t i = lost; i < fleet.size(); ++i) {
    CHECK(fleet.At(i).Has(StoreTable::kOperator, "change"));
  }
}

}  // namespace applestand
