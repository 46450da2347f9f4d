#include "lib/fleet/roster.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HostInfo Host(const std::string& id, double power, uint64_t run = 1) {
  HostInfo host;
  host.id = HostId(id);
  host.incarnation = Incarnation(run);
  host.region = RegionId(id.substr(0, 1));
  host.zone = ZoneId(id.substr(0, 1));
  host.front_address = id + ":1";
  host.control_address = id + ":2";
  host.power = power;
  return host;
}

/// Rosters of several hosts that ask each other without delay, and what they
/// write to the store.
class Fleet {
 public:
  explicit Fleet(const RosterOptions& options = RosterOptions())
      : m_options(options) {}

  void Add(const std::string& id, double power, uint64_t run = 1) {
    const HostInfo host = Host(id, power, run);
    m_rosters[host.id] = std::make_unique<Roster>(m_options, host);
    m_rosters[host.id]->OnWritten(m_now);
    m_rows[host.id] = host;
    for (auto& [other, roster] : m_rosters) {
      roster->OnTableRead();
      for (const auto& [row_id, row] : m_rows) {
        roster->OnRow(row, m_now);
      }
    }
  }
  void Stop(const std::string& id) { m_rosters.erase(HostId(id)); }
  /// Cuts a host from the others and from the store.
  void Cut(const std::string& id, bool cut) { m_cut[HostId(id)] = cut; }
  /// Cuts all hosts whose names begin so from the others and from the store.
  void CutGroup(const std::string& prefix) { m_cut_group = prefix; }

  void StopStore() { m_store_down = true; }

  /// Every host asks its source, every 400 ms.
  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (m_now < end) {
      m_asked.clear();
      for (auto& [id, roster] : m_rosters) {
        Ask(id, *roster);
      }
      m_now += milliseconds(400);
    }
  }

  Roster& At(const std::string& id) { return *m_rosters.at(HostId(id)); }
  TimePoint now() const { return m_now; }
  /// How many asked a host in the last round.
  int Asked(const std::string& id) { return m_asked[HostId(id)]; }
  /// The shares of limits in use, 1 being the whole.
  double SharesInUse() const {
    double shares = 0;
    for (const auto& [id, roster] : m_rosters) {
      if (roster->ShareValid(m_now)) {
        shares += 1.0 / roster->Counted(m_now);
      }
    }
    return shares;
  }

 private:
  bool InGroup(const HostId& id) const {
    return !m_cut_group.empty() && id.value().rfind(m_cut_group, 0) == 0;
  }

  // The hub reads the hosts' table, and writes whom it hears where it misses
  // some.
  void UseStore(const HostId& id, Roster& hub) {
    if (m_store_down || InGroup(id) || m_cut[id]) {
      return;
    }
    for (const auto& [host, seen_at] : m_seen) {
      if (m_now - seen_at < seconds(1)) {
        hub.OnSeenElsewhere(host, m_now);
      }
    }
    hub.OnHostsCurrent(m_now);
    if (hub.Missing(m_now).empty()) {
      return;
    }
    m_seen[id] = m_now;
    for (const SeenHost& seen : hub.Askers(m_now)) {
      m_seen[seen.host.id] = m_now;
    }
    hub.OnWritten(m_now);
  }

  void Ask(const HostId& id, Roster& roster) {
    const HostId source = roster.ChooseSource(m_now);
    if (source == id) {
      UseStore(id, roster);
      return;
    }
    const auto other = m_rosters.find(source);
    if (other == m_rosters.end() || m_cut[id] || m_cut[source] ||
        InGroup(id) != InGroup(source)) {
      roster.OnFailed(source, m_now);
      return;
    }
    ++m_asked[source];
    Roster& asked = *other->second;
    asked.OnAsked(roster.self(), m_now);
    for (const SeenHost& seen : roster.Askers(m_now)) {
      asked.OnAskedElsewhere(seen.host, m_now - seen.age, m_now);
    }
    PullReply reply;
    reply.from = asked.self();
    reply.counted = asked.Counted(m_now);
    if (const auto known_at = asked.KnownAt(m_now)) {
      reply.known_age = m_now - *known_at;
    }
    reply.asker_run = asked.RunOf(id);
    roster.OnAnswered(reply, asked.LiveHosts(m_now), m_now, m_now);
  }

  const RosterOptions m_options;
  TimePoint m_now{std::chrono::hours(1)};
  std::map<HostId, std::unique_ptr<Roster>> m_rosters;
  std::map<HostId, HostInfo> m_rows;
  std::map<HostId, bool> m_cut;
  std::string m_cut_group;
  bool m_store_down = false;
  std::map<HostId, TimePoint> m_seen;
  std::map<HostId, int> m_asked;
};

