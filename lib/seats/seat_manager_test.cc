#include "lib/seats/seat_manager.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib/table_store/fake_table_service.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSeats = 12;

/// Seat managers of several hosts that share one table and one clock.
class Cluster {
 public:
  struct Member {
    HostId id;
    std::unique_ptr<SeatManager> seats;
    bool running = true;
    bool entry_confirms = true;
  };

  void Add(const std::string& id, uint64_t incarnation = 1) {
    Member& member = m_members[id];
    member.id = HostId(id);
    member.running = true;
    member.seats = std::make_unique<SeatManager>(
        member.id, Incarnation(incarnation), kSeats, SeatManager::Options());
  }

  Member& at(const std::string& id) { return m_members.at(id); }
  FakeTableService& table() { return m_table; }
  TimePoint now() const { return m_now; }

  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end;
         m_now += milliseconds(200)) {
      for (auto& [name, member] : m_members) {
        if (member.running) {
          Step(member);
        }
      }
    }
  }

  std::map<std::string, size_t> Counts() const {
    std::map<std::string, size_t> counts;
    for (const auto& [name, member] : m_members) {
      counts[name] = member.running ? member.seats->OwnedCount(m_now) : 0;
    }
    return counts;
  }

  size_t Total() const {
    size_t total = 0;
    for (const auto& [name, count] : Counts()) {
      total += count;
    }
    return total;
  }

 private:
  void Step(Member& member) {
    std::vector<HostId> live;
    for (const auto& [name, other] : m_members) {
      if (other.running) {
        live.push_back(other.id);
      }
    }
    if (const auto action = member.seats->NextAction(m_now, live)) {
      if (action->writes.empty()) {
        member.seats->OnReadResult(m_now, action->id,
                                   m_table.Read(action->read_keys));
      } else {
        member.seats->OnTransactResult(m_now, action->id,
                                       m_table.Transact(action->writes));
      }
    }
    const SeatGrant grant = member.seats->Grant(m_now);
    if (member.entry_confirms) {
      member.seats->OnGrantApplied({grant.incarnation, grant.generation});
    }
  }

  FakeTableService m_table;
  TimePoint m_now{std::chrono::hours(1)};
  std::map<std::string, Member> m_members;
};

class TenHosts : public Cluster {
 public:
  TenHosts() {
    for (int i = 0; i < 10; ++i) {
      Add("h" + std::to_string(i));
    }
  }
};

TEST_CASE("hosts own all seats, each at least one") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  CHECK(cluster.Total() == kSeats);
  for (const auto& [name, count] : cluster.Counts()) {
    CHECK(count >= 1);
  }
}

TEST_CASE("a newcomer gets a seat from a host that holds more") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.Add("new");
  cluster.Run(seconds(40));
  CHECK(cluster.Counts()["new"] == 1);
  CHECK(cluster.Total() == kSeats);
}

TEST_CASE("the seat of a dead host is taken after its lease") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.at("h3").running = false;
  cluster.Run(seconds(80));
  CHECK(cluster.Total() < kSeats);
  cluster.Run(seconds(60));
  CHECK(cluster.Total() == kSeats);
}

TEST_CASE("a planned stop hands the seats on at once") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.at("h3").seats->BeginStop();
  cluster.Run(seconds(2));
  CHECK(cluster.at("h3").seats->Stopped(cluster.now()));
  cluster.at("h3").running = false;
  cluster.Run(seconds(20));
  CHECK(cluster.Total() == kSeats);
}

TEST_CASE("a seat is kept until the entry process has let it go") {
  Cluster cluster;
  cluster.Add("a");
  cluster.Run(seconds(150));
  REQUIRE(cluster.Counts()["a"] == kSeats);
  cluster.at("a").entry_confirms = false;
  cluster.at("a").seats->BeginStop();
  cluster.Add("b");
  cluster.Run(seconds(30));
  CHECK(cluster.Counts()["b"] == 0);
  cluster.at("a").entry_confirms = true;
  cluster.Run(seconds(15));
  CHECK(cluster.Counts()["b"] > 0);
}

