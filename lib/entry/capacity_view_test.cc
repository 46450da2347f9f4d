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

TEST_CASE("a region is lost only when every home host reports no usable slot") {
  const TimePoint now{std::chrono::hours(1)};
  CapacityView view(kNorte);
  view.SetHomes(HomeMap(Targets(), {{HostId("n1"), kNorte}}));
  CHECK_FALSE(view.IsLocalLost(kOrders));
  view.OnReport(Report("n1", 4, 1), now);
  CHECK_FALSE(view.IsLocalLost(kOrders));
  view.OnReport(Report("n1", 0, 0), now);
  CHECK(view.IsLocalLost(kOrders));
}

TEST_CASE("a region without a live home host is lost") {
  CapacityView view(kNorte);
  view.SetHomes(HomeMap(Targets(), {{HostId("s1"), kSul}}));
  CHECK(view.IsLocalLost(kOrders));
}

TEST_CASE("old reports do not count as headroom") {
  const TimePoint now{std::chrono::hours(1)};
  CapacityView view(kNorte);
  view.SetHomes(
      HomeMap(Targets(), {{HostId("n1"), kNorte}, {HostId("s1"), kSul}}));
  view.OnReport(Report("s1", 4, 3), now);
  const auto fresh = view.Loads(kOrders, now);
  REQUIRE(fresh.size() == 2);
  CHECK(fresh[1].region == kSul);
  CHECK(fresh[1].spare == 3);
  const auto old = view.Loads(kOrders, now + std::chrono::seconds(3));
  CHECK(old[1].spare == 0);
}

}  // namespace applestand
