#include "lib/contract_shares/share_manager.h"

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

constexpr uint32_t kShares = 12;

/// Share managers of several hosts that share one table and one clock.
class Cluster {
 public:
  struct Member {
    HostId id;
    std::unique_ptr<ShareManager> manager;
    bool running = true;
    bool entry_confirms = true;
  };

  void Add(const std::string& id, uint64_t incarnation = 1) {
    Member& member = m_members[id];
    member.id = HostId(id);
    member.running = true;
    member.manager = std::make_unique<ShareManager>(
        member.id, Incarnation(incarnation), kShares, ShareManager::Options());
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
      counts[name] = member.running ? member.manager->OwnedCount(m_now) : 0;
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
    if (const auto action = member.manager->NextAction(m_now, live)) {
      if (action->writes.empty()) {
        member.manager->OnReadResult(m_now, action->id,
                                     m_table.Read(action->read_keys));
      } else {
        member.manager->OnTransactResult(m_now, action->id,
                                         m_table.Transact(action->writes));
      }
    }
    const ShareGrant grant = member.manager->Grant(m_now);
    if (member.entry_confirms) {
      member.manager->OnGrantApplied({grant.incarnation, grant.generation});
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

TEST_CASE("hosts own all shares, and each host owns at least one") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  CHECK(cluster.Total() == kShares);
  for (const auto& [name, count] : cluster.Counts()) {
    CHECK(count >= 1);
  }
}

TEST_CASE("a new host gets a share from a host that owns more") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.Add("new");
  cluster.Run(seconds(40));
  CHECK(cluster.Counts()["new"] == 1);
  CHECK(cluster.Total() == kShares);
}

TEST_CASE("the share of a dead host is acquired by others after its lease") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.at("h3").running = false;
  cluster.Run(seconds(80));
  CHECK(cluster.Total() < kShares);
  cluster.Run(seconds(60));
  CHECK(cluster.Total() == kShares);
}

TEST_CASE("a planned stop releases the shares without waiting for the lease") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.at("h3").manager->BeginStop();
  cluster.Run(seconds(2));
  CHECK(cluster.at("h3").manager->Stopped(cluster.now()));
  cluster.at("h3").running = false;
  cluster.Run(seconds(20));
  CHECK(cluster.Total() == kShares);
}

TEST_CASE("a share is not released until the entry process confirms it") {
  Cluster cluster;
  cluster.Add("a");
  cluster.Run(seconds(150));
  REQUIRE(cluster.Counts()["a"] == kShares);
  cluster.at("a").entry_confirms = false;
  cluster.at("a").manager->BeginStop();
  cluster.Add("b");
  cluster.Run(seconds(30));
  CHECK(cluster.Counts()["b"] == 0);
  cluster.at("a").entry_confirms = true;
  cluster.Run(seconds(15));
  CHECK(cluster.Counts()["b"] > 0);
}

TEST_CASE(
    "leases survive a table outage that is shorter than their remaining time") {
  TenHosts cluster;
  cluster.Run(seconds(40));
  cluster.table().SetFault(FakeTableService::Fault::kDown);
  cluster.Run(seconds(95));
  CHECK(cluster.Total() == kShares);
  cluster.Run(seconds(60));
  CHECK(cluster.Total() == 0);
  cluster.table().SetFault(FakeTableService::Fault::kNone);
  cluster.Run(seconds(30));
  CHECK(cluster.Total() == kShares);
}

TEST_CASE("a write whose response is lost is found by reading the row") {
  Cluster cluster;
  cluster.table().SetFault(FakeTableService::Fault::kResponseLost);
  cluster.Add("a");
  cluster.Run(seconds(300));
  CHECK(cluster.Counts()["a"] == kShares);
}

TEST_CASE(
    "a new control process adopts the shares in use by the entry process") {
  Cluster cluster;
  cluster.Add("a");
  cluster.Run(seconds(150));
  const ShareGrant grant = cluster.at("a").manager->Grant(cluster.now());
  cluster.Add("a", 2);
  SUBCASE("adopting") {
    cluster.at("a").manager->Adopt(cluster.now(), grant);
    for (int i = 0; i < 70; ++i) {
      cluster.Run(seconds(1));
      CHECK(cluster.Counts()["a"] == kShares);
    }
  }
  SUBCASE("without adopting, it waits for the lease like any other host") {
    cluster.Run(seconds(30));
    CHECK(cluster.Counts()["a"] == 0);
  }
}

TEST_CASE("a lease starts at its request, its use after the activation delay") {
  FakeTableService table;
  ShareManager manager(HostId("a"), Incarnation(1), 1, {});
  const TimePoint start{std::chrono::hours(1)};
  const auto read = manager.NextAction(start, {});
  REQUIRE(read);
  manager.OnReadResult(start, read->id, table.Read(read->read_keys));
  const auto acquire = manager.NextAction(start, {});
  REQUIRE(acquire);
  const TimePoint response_time = start + seconds(7);
  manager.OnTransactResult(response_time, acquire->id,
                           table.Transact(acquire->writes));
  const ShareGrant grant = manager.Grant(response_time);
  REQUIRE(grant.shares.size() == 1);
  const ShareManager::Options options;
  CHECK(TimePoint(grant.shares[0].from) >=
        response_time + options.activation_delay);
  CHECK(TimePoint(grant.shares[0].until) <= start + options.lease);
  CHECK(manager.Grant(start + options.lease).shares.empty());
}

TEST_CASE(
    "a lease of an earlier incarnation with the same serial is not its own") {
  FakeTableService table;
  const TimePoint now{std::chrono::hours(1)};
  const auto run_action = [&](ShareManager& manager) {
    const auto action = manager.NextAction(now, {});
    REQUIRE(action);
    if (action->writes.empty()) {
      manager.OnReadResult(now, action->id, table.Read(action->read_keys));
      return;
    }
    manager.OnTransactResult(now, action->id, table.Transact(action->writes));
  };
  ShareManager earlier(HostId("a"), Incarnation(1), 1, {});
  ShareManager later(HostId("a"), Incarnation(2), 1, {});
  run_action(earlier);
  run_action(later);
  run_action(earlier);
  CHECK(earlier.OwnedCount(now) == 1);
  table.SetFault(FakeTableService::Fault::kRequestLost);
  run_action(later);
  table.SetFault(FakeTableService::Fault::kNone);
  run_action(later);
  CHECK(later.OwnedCount(now) == 0);
}

TEST_CASE("rows that cannot be decoded are taken over after a lease") {
  Cluster cluster;
  for (uint32_t i = 0; i < kShares; ++i) {
    REQUIRE(cluster.table().Transact(
                {{"seat/" + std::to_string(i), RowVersion(), "\xff?"}}) ==
            TableStatus::kOk);
  }
  cluster.Add("a");
  cluster.Run(seconds(110));
  CHECK(cluster.Total() == 0);
  cluster.Run(seconds(150));
  CHECK(cluster.Total() == kShares);
}

}  // namespace
}  // namespace applestand
