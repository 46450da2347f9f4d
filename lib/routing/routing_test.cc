#include <doctest/doctest.h>

#include <map>
#include <set>

#include "lib/routing/capacity_report.h"
#include "lib/routing/router.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const RegionId kNorte("norte");
const RegionId kSul("sul");
const TimePoint kStart{std::chrono::hours(1)};

/// Three home hosts in region "norte", of which "n0" runs the router, and two
/// in region "sul".
class Fixture {
 public:
  Fixture()
      : grants(HostId("n0"), Incarnation(1), kNorte, {}),
        shares(kNorte, {}),
        router(HostId("n0"), kNorte, {}, grants, shares) {
    SetHosts({"n0", "n1", "n2"}, {"s0", "s1"});
  }

  void SetHosts(const std::vector<std::string>& norte,
                const std::vector<std::string>& sul) {
    std::vector<LiveHost> hosts;
    hosts.reserve(norte.size() + sul.size());
    for (const std::string& host : norte) {
      hosts.push_back({HostId(host), kNorte});
    }
    for (const std::string& host : sul) {
      hosts.push_back({HostId(host), kSul});
    }
    std::map<TargetId, Target> targets;
    for (int i = 0; i < 60; ++i) {
      Target target;
      target.id = TargetId("t" + std::to_string(i));
      target.service = kDesk;
      target.region = i % 2 == 0 ? kNorte : kSul;
      target.slots = 4;
      targets[target.id] = target;
    }
    router.SetHomes(HomeMap(targets, hosts));
  }

  void Report(const std::string& host,
              uint32_t spare,
              Duration wait = Duration::zero(),
              uint32_t allowed = 40) {
    ++sequence;
    router.OnReport({HostId(host),
                     Incarnation(1),
                     sequence,
                     {{kDesk, allowed, spare, 0, wait}}},
                    now);
  }

  void ReportLocal(uint32_t spare, Duration wait = Duration::zero()) {
    for (const char* host : {"n0", "n1", "n2"}) {
      Report(host, spare, wait);
    }
  }

  void Grant(const std::string& host, uint32_t slots) {
    grants.RecordDemand(HostId(host), kDesk, 10, now);
    for (const auto& out : grants.DueRequests(now)) {
      if (out.to == HostId(host)) {
        grants.OnReply({out.request.id, Incarnation(1), out.to, kDesk, slots,
                        1'000'000, seconds(1)},
                       now);
      }
    }
    now += milliseconds(10);
  }

  std::optional<RouteChoice> Choose() { return Choose(query); }
  std::optional<RouteChoice> Choose(RouteQuery& route_query) {
    return router.Choose(route_query, now, refusal);
  }

  TimePoint now = kStart;
  CapacityGrantHolder grants;
  TrafficShares shares;
  Router router;
  RouteQuery query{kDesk};
  RouteRefusal refusal;
  uint64_t sequence = 0;
};

TEST_CASE("this host is preferred while it has spare slots") {
  Fixture f;
  f.Report("n0", 2);
  f.Report("n1", 30);
  f.Report("n2", 10);
  CHECK(f.Choose()->home == HostId("n0"));
  CHECK(f.Choose()->home == HostId("n0"));
  std::map<HostId, int> chosen;
  for (int i = 0; i < 40; ++i) {
    ++chosen[f.Choose()->home];
  }
  CHECK(chosen[HostId("n1")] == 30);
  CHECK(chosen[HostId("n2")] == 10);
}

TEST_CASE("after a refusal another host is chosen") {
  Fixture f;
  f.ReportLocal(5);
  std::set<HostId> seen;
  for (int i = 0; i < 3; ++i) {
    const auto choice = f.Choose();
    REQUIRE(choice.has_value());
    CHECK(seen.insert(choice->home).second);
    f.router.OnAttemptEnd(kDesk, *choice, AttemptEnd::kRefused, f.now);
    f.query.tried.push_back(choice->home);
  }
  CHECK_FALSE(f.Choose().has_value());
  CHECK(f.refusal.retry_after > Duration::zero());
}

TEST_CASE("a host that did not respond is skipped") {
  Fixture f;
  f.ReportLocal(0);
  f.Report("n1", 9);
  const auto choice = f.Choose();
  CHECK(choice->home == HostId("n1"));
  f.router.OnAttemptEnd(kDesk, *choice, AttemptEnd::kNoResponse, f.now);
  for (int i = 0; i < 20; ++i) {
    RouteQuery query{kDesk};
    CHECK(f.Choose(query)->home != HostId("n1"));
  }
}

