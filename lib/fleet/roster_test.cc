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
  host.zone = ZoneId(id.substr(0, 2));
  host.front_address = id + ":1";
  host.control_address = id + ":2";
  host.power = power;
  return host;
}

/// Rosters of several hosts that ask each other without delay.
class Fleet {
 public:
  void Add(const std::string& id, double power, uint64_t run = 1) {
    const HostInfo host = Host(id, power, run);
    m_rosters[host.id] = std::make_unique<Roster>(RosterOptions(), host);
    m_rows[host.id] = host;
    for (auto& [other, roster] : m_rosters) {
      roster->OnTableRead();
      for (const auto& [row_id, row] : m_rows) {
        roster->OnRow(row, m_now);
      }
    }
  }
  void Stop(const std::string& id) { m_rosters.erase(HostId(id)); }
  void Cut(const std::string& id, bool cut) { m_cut[HostId(id)] = cut; }

  /// Every host asks its hub, every 400 ms.
  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (m_now < end) {
      for (auto& [id, roster] : m_rosters) {
        Ask(id, *roster);
      }
      m_now += milliseconds(400);
    }
  }

  Roster& At(const std::string& id) { return *m_rosters.at(HostId(id)); }
  TimePoint now() const { return m_now; }

 private:
  void Ask(const HostId& id, Roster& roster) {
    const HostId hub = roster.ChooseHub(m_now);
    if (hub == id) {
      return;
    }
    const auto other = m_rosters.find(hub);
    if (other == m_rosters.end() || m_cut[id] || m_cut[hub]) {
      roster.OnFailed(hub, m_now);
      return;
    }
    Roster& asked = *other->second;
    asked.OnAsked(roster.self(), m_now);
    PullReply reply;
    reply.from = asked.self();
    reply.reads_store = asked.IsHub();
    reply.live = asked.LiveHosts(m_now);
    reply.counted = asked.Counted(m_now);
    roster.OnAnswered(reply, m_now, m_now);
  }

  TimePoint m_now{std::chrono::hours(1)};
  std::map<HostId, std::unique_ptr<Roster>> m_rosters;
  std::map<HostId, HostInfo> m_rows;
  std::map<HostId, bool> m_cut;
};

}  // namespace

TEST_CASE("all hosts agree on the most powerful one") {
  Fleet fleet;
  fleet.Add("a1", 0.1);
  fleet.Add("b1", 0.5);
  fleet.Add("c1", 0.1);
  fleet.Run(seconds(2));
  for (const char* id : {"a1", "b1", "c1"}) {
    CHECK(fleet.At(id).hub() == HostId("b1"));
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
  const HostId hub = fleet.At("h0").hub();
  for (int i = 0; i < 11; ++i) {
    CHECK(fleet.At("h" + std::to_string(i)).hub() == hub);
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
  CHECK(fleet.At("a1").hub() == HostId("b1"));
  CHECK(fleet.At("b1").hub() == HostId("b1"));
  CHECK(fleet.At("c1").hub() == HostId("b1"));
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
  CHECK(fleet.At("c1").hub() == HostId("b1"));
  CHECK(fleet.At("b1").Counted(fleet.now()) == 2);
}

TEST_CASE("without the hosts' table a host has no share") {
  Roster roster(RosterOptions(), Host("a1", 1));
  const TimePoint now{std::chrono::hours(1)};
  roster.ChooseHub(now);
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

TEST_CASE("messages survive encoding, and malformed ones are refused") {
  PullRequest request;
  request.from = Host("a1", 0.5, 9);
  request.have[1] = StoreVersion(77);
  request.wait = milliseconds(400);
  request.seen = {Host("b1", 0.1)};
  request.notices = {"n"};
  Reason reason;
  const auto decoded = DecodePullRequest(Encode(request), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->from.incarnation == Incarnation(9));
  CHECK(decoded->have[1] == StoreVersion(77));
  CHECK(decoded->seen.size() == 1);
  PullReply reply;
  reply.from = request.from;
  reply.tables[2].known = true;
  reply.tables[2].age = Duration(-5);
  reply.tables[2].update.rows = {{"k", "\xff bytes", StoreVersion(3), false}};
  reply.live = std::vector<HostInfo>{Host("c1", 1)};
  const auto back = DecodePullReply(Encode(reply), reason);
  REQUIRE(back.has_value());
  CHECK(back->tables[2].age == Duration(-5));
  CHECK(back->live->size() == 1);
  for (const char* text : {"", "{", "[]", "{\"from\":1}"}) {
    CHECK_FALSE(DecodePullRequest(text, reason).has_value());
    CHECK_FALSE(reason.text.empty());
    CHECK_FALSE(DecodePullReply(text, reason).has_value());
  }
}

}  // namespace applestand
