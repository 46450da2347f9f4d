#include <doctest/doctest.h>

#include "lib/headroom/capacity_grant_holder.h"
#include "lib/headroom/capacity_granter.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const HostId kGranter("g");
const TimePoint kStart{std::chrono::hours(1)};

CapacityGranter MakeGranter(uint32_t slots, uint32_t growth_permille = 10'000) {
  CapacityGranterPolicy policy;
  policy.growth_permille_per_second = growth_permille;
  CapacityGranter granter(kGranter, policy);
  granter.SetCapacity(kDesk, {slots, 0});
  granter.SetLink(RegionId("norte"), 35'000'000, 3);
  return granter;
}

GrantRequest MakeRequest(uint64_t id,
                         const std::string& from,
                         uint32_t slots,
                         uint64_t bytes = 1000) {
  return {GrantId(id), HostId(from), Incarnation(1), RegionId("norte"),
          kDesk,       slots,        bytes};
}

CapacityGrantHolder MakeHolder(Incarnation incarnation = Incarnation(1)) {
  return CapacityGrantHolder(HostId("h"), incarnation, RegionId("norte"), {});
}

TEST_CASE("the reserve and the local load are not granted") {
  CapacityGranter granter = MakeGranter(20);
  granter.SetCapacity(kDesk, {20, 7});
  const auto reply = granter.OnRequest(MakeRequest(1, "h", 50), kStart);
  REQUIRE(reply.has_value());
  CHECK(reply->max_in_flight == 10);
  CHECK(granter.OnRequest(MakeRequest(1, "k", 50), kStart)->max_in_flight == 0);
}

TEST_CASE("total granted slots grow no faster than the configured rate") {
  CapacityGranter granter = MakeGranter(100, 100);
  TimePoint now = kStart;
  for (uint64_t id = 1; id <= 50; ++id) {
    granter.OnRequest(MakeRequest(id, "h", 80), now);
    const double max_granted = 10 + 10 * ToSeconds(now - kStart);
    CHECK(granter.CommittedSlots(kDesk, now) <= max_granted);
    now += milliseconds(100);
  }
  CHECK(granter.CommittedSlots(kDesk, now) >= 50);
}

TEST_CASE("granted byte rates add up to the link's rate per host") {
  CapacityGranter granter = MakeGranter(100);
  const uint64_t rate_per_host = 35'000'000ULL * 8 / 10 / 3;
  uint64_t granted = 0;
  for (uint64_t host = 0; host < 5; ++host) {
    const auto request =
        MakeRequest(1, "h" + std::to_string(host), 2, 4'000'000);
    granted += granter.OnRequest(request, kStart)->bytes_per_second;
  }
  CHECK(granted == rate_per_host);
}

TEST_CASE("holders that want more than the capacity converge to equal grants") {
  CapacityGranter granter = MakeGranter(24);
  TimePoint now = kStart;
  for (uint64_t id = 1; id <= 20; ++id) {
    granter.OnRequest(MakeRequest(id, "h", 50), now);
    granter.OnRequest(MakeRequest(id, "k", 50), now);
    now += milliseconds(300);
  }
  CHECK(granter.OnRequest(MakeRequest(21, "h", 50), now)->max_in_flight == 10);
  CHECK(granter.OnRequest(MakeRequest(21, "k", 50), now)->max_in_flight == 10);
}

TEST_CASE("a holder sends only within an unexpired grant") {
  CapacityGrantHolder holder = MakeHolder();
  CHECK_FALSE(holder.TryAcquire(kGranter, kDesk, 100, kStart));
  const auto due = holder.DueRequests(kStart);
  REQUIRE(due.size() == 1);
  const GrantReply reply{due[0].request.id, Incarnation(1), kGranter, kDesk, 2,
                         1'000'000,         seconds(1)};
  TimePoint now = kStart + milliseconds(50);
  holder.OnReply(reply, now);
  now += milliseconds(50);
  CHECK(holder.TryAcquire(kGranter, kDesk, 100, now));
  CHECK(holder.TryAcquire(kGranter, kDesk, 100, now));
  CHECK_FALSE(holder.TryAcquire(kGranter, kDesk, 100, now));
  holder.Release(kGranter, kDesk);
  CHECK(holder.FreeSlots(kGranter, kDesk, kStart + milliseconds(999)) == 1);
  CHECK(holder.FreeSlots(kGranter, kDesk, kStart + seconds(1)) == 0);
  CHECK_FALSE(holder.TryAcquire(kGranter, kDesk, 100, kStart + seconds(1)));
}

TEST_CASE("a reply to an earlier incarnation of the host is ignored") {
  CapacityGrantHolder holder = MakeHolder(Incarnation(2));
  holder.RecordDemand(kGranter, kDesk, 100, kStart);
  const auto due = holder.DueRequests(kStart);
  REQUIRE(due.size() == 1);
  holder.OnReply({due[0].request.id, Incarnation(1), kGranter, kDesk, 5,
                  1'000'000, seconds(1)},
                 kStart);
  CHECK(holder.FreeSlots(kGranter, kDesk, kStart) == 0);
}

TEST_CASE("bytes sent stay within the granted rate, its burst and one body") {
  CapacityGrantHolder holder = MakeHolder();
  holder.RecordDemand(kGranter, kDesk, 100, kStart);
  TimePoint now = kStart;
  uint64_t sent = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    now += milliseconds(10);
    for (const auto& outgoing : holder.DueRequests(now)) {
      holder.OnReply({outgoing.request.id, Incarnation(1), kGranter, kDesk, 4,
                      1'000'000, seconds(1)},
                     now);
    }
    if (holder.TryAcquire(kGranter, kDesk, 300'000, now)) {
      holder.Release(kGranter, kDesk);
      sent += 300'000;
    }
  }
  CHECK(sent <= 10'000'000 + 1'000'000 + 300'000);
  CHECK(sent >= 9'000'000);
}

}  // namespace
}  // namespace applestand