/// Three zones of `per_zone` hosts; "a0" is the first of all.
void AddZones(Fleet& fleet, int per_zone) {
  for (int i = 0; i < per_zone; ++i) {
    for (const char* zone : {"a", "b", "c"}) {
      const std::string id = zone + std::to_string(i);
      fleet.Add(id, id == "a0" ? 0.5 : 0.1 + 0.001 * (per_zone - i));
    }
  }
}

RosterOptions TreeOptions() {
  RosterOptions options;
  options.direct_hosts = 4;
  return options;
}

}  // namespace

TEST_CASE("all hosts agree on the most powerful one") {
  Fleet fleet;
  fleet.Add("a1", 0.1);
  fleet.Add("b1", 0.5);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(2));
  for (const char* id : {"a1", "b1", "c1"}) {
    CHECK(fleet.At(id).source() == HostId("b1"));
    CHECK(fleet.At(id).LiveHosts(fleet.now()).size() == 3);
    CHECK(fleet.At(id).Counted(fleet.now()) == 3);
    CHECK(fleet.At(id).ShareValid(fleet.now()));
  }
}

TEST_CASE("hosts that all start at once agree at their first question") {
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

TEST_CASE("a hub that the store turns away hands over, and nobody follows it") {
  Fleet fleet;
  fleet.Add("a1", 0.3);
  fleet.Add("b1", 0.2);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(1));
  fleet.At("a1").OnStoreDenied(fleet.now());
  fleet.Run(milliseconds(1600));
  CHECK(fleet.At("a1").source() == HostId("b1"));
  CHECK(fleet.At("b1").source() == HostId("b1"));
  CHECK(fleet.At("c1").source() == HostId("b1"));
}

TEST_CASE("the share of a lost host is taken over only after it has stopped") {
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
    const bool taken = fleet.At("a1").Counted(fleet.now()) == 2;
    CHECK((!taken || stopped));
    // A host that has stopped does not begin again while it is cut off.
    CHECK((!stopped || !fleet.At("c1").ShareValid(fleet.now())));
  }
  CHECK(stopped);
  CHECK(fleet.At("a1").Counted(fleet.now()) == 2);
  CHECK(fleet.At("b1").Counted(fleet.now()) == 2);
}

TEST_CASE("a hub that dies is replaced, and its followers keep their shares") {
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
    // Its share may still be in use.
    CHECK(fleet.At("b1").Counted(fleet.now()) == 3);
  }
  fleet.Run(seconds(6));
  CHECK(fleet.At("c1").source() == HostId("b1"));
  CHECK(fleet.At("b1").Counted(fleet.now()) == 2);
}

TEST_CASE("without the hosts' table a host has no share") {
  Roster roster(RosterOptions(), Host("a1", 1));
  const TimePoint now{std::chrono::hours(1)};
  roster.ChooseSource(now);
  roster.OnWritten(now);
  CHECK(roster.Counted(now) == 0);
  CHECK_FALSE(roster.ShareValid(now));
  roster.OnTableRead();
  CHECK(roster.Counted(now) == 1);
  CHECK(roster.ShareValid(now));
  CHECK_FALSE(roster.ShareValid(now + seconds(7)));
}

