#include "lib/fleet/fleet_membership.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <vector>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HostInfo Host(const std::string& id,
              double cpu_cores,
              uint64_t incarnation = 1) {
  HostInfo host;
  host.id = HostId(id);
  host.incarnation = Incarnation(incarnation);
  host.region = RegionId(id.substr(0, 1));
  host.zone = ZoneId(id.substr(0, 1));
  host.front_address = id + ":1";
  host.control_address = id + ":2";
  host.cpu_cores = cpu_cores;
  return host;
}

/// Simulates the memberships of several hosts that poll each other without
/// delay, and their writes to the metadata store.
class Fleet {
 public:
  explicit Fleet(
      const FleetMembershipOptions& options = FleetMembershipOptions())
      : m_options(options) {}

  void Add(const std::string& id, double cpu_cores, uint64_t incarnation = 1) {
    const HostInfo host = Host(id, cpu_cores, incarnation);
    m_memberships[host.id] = std::make_unique<FleetMembership>(m_options, host);
    m_memberships[host.id]->OnHostTableWritten(m_now);
    m_rows[host.id] = host;
    for (auto& [other, membership] : m_memberships) {
      membership->OnHostTableRead();
      for (const auto& [row_id, row] : m_rows) {
        membership->OnHostRow(row, m_now);
      }
    }
  }
  void Stop(const std::string& id) { m_memberships.erase(HostId(id)); }
  /// Disconnects a host from the others and from the store.
  void Cut(const std::string& id, bool cut) { m_cut[HostId(id)] = cut; }
  /// Disconnects all hosts whose ids have this prefix from the others and from
  /// the store.
  void CutGroup(const std::string& prefix) { m_cut_group = prefix; }

  void StopStore() { m_store_down = true; }

  /// Lets every host poll its update source every 400 ms.
  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (m_now < end) {
      m_request_counts.clear();
      for (auto& [id, membership] : m_memberships) {
        Poll(id, *membership);
      }
      m_now += milliseconds(400);
    }
  }

  FleetMembership& At(const std::string& id) {
    return *m_memberships.at(HostId(id));
  }
  TimePoint now() const { return m_now; }
  /// Number of hosts that polled a host in the last round.
  int RequestCount(const std::string& id) {
    return m_request_counts[HostId(id)];
  }
  /// Sum of the shares of the limits that are in use; 1 is all of the limits.
  double SharesInUse() const {
    double shares = 0;
    for (const auto& [id, membership] : m_memberships) {
      if (membership->ShareValid(m_now)) {
        shares += 1.0 / membership->CountedHosts(m_now);
      }
    }
    return shares;
  }

 private:
  bool InGroup(const HostId& id) const {
    return !m_cut_group.empty() && id.value().rfind(m_cut_group, 0) == 0;
  }

  // The hub reads the host table and, if it misses hosts, writes which ones it
  // hears from.
  void UseStore(const HostId& id, FleetMembership& hub) {
    if (m_store_down || InGroup(id) || m_cut[id]) {
      return;
    }
    for (const auto& [host, seen_at] : m_seen) {
      if (m_now - seen_at < seconds(1)) {
        hub.OnSeenByOtherHub(host, m_now);
      }
    }
    hub.OnHostTableCurrent(m_now);
    if (hub.MissingHosts(m_now).empty()) {
      return;
    }
    m_seen[id] = m_now;
    for (const SeenHost& seen : hub.RecentRequesters(m_now)) {
      m_seen[seen.host.id] = m_now;
    }
    hub.OnHostTableWritten(m_now);
  }

  void Poll(const HostId& id, FleetMembership& membership) {
    const HostId source = membership.ChooseSource(m_now);
    if (source == id) {
      UseStore(id, membership);
      return;
    }
    const auto other = m_memberships.find(source);
    if (other == m_memberships.end() || m_cut[id] || m_cut[source] ||
        InGroup(id) != InGroup(source)) {
      membership.OnHostFailed(source, m_now);
      return;
    }
    ++m_request_counts[source];
    FleetMembership& responder = *other->second;
    responder.OnRequest(membership.self(), m_now);
    for (const SeenHost& seen : membership.RecentRequesters(m_now)) {
      responder.OnIndirectRequest(seen.host, m_now - seen.age, m_now);
    }
    PullResponse response;
    response.from = responder.self();
    response.counted_hosts = responder.CountedHosts(m_now);
    if (const auto known_at = responder.KnownToAllAt(m_now)) {
      response.known_to_all_age = m_now - *known_at;
    }
    response.requester_incarnation = responder.IncarnationOf(id);
    membership.OnResponse(response, responder.LiveHosts(m_now), m_now, m_now);
  }

  const FleetMembershipOptions m_options;
  TimePoint m_now{std::chrono::hours(1)};
  std::map<HostId, std::unique_ptr<FleetMembership>> m_memberships;
  std::map<HostId, HostInfo> m_rows;
  std::map<HostId, bool> m_cut;
  std::string m_cut_group;
  bool m_store_down = false;
  std::map<HostId, TimePoint> m_seen;
  std::map<HostId, int> m_request_counts;
};