TEST_CASE("leases outlive an outage that is shorter than their rest") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.table().SetFault(FakeTableService::Fault::kDown);
  cluster.Run(seconds(95));
  CHECK(cluster.Total() == kSeats);
  cluster.Run(seconds(60));
  CHECK(cluster.Total() == 0);
  cluster.table().SetFault(FakeTableService::Fault::kNone);
  cluster.Run(seconds(30));
  CHECK(cluster.Total() == kSeats);
}

TEST_CASE("a write whose answer is lost is found by reading back") {
  Cluster cluster;
  cluster.table().SetFault(FakeTableService::Fault::kAnswerLost);
  cluster.Add("a");
  cluster.Run(seconds(300));
  CHECK(cluster.Counts()["a"] == kSeats);
}

TEST_CASE("a new control process adopts what the entry process uses") {
  Cluster cluster;
  cluster.Add("a");
  cluster.Run(seconds(150));
  const SeatGrant grant = cluster.at("a").seats->Grant(cluster.now());
  cluster.Add("a", 2);
  SUBCASE("adopting") {
    cluster.at("a").seats->Adopt(cluster.now(), grant);
    for (int i = 0; i < 70; ++i) {
      cluster.Run(seconds(1));
      CHECK(cluster.Counts()["a"] == kSeats);
    }
  }
  SUBCASE("without adopting it waits like any other") {
    cluster.Run(seconds(30));
    CHECK(cluster.Counts()["a"] == 0);
  }
}

TEST_CASE("a lease counts from its request, its use from some time after") {
  FakeTableService table;
  SeatManager seats(HostId("a"), Incarnation(1), 1, {});
  const TimePoint start{std::chrono::hours(1)};
  const auto read = seats.NextAction(start, {});
  REQUIRE(read);
  seats.OnReadResult(start, read->id, table.Read(read->read_keys));
  const auto take = seats.NextAction(start, {});
  REQUIRE(take);
  const TimePoint answered = start + seconds(7);
  seats.OnTransactResult(answered, take->id, table.Transact(take->writes));
  const SeatGrant grant = seats.Grant(answered);
  REQUIRE(grant.seats.size() == 1);
  const SeatManager::Options options;
  CHECK(TimePoint(grant.seats[0].from) >= answered + options.settle);
  CHECK(TimePoint(grant.seats[0].until) <= start + options.lease);
  CHECK(seats.Grant(start + options.lease).seats.empty());
}

TEST_CASE("a lease of an earlier run with the same serial is not its own") {
  FakeTableService table;
  const TimePoint now{std::chrono::hours(1)};
  const auto run = [&](SeatManager& seats) {
    const auto action = seats.NextAction(now, {});
    REQUIRE(action);
    if (action->writes.empty()) {
      seats.OnReadResult(now, action->id, table.Read(action->read_keys));
      return;
    }
    seats.OnTransactResult(now, action->id, table.Transact(action->writes));
  };
  SeatManager earlier(HostId("a"), Incarnation(1), 1, {});
  SeatManager later(HostId("a"), Incarnation(2), 1, {});
  run(earlier);
  run(later);
  run(earlier);
  CHECK(earlier.OwnedCount(now) == 1);
  table.SetFault(FakeTableService::Fault::kRequestLost);
  run(later);
  table.SetFault(FakeTableService::Fault::kNone);
  run(later);
  CHECK(later.OwnedCount(now) == 0);
}

TEST_CASE("rows that cannot be read are taken over after a lease") {
  Cluster cluster;
  for (uint32_t i = 0; i < kSeats; ++i) {
    REQUIRE(cluster.table().Transact(
                {{"seat/" + std::to_string(i), RowVersion(), "\xff?"}}) ==
            TableStatus::kOk);
  }
  cluster.Add("a");
  cluster.Run(seconds(110));
  CHECK(cluster.Total() == 0);
  cluster.Run(seconds(150));
  CHECK(cluster.Total() == kSeats);
}

}  // namespace
}  // namespace applestand