TEST_CASE("a host that leaves gets no callers, its next run does") {
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

TEST_CASE("a host whose clock was set back is heard of in its next run") {
  for (const auto& options : {TreeOptions(), RosterOptions()}) {
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

TEST_CASE("in a large fleet only the first host of a zone asks the hub") {
  Fleet fleet(TreeOptions());
  AddZones(fleet, 10);
  fleet.Run(seconds(4));
  CHECK(fleet.At("a5").source() == HostId("a0"));
  CHECK(fleet.At("b5").source() == HostId("b0"));
  CHECK(fleet.At("b0").source() == HostId("a0"));
  // Its own zone, and the first hosts of two others.
  CHECK(fleet.Asked("a0") == 9 + 2);
  CHECK(fleet.Asked("b0") == 9);
  for (const char* id : {"a0", "a9", "b0", "c9"}) {
    CHECK(fleet.At(id).LiveHosts(fleet.now()).size() == 30);
    CHECK(fleet.At(id).Counted(fleet.now()) == 30);
    CHECK(fleet.At(id).ShareValid(fleet.now()));
  }
}

TEST_CASE("the next host of a zone takes over from a first one that dies") {
  Fleet fleet(TreeOptions());
  AddZones(fleet, 10);
  fleet.Run(seconds(4));
  fleet.Stop("b0");
  fleet.Run(milliseconds(1200));
  CHECK(fleet.At("b1").source() == HostId("a0"));
  CHECK(fleet.At("b5").source() == HostId("b1"));
  // Its share of limits may still be in use.
  CHECK(fleet.At("c5").Counted(fleet.now()) == 30);
  fleet.Run(seconds(1));
  CHECK(fleet.At("a0").LiveHosts(fleet.now()).size() == 29);
  CHECK(fleet.At("b5").ShareValid(fleet.now()));
}

TEST_CASE("a zone cut off from all else stops its shares before others do") {
  // The hosts of the zone still ask each other, so each has a source.
  for (const auto& options : {TreeOptions(), RosterOptions()}) {
    Fleet fleet(options);
    AddZones(fleet, 5);
    fleet.Run(seconds(4));
    REQUIRE(fleet.At("b3").ShareValid(fleet.now()));
    fleet.CutGroup("b");
    for (int i = 0; i < 60; ++i) {
      fleet.Run(milliseconds(400));
      CHECK(fleet.SharesInUse() < 1.001);
    }
    CHECK(fleet.At("a1").Counted(fleet.now()) == 10);
    CHECK(fleet.SharesInUse() > 0.999);
    fleet.CutGroup("");
    fleet.Run(seconds(20));
    CHECK(fleet.SharesInUse() > 0.999);
    CHECK(fleet.SharesInUse() < 1.001);
  }
}

TEST_CASE("with the store away shares go on, and none is taken over") {
  Fleet fleet(TreeOptions());
  AddZones(fleet, 5);
  fleet.Run(seconds(4));
  fleet.StopStore();
  fleet.Run(seconds(12));
  CHECK(fleet.SharesInUse() > 0.999);
  // Whoever is not heard of now may be heard of by others.
  fleet.CutGroup("b");
  for (int i = 0; i < 50; ++i) {
    fleet.Run(milliseconds(400));
    CHECK(fleet.SharesInUse() < 1.001);
  }
}

TEST_CASE("messages survive encoding, and malformed ones are refused") {
  PullRequest request;
  request.from = Host("a1", 0.5, 9);
  request.have[1] = StoreVersion(77);
  request.wait = milliseconds(400);
  request.seen = {{Host("b1", 0.1), milliseconds(30)}};
  Reason reason;
  const auto decoded = Decode<PullRequest>(Encode(request), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->from.incarnation == Incarnation(9));
  CHECK(decoded->have[1] == StoreVersion(77));
  CHECK(decoded->seen.at(0).age == milliseconds(30));
  PullReply reply;
  reply.copies[2] = {true, StoreVersion(4), Duration(-5)};
  FleetNews news;
  news.tables[2].rows = {{"k", "\xff bytes", StoreVersion(3), false}};
  news.live = std::vector<HostInfo>{Host("c1", 1)};
  reply.news = Pack(news);
  const auto back = Decode<PullReply>(Encode(reply), reason);
  REQUIRE(back.has_value());
  CHECK(back->copies[2].age == Duration(-5));
  CHECK_FALSE(back->known_age.has_value());
  const auto unpacked = Unpack(back->news, reason);
  REQUIRE(unpacked.has_value());
  CHECK(unpacked->tables[2].rows.at(0).value == "\xff bytes");
  CHECK(unpacked->live->size() == 1);
  for (const char* text : {"", "{", "\x93", "{\"from\":1}"}) {
    CHECK_FALSE(Decode<PullRequest>(text, reason).has_value());
    CHECK_FALSE(reason.text.empty());
    CHECK_FALSE(Decode<PullReply>(text, reason).has_value());
    CHECK_FALSE(Unpack({5, text}, reason).has_value());
  }
}

TEST_CASE("a large configuration reaches many hosts in a tenth of its bytes") {
  // Hundreds of routes alike, as operators add them; sent to ninety hosts in
  // full it took more than a second of the hub's link.
  std::string config;
  for (int i = 0; i < 2000; ++i) {
    config += "{\"prefix\":\"/r" + std::to_string(i * 7919) +
              "/\",\"backend\":\"desk\",\"type\":\"safe\",\"attempts\":2}";
  }
  FleetNews news;
  news.tables[0].rows = {{"config", config, StoreVersion(3), false}};
  const Deflated packed = Pack(news);
  CHECK(packed.bytes.size() * 10 < config.size());
}

}  // namespace applestand