/// Adds three zones of `per_zone` hosts, of which "a0" ranks first.
void AddZones(Fleet& fleet, int per_zone) {
  for (int i = 0; i < per_zone; ++i) {
    for (const char* zone : {"a", "b", "c"}) {
      const std::string id = zone + std::to_string(i);
      fleet.Add(id, id == "a0" ? 0.5 : 0.1 + 0.001 * (per_zone - i));
    }
  }
}

/// Makes the first-ranked host of each zone relay for its zone in fleets of
/// more than five hosts.
FleetMembershipOptions ZoneRelayOptions() {
  FleetMembershipOptions options;
  options.max_direct_hosts = 4;
  return options;
}

}  // namespace

TEST_CASE("all hosts choose the one with the largest CPU share as hub") {
  Fleet fleet;
  fleet.Add("a1", 0.1);
  fleet.Add("b1", 0.5);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(2));
  for (const char* id : {"a1", "b1", "c1"}) {
    CHECK(fleet.At(id).source() == HostId("b1"));
    CHECK(fleet.At(id).LiveHosts(fleet.now()).size() == 3);
    CHECK(fleet.At(id).CountedHosts(fleet.now()) == 3);
    CHECK(fleet.At(id).ShareValid(fleet.now()));
  }
}

TEST_CASE(
    "hosts that start at the same time agree on a hub at their first poll") {
  Fleet fleet;
  for (int i = 0; i < 11; ++i) {
    fleet.Add("h" + std::to_string(i), 0.2);
  }
  fleet.Run(milliseconds(800));
  const HostId hub = fleet.At("h0").source();
  for (int i = 0; i < 11; ++i) {
    CHECK(fleet.At("h" + std::to_string(i)).source() == hub);
    CHECK(fleet.At("h" + std::to_string(i)).ShareValid(fleet.now()));
  }
}

TEST_CASE("a hub that the store rejects is replaced, and no host polls it") {
  Fleet fleet;
  fleet.Add("a1", 0.3);
  fleet.Add("b1", 0.2);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(1));
  fleet.At("a1").OnStoreUnreachable(fleet.now());
  fleet.Run(milliseconds(1600));
  CHECK(fleet.At("a1").source() == HostId("b1"));
  CHECK(fleet.At("b1").source() == HostId("b1"));
  CHECK(fleet.At("c1").source() == HostId("b1"));
}

TEST_CASE(
    "the share of a lost host is reassigned only after the host stops using "
    "it") {
  Fleet fleet;
  fleet.Add("a1", 0.3);
  fleet.Add("b1", 0.2);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(2));
  fleet.Cut("c1", true);
  const TimePoint cut = fleet.now();
  bool stopped = false;
  while (fleet.now() - cut < seconds(15)) {
    fleet.Run(milliseconds(400));
    stopped = stopped || !fleet.At("c1").ShareValid(fleet.now());
    const bool reassigned = fleet.At("a1").CountedHosts(fleet.now()) == 2;
    CHECK((!reassigned || stopped));
    // A host that stopped using its share does not resume while disconnected.
    CHECK((!stopped || !fleet.At("c1").ShareValid(fleet.now())));
  }
  CHECK(stopped);
  CHECK(fleet.At("a1").CountedHosts(fleet.now()) == 2);
  CHECK(fleet.At("b1").CountedHosts(fleet.now()) == 2);
}

