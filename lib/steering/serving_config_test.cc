#include "lib/steering/serving_config.h"

#include <doctest/doctest.h>

#include <map>

#include "lib/base/fixed_seed_check.h"
#include "lib/steering/region_load_aggregator.h"
#include "lib/steering/service_split.h"

namespace applestand {

namespace {

ServingRoute Route(const std::string& prefix) {
  ServingRoute route;
  route.id = RouteId(prefix);
  route.path_prefix = prefix;
  return route;
}

}  // namespace

TEST_CASE(
    "the longest matching path prefix of the host name takes precedence") {
  ServingConfig config;
  config.routes["a.example"] = {Route("/x/"), Route("/x/y/"), Route("/")};
  const auto find = [&](const std::string& host, const std::string& path) {
    const ServingRoute* route = FindRoute(config, host, path);
    return route == nullptr ? std::string("-") : route->path_prefix;
  };
  CHECK(find("a.example", "/x/y/z") == "/x/y/");
  CHECK(find("a.example", "/x/yz") == "/x/");
  CHECK(find("a.example", "/x") == "/");
  CHECK(find("b.example", "/x/") == "-");
}

TEST_CASE(
    "a request may only be processed in home regions of both route and "
    "account") {
  ServingRoute route = Route("/");
  ServingAccount account;
  CHECK_FALSE(EffectiveHomeRegions(route, &account).has_value());
  account.home_regions = {RegionId("a"), RegionId("b")};
  CHECK(EffectiveHomeRegions(route, &account)->size() == 2);
  route.home_regions = {RegionId("b"), RegionId("c")};
  CHECK(*EffectiveHomeRegions(route, &account) ==
        std::vector<RegionId>{RegionId("b")});
  CHECK(EffectiveHomeRegions(route, nullptr)->size() == 2);
  account.home_regions = {RegionId("a")};
  CHECK(EffectiveHomeRegions(route, &account)->empty());
}

TEST_CASE("services of a route get requests in proportion to their weights") {
  ServingRoute route = Route("/");
  route.services = {
      {ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("c"), 0}};
  ServiceSplit split;
  std::map<std::string, int> counts;
  for (int i = 1; i <= 300; ++i) {
    ++counts[split.Next(route)->value()];
    // At any time, the count is within one request of the weight.
    CHECK(std::abs(counts["b"] - i / 10.0) <= 1);
  }
  CHECK(counts["a"] == 270);
  CHECK(counts["c"] == 0);
  route.services = {{ServiceId("a"), 0}, {ServiceId("b"), 0}};
  CHECK(split.Next(route) == nullptr);
}

TEST_CASE(
    "total load of a region equals the sum of the latest reports of its "
    "hosts") {
  constexpr uint64_t kSeed = 99;
  CHECK(FixedSeedCheck(
      kSeed, 200, 60, [](const std::vector<unsigned char>& steps) {
        RegionLoadAggregator aggregator;
        std::map<HostId, TargetCounts> reports;
        TimePoint now{std::chrono::hours(1)};
        aggregator.Totals(now);
        for (const unsigned char step : steps) {
          const HostId host(std::string(1, static_cast<char>('a' + step % 3)));
          TargetCounts counts;
          counts[HashTargetId(TargetId("x"))] = step % 4;
          counts[HashTargetId(TargetId("y"))] = step / 16;
          aggregator.OnReport(host, counts, now);
          reports[host] = counts;
          TargetCounts sums;
          for (const auto& [from, report] : reports) {
            for (const auto& [target, count] : report) {
              if (count > 0) {
                sums[target] += count;
              }
            }
          }
          RC_ASSERT(aggregator.Totals(now) == sums);
        }
        now += std::chrono::seconds(2);
        RC_ASSERT(aggregator.Totals(now).empty());
      }));
}

}  // namespace applestand