TEST_CASE("a report that arrives late does not replace a newer one") {
  Fixture f;
  f.ReportLocal(0);
  f.sequence = 0;
  f.Report("n2", 9);
  CHECK(f.router.SpareSlots(kDesk, kNorte, f.now) == 0);
}

TEST_CASE("a loaded region sends requests to another only under a grant") {
  Fixture f;
  f.ReportLocal(0, milliseconds(500));
  f.Report("s0", 30);
  CHECK_FALSE(f.Choose()->remote);
  f.Grant("s0", 2);
  const auto first = f.Choose();
  CHECK(first->remote);
  CHECK(first->home == HostId("s0"));
  CHECK(f.Choose()->remote);
  CHECK_FALSE(f.Choose()->remote);
  f.router.OnAttemptEnd(kDesk, *first, AttemptEnd::kAccepted, f.now);
  CHECK(f.Choose()->remote);
}

TEST_CASE(
    "the bytes of a grant limit the request bodies sent to another region") {
  Fixture f;
  f.ReportLocal(0, milliseconds(500));
  f.Report("s0", 30);
  f.Grant("s0", 50);
  f.query.body_bytes = 200'000;
  CHECK(f.Choose()->remote);
  CHECK_FALSE(f.Choose()->remote);
}

TEST_CASE(
    "a request with a large body stays while its region has a home host") {
  Fixture f;
  f.ReportLocal(0, milliseconds(500));
  f.Report("s0", 30);
  f.Grant("s0", 5);
  f.query.body_bytes = 6'000'000;
  CHECK_FALSE(f.Choose()->remote);
  f.query.tried = {HostId("n0"), HostId("n1"), HostId("n2")};
  CHECK(f.Choose()->remote);
}

TEST_CASE("a region without home hosts fails over one step at a time") {
  Fixture f;
  f.SetHosts({}, {"s0", "s1"});
  f.Report("s0", 30);
  f.Grant("s0", 1000);
  int remote = 0;
  for (uint64_t hash = 0; hash < 500; ++hash) {
    RouteQuery query{kDesk, hash};
    const auto choice = f.Choose(query);
    remote += choice.has_value() ? 1 : 0;
    CHECK((!choice || choice->remote));
  }
  CHECK(remote <= 100 + TrafficShares::kCreditLimit);
  CHECK(remote >= 80);
}

TEST_CASE("refusals by local home hosts do not bypass the failover limit") {
  Fixture f;
  for (const char* host : {"n0", "n1", "n2"}) {
    f.Report(host, 0, milliseconds(1), 0);
  }
  f.Report("s0", 30);
  f.Grant("s0", 1000);
  int remote = 0;
  for (uint64_t hash = 0; hash < 500; ++hash) {
    RouteQuery query{kDesk, hash};
    while (const auto choice = f.Choose(query)) {
      if (choice->remote) {
        ++remote;
        break;
      }
      query.tried.push_back(choice->home);
    }
  }
  CHECK(remote <= 100 + TrafficShares::kCreditLimit);
  CHECK(remote >= 80);
}

TEST_CASE("a planned move shifts its share to the other region only") {
  Fixture f;
  ConfigState config;
  Move move;
  move.service = kDesk;
  move.from = kNorte;
  move.to = kSul;
  move.current_permille = 300;
  config.moves[move.id] = move;
  f.shares.OnConfig(config, f.now);
  f.ReportLocal(40);
  f.Report("s0", 30);
  f.Grant("s0", 1000);
  int remote = 0;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    RouteQuery query{kDesk, hash};
    remote += f.Choose(query)->remote ? 1 : 0;
  }
  CHECK(remote <= 300 + TrafficShares::kCreditLimit);
  CHECK(remote >= 250);
}

TEST_CASE("a report contains the allowed and spare slots of a pool") {
  const PoolPolicy policy;
  TargetPool pool(policy);
  Target target;
  target.id = TargetId("t");
  target.service = kDesk;
  target.slots = 4;
  pool.SetTargets({target}, kStart);
  pool.Submit({DispatchId(1), kDesk, {}, 1, kStart + seconds(1), {}}, kStart);
  const CapacityReport report =
      MakeCapacityReport(pool, HostId("n0"), Incarnation(2), 7, kStart);
  Reason reason;
  const auto decoded = Decode<CapacityReport>(Encode(report), reason);
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->services.size() == 1);
  CHECK(decoded->sequence == 7);
  CHECK(decoded->services[0].allowed == policy.target.cold_slots);
  CHECK(decoded->services[0].spare == 0);
}

}  // namespace
}  // namespace applestand