TEST_CASE(
    "a hub that dies is replaced, and the other hosts keep their shares") {
  Fleet fleet;
  fleet.Add("a1", 0.3);
  fleet.Add("b1", 0.2);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(2));
  fleet.Stop("a1");
  for (int i = 0; i < 10; ++i) {
    fleet.Run(milliseconds(400));
    CHECK(fleet.At("b1").ShareValid(fleet.now()));
    CHECK(fleet.At("c1").ShareValid(fleet.now()));
    // The share of the old hub may still be in use.
    CHECK(fleet.At("b1").CountedHosts(fleet.now()) == 3);
  }
  fleet.Run(seconds(6));
  CHECK(fleet.At("c1").source() == HostId("b1"));
  CHECK(fleet.At("b1").CountedHosts(fleet.now()) == 2);
}

TEST_CASE("a host that has not read the host table has no share") {
  FleetMembership membership(FleetMembershipOptions(), Host("a1", 1));
  const TimePoint now{std::chrono::hours(1)};
  membership.ChooseSource(now);
  membership.OnHostTableWritten(now);
  CHECK(membership.CountedHosts(now) == 0);
  CHECK_FALSE(membership.ShareValid(now));
  membership.OnHostTableRead();
  CHECK(membership.CountedHosts(now) == 1);
  CHECK(membership.ShareValid(now));
  CHECK_FALSE(membership.ShareValid(now + seconds(7)));
}

TEST_CASE("a leaving host gets no callers, but its next incarnation does") {
  Fleet fleet;
  fleet.Add("a1", 0.3);
  fleet.Add("b1", 0.2);
  fleet.Run(seconds(1));
  fleet.At("b1").self().leaving = true;
  fleet.Run(milliseconds(800));
  CHECK(fleet.At("a1").LiveHosts(fleet.now()).size() == 1);
  fleet.Add("b1", 0.2, 2);
  fleet.Run(milliseconds(800));
  CHECK(fleet.At("a1").LiveHosts(fleet.now()).size() == 2);
}

// Guards against a new hub that knows no live host but itself until the others
// poll it: it would direct all callers of its region to itself, and count
// itself as the only user of the targets.
TEST_CASE("a new hub knows the live hosts of the source that has failed") {
  const FleetMembershipOptions options;
  const HostInfo source = Host("a1", 0.3);
  const HostInfo other = Host("c1", 0.1);
  FleetMembership hub(options, Host("b1", 0.2));
  TimePoint now{std::chrono::hours(1)};
  hub.OnHostRow(source, now);
  hub.OnHostRow(other, now);
  REQUIRE(hub.ChooseSource(now) == source.id);
  PullResponse response;
  response.from = source;
  hub.OnResponse(response, std::vector{source, hub.self(), other}, now, now);
  CHECK(hub.LiveHosts(now).size() == 3);

  now += milliseconds(400);
  hub.OnHostFailed(source.id, now);
  REQUIRE(hub.ChooseSource(now) == hub.self().id);
  const auto ids = [&] {
    std::vector<HostId> live;
    for (const HostInfo& host : hub.LiveHosts(now)) {
      live.push_back(host.id);
    }
    return live;
  };
  CHECK(ids() == std::vector{hub.self().id, other.id});
  // By then each live host has polled it.
  now += options.live_timeout;
  CHECK(ids() == std::vector{hub.self().id});
}

