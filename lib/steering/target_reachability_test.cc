#include "lib/steering/target_reachability.h"

#include <doctest/doctest.h>

#include <set>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Targets "a0", "a1", ... of zone "a", and so on.
std::vector<ProbeCandidate> Targets(const std::string& zones, int per_zone) {
  std::vector<ProbeCandidate> targets;
  for (const char zone : zones) {
    for (int i = 0; i < per_zone; ++i) {
      targets.push_back({TargetId(zone + std::to_string(i)),
                         ZoneId(std::string(1, zone)), "127.0.0.1:1",
                         ServiceId("desk")});
    }
  }
  return targets;
}

class TestLinks {
 public:
  explicit TestLinks(std::vector<ProbeCandidate> known)
      : m_known(std::move(known)) {}

  bool Fail(const std::string& target) {
    now += milliseconds(10);
    return links.OnFailure(TargetId(target), ZoneId(target.substr(0, 1)),
                           now - milliseconds(5), m_known, now);
  }
  bool Respond() {
    now += milliseconds(10);
    return links.OnResponse(now - milliseconds(5));
  }
  std::vector<ProbeCandidate> Probes() {
    now += milliseconds(300);
    return links.ChooseProbes(m_known, now);
  }

  TimePoint now{std::chrono::hours(1)};
  TargetReachability links;

 private:
  const std::vector<ProbeCandidate> m_known;
};

}  // namespace

TEST_CASE("the links are lost when targets of several zones fail") {
  TestLinks host(Targets("abc", 4));
  CHECK(!host.Fail("a0"));
  CHECK(!host.links.ShouldProbe());
  CHECK(!host.Fail("a1"));
  CHECK(host.links.ShouldProbe());
  CHECK(!host.Fail("a2"));
  CHECK(!host.links.lost());
  CHECK(host.Fail("b0"));
  CHECK(host.links.lost());
  CHECK(!host.Fail("b1"));
  CHECK(host.Respond());
  CHECK(!host.links.lost());
  CHECK(!host.links.ShouldProbe());
}

// Guards against targets that crash, or a zone that is lost, being taken for
// the loss of this host's links.
TEST_CASE(
    "the links are not lost while a target responds on a new connection") {
  TestLinks host(Targets("abc", 4));
  for (int i = 0; i < 4; ++i) {
    CHECK(!host.Fail("a" + std::to_string(i)));
  }
  std::set<ZoneId> zones;
  for (const ProbeCandidate& probe : host.Probes()) {
    zones.insert(probe.zone);
  }
  CHECK(zones == std::set<ZoneId>{ZoneId("b"), ZoneId("c")});
  CHECK(!host.Respond());
  CHECK(!host.Fail("b0"));
  CHECK(!host.links.lost());
}

TEST_CASE("failures of connections begun before a response count for nothing") {
  TestLinks host(Targets("abc", 4));
  const TimePoint begun = host.now;
  CHECK(!host.Respond());
  for (const char* target : {"a0", "b0", "c0"}) {
    CHECK(!host.links.OnFailure(TargetId(target), ZoneId(target), begun,
                                Targets("abc", 4), host.now));
  }
  CHECK(!host.links.ShouldProbe());
}

TEST_CASE("failures a while apart do not add up") {
  TestLinks host(Targets("abc", 4));
  for (const char* target : {"a0", "b0", "c0", "a1", "b1"}) {
    CHECK(!host.Fail(target));
    host.now += seconds(4);
  }
}

TEST_CASE("silence of all targets raises a suspicion") {
  const TargetId silent("a0");
  TestLinks host(Targets("abc", 4));
  host.links.OnAnyResponse(TargetId("a1"), host.now);
  host.links.OnNoResponse(silent, host.now - milliseconds(5), host.now);
  CHECK(!host.links.ShouldProbe());
  host.links.OnNoResponse(silent, host.now + milliseconds(5), host.now);
  CHECK(host.links.ShouldProbe());
  CHECK(host.Probes().size() == 2);
  host.links.OnAnyResponse(TargetId("a1"), host.now);
  CHECK(!host.links.ShouldProbe());
}

// Guards against one connection that lives on hiding that the others hang and
// no new one can be opened (soak seed 6102).
TEST_CASE("a silent target and a failed connection raise a suspicion") {
  TestLinks host(Targets("abc", 4));
  host.Fail("a0");
  host.now += milliseconds(10);
  host.links.OnAnyResponse(TargetId("b0"), host.now);
  host.links.OnNoResponse(TargetId("b0"), host.now - milliseconds(5), host.now);
  CHECK(!host.links.ShouldProbe());
  host.links.OnNoResponse(TargetId("c0"), host.now - milliseconds(5), host.now);
  CHECK(host.links.ShouldProbe());
  host.links.OnAnyResponse(TargetId("c0"), host.now);
  CHECK(!host.links.ShouldProbe());
}

TEST_CASE("few targets, all of which fail, are enough") {
  TestLinks host(Targets("a", 2));
  CHECK(!host.Fail("a0"));
  CHECK(host.Fail("a1"));
}

TEST_CASE("lost links are probed at one target after another") {
  TestLinks host(Targets("ab", 2));
  host.Fail("a0");
  host.Fail("a1");
  host.Fail("b0");
  CHECK(host.links.lost());
  std::set<TargetId> probed;
  for (int i = 0; i < 4; ++i) {
    const auto probes = host.Probes();
    REQUIRE(probes.size() == 1);
    probed.insert(probes.front().target);
    CHECK(host.links.ChooseProbes(Targets("ab", 2), host.now).empty());
  }
  CHECK(probed.size() == 4);
}

}  // namespace applestand
