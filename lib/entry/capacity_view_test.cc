#include "lib/entry/capacity_view.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

const ServiceId kOrders("orders");
const RegionId kNorte("norte");
const RegionId kSul("sul");

std::map<TargetId, Target> Targets() {
  std::map<TargetId, Target> targets;
  for (const RegionId& region : {kNorte, kSul}) {
    Target target;
    target.id = TargetId("t-" + region.value());
    target.service = kOrders;
    target.region = region;
    target.slots = 4;
    targets[target.id] = target;
  }
  return targets;
}

CapacityReport Report(const char* host, uint32_t allowed, uint32_t spare) {
  CapacityReport report;
  report.from = HostId(host);
  report.services.push_back({kOrders, allowed, spare, 0, Duration::zero()});
  return report;
}

}  // namespace

TEST_CASE(
    "local capacity is lost only if every home host reports no usable slot") {
  const TimePoint now{std::chrono::hours(1)};
  CapacityView view(kNorte);
  view.SetHomeMap(HomeMap(Targets(), {{HostId("n1"), kNorte}}));
  CHECK_FALSE(view.IsLocalCapacityLost(kOrders));
  view.OnReport(Report("n1", 4, 1), now);
  CHECK_FALSE(view.IsLocalCapacityLost(kOrders));
  view.OnReport(Report("n1", 0, 0), now);
  CHECK(view.IsLocalCapacityLost(kOrders));
}

TEST_CASE("local capacity is lost if the region has no live home host") {
  CapacityView view(kNorte);
  view.SetHomeMap(HomeMap(Targets(), {{HostId("s1"), kSul}}));
  CHECK(view.IsLocalCapacityLost(kOrders));
}

TEST_CASE("reports older than their lifetime do not count as spare capacity") {
  const TimePoint now{std::chrono::hours(1)};
  CapacityView view(kNorte);
  view.SetHomeMap(
      HomeMap(Targets(), {{HostId("n1"), kNorte}, {HostId("s1"), kSul}}));
  view.OnReport(Report("s1", 4, 3), now);
  const auto current = view.RegionLoads(kOrders, now);
  REQUIRE(current.size() == 2);
  CHECK(current[1].region == kSul);
  CHECK(current[1].spare == 3);
  const auto expired = view.RegionLoads(kOrders, now + std::chrono::seconds(3));
  CHECK(expired[1].spare == 0);
}

}  // namespace applestand