// Guards against hubs that fail one after the other and pass on a list of live
// hosts that gets older: lookups would name hosts that were killed long ago.
TEST_CASE("after two hubs have failed no host names one that died before") {
  const HostInfo first = Host("a1", 0.4);
  const HostInfo second = Host("b1", 0.3);
  const HostInfo third = Host("c1", 0.2);
  const HostInfo dead = Host("d1", 0.1);
  FleetMembership b(FleetMembershipOptions(), second);
  FleetMembership c(FleetMembershipOptions(), third);
  // Times since the last poll of the host that dies.
  const auto at = [](int ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
  };
  for (const HostInfo& host : {first, second, third, dead}) {
    b.OnHostRow(host, at(0));
    c.OnHostRow(host, at(0));
  }
  REQUIRE(b.ChooseSource(at(0)) == first.id);
  REQUIRE(c.ChooseSource(at(0)) == first.id);
  PullResponse response;
  response.from = first;
  const std::vector all{first, second, third, dead};
  b.OnResponse(response, all, at(1490), at(1490));
  c.OnResponse(response, all, at(1490), at(1490));
  b.OnHostFailed(first.id, at(2590));
  c.OnHostFailed(first.id, at(2590));
  REQUIRE(b.ChooseSource(at(2590)) == second.id);
  REQUIRE(c.ChooseSource(at(2590)) == second.id);
  b.OnRequest(third, at(4050));
  response.from = second;
  c.OnResponse(response, b.LiveHostsToReport(at(4050)), at(4050), at(4050));
  c.OnHostFailed(second.id, at(5150));
  REQUIRE(c.ChooseSource(at(5150)) == first.id);
  c.OnHostFailed(first.id, at(6250));
  REQUIRE(c.ChooseSource(at(6250)) == third.id);
  for (const int ms : {6500, 7000}) {
    for (const HostInfo& host : c.LiveHosts(at(ms))) {
      CHECK_FALSE(host.id == dead.id);
    }
  }
}

TEST_CASE("a host whose clock was set back is live in its next incarnation") {
  for (const auto& options : {ZoneRelayOptions(), FleetMembershipOptions()}) {
    Fleet fleet(options);
    AddZones(fleet, 3);
    fleet.Run(seconds(2));
    fleet.Stop("b1");
    fleet.Add("b1", 0.1, 9);
    fleet.Run(seconds(2));
    fleet.At("b1").self().leaving = true;
    fleet.Run(seconds(2));
    REQUIRE(fleet.At("a0").LiveHosts(fleet.now()).size() == 8);
    fleet.Stop("b1");
    fleet.Add("b1", 0.1, 4);
    fleet.Run(seconds(2));
    CHECK(fleet.At("a0").LiveHosts(fleet.now()).size() == 9);
    CHECK(fleet.At("c1").LiveHosts(fleet.now()).size() == 9);
  }
}

TEST_CASE(
    "in a large fleet only the first-ranked host of a zone polls the hub") {
  Fleet fleet(ZoneRelayOptions());
  AddZones(fleet, 10);
  fleet.Run(seconds(4));
  CHECK(fleet.At("a5").source() == HostId("a0"));
  CHECK(fleet.At("b5").source() == HostId("b0"));
  CHECK(fleet.At("b0").source() == HostId("a0"));
  // The hosts of its own zone and the first-ranked hosts of the two others.
  CHECK(fleet.RequestCount("a0") == 9 + 2);
  CHECK(fleet.RequestCount("b0") == 9);
  for (const char* id : {"a0", "a9", "b0", "c9"}) {
    CHECK(fleet.At(id).LiveHosts(fleet.now()).size() == 30);
    CHECK(fleet.At(id).CountedHosts(fleet.now()) == 30);
    CHECK(fleet.At(id).ShareValid(fleet.now()));
  }
}

TEST_CASE("the next host of a zone takes over if the first-ranked one dies") {
  Fleet fleet(ZoneRelayOptions());
  AddZones(fleet, 10);
  fleet.Run(seconds(4));
  fleet.Stop("b0");
  fleet.Run(milliseconds(1200));
  CHECK(fleet.At("b1").source() == HostId("a0"));
  CHECK(fleet.At("b5").source() == HostId("b1"));
  // The share of the dead host may still be in use.
  CHECK(fleet.At("c5").CountedHosts(fleet.now()) == 30);
  fleet.Run(seconds(1));
  CHECK(fleet.At("a0").LiveHosts(fleet.now()).size() == 29);
  CHECK(fleet.At("b5").ShareValid(fleet.now()));
}

TEST_CASE(
    "a partitioned zone stops using its shares before they are reassigned") {
  // The hosts of the zone still poll each other, so that each has an update
  // source that responds.
  for (const auto& options : {ZoneRelayOptions(), FleetMembershipOptions()}) {
    Fleet fleet(options);
    AddZones(fleet, 5);
    fleet.Run(seconds(4));
    REQUIRE(fleet.At("b3").ShareValid(fleet.now()));
    fleet.CutGroup("b");
    for (int i = 0; i < 60; ++i) {
      fleet.Run(milliseconds(400));
      CHECK(fleet.SharesInUse() < 1.001);
    }
    CHECK(fleet.At("a1").CountedHosts(fleet.now()) == 10);
    CHECK(fleet.SharesInUse() > 0.999);
    fleet.CutGroup("");
    fleet.Run(seconds(20));
    CHECK(fleet.SharesInUse() > 0.999);
    CHECK(fleet.SharesInUse() < 1.001);
  }
}

TEST_CASE("while the store is down shares stay valid and none is reassigned") {
  Fleet fleet(ZoneRelayOptions());
  AddZones(fleet, 5);
  fleet.Run(seconds(4));
  fleet.StopStore();
  fleet.Run(seconds(12));
  CHECK(fleet.SharesInUse() > 0.999);
  // A host that is not heard from here may still be heard from elsewhere.
  fleet.CutGroup("b");
  for (int i = 0; i < 50; ++i) {
    fleet.Run(milliseconds(400));
    CHECK(fleet.SharesInUse() < 1.001);
  }
}

TEST_CASE(
    "messages round-trip through their encoding; malformed ones are rejected") {
  PullRequest request;
  request.from = Host("a1", 0.5, 9);
  request.held_versions[1] = StoreVersion(77);
  request.wait = milliseconds(400);
  request.seen = {{Host("b1", 0.1), milliseconds(30)}};
  Reason reason;
  const auto decoded = Decode<PullRequest>(Encode(request), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->from.incarnation == Incarnation(9));
  CHECK(decoded->held_versions[1] == StoreVersion(77));
  CHECK(decoded->seen.at(0).age == milliseconds(30));
  PullResponse response;
  response.copies[2] = {true, StoreVersion(4), Duration(-5)};
  FleetUpdate update;
  update.tables[2].rows = {{"k", "\xff bytes", StoreVersion(3), false}};
  update.live = std::vector<HostInfo>{Host("c1", 1)};
  response.packed_update = Pack(update);
  const auto back = Decode<PullResponse>(Encode(response), reason);
  REQUIRE(back.has_value());
  CHECK(back->copies[2].age == Duration(-5));
  CHECK_FALSE(back->known_to_all_age.has_value());
  const auto unpacked = Unpack(back->packed_update, reason);
  REQUIRE(unpacked.has_value());
  CHECK(unpacked->tables[2].rows.at(0).value == "\xff bytes");
  CHECK(unpacked->live->size() == 1);
  for (const char* text : {"", "{", "\x93", "{\"from\":1}"}) {
    CHECK_FALSE(Decode<PullRequest>(text, reason).has_value());
    CHECK_FALSE(reason.text.empty());
    CHECK_FALSE(Decode<PullResponse>(text, reason).has_value());
    CHECK_FALSE(Unpack({5, text}, reason).has_value());
  }
}

TEST_CASE(
    "a large configuration is compressed to less than a tenth of its size") {
  // Thousands of similar routes, as operators add them. Sent uncompressed to 90
  // hosts, such a configuration occupied the hub's link for more than a second.
  std::string config;
  for (int i = 0; i < 2000; ++i) {
    config += "{\"prefix\":\"/r" + std::to_string(i * 7919) +
              "/\",\"backend\":\"desk\",\"type\":\"safe\",\"attempts\":2}";
  }
  FleetUpdate update;
  update.tables[0].rows = {{"config", config, StoreVersion(3), false}};
  const Deflated packed = Pack(update);
  CHECK(packed.bytes.size() * 10 < config.size());
}

}  // namespace applestand
