#include "lib/freshness/freshness.h"

#include <doctest/doctest.h>

#include <string>

#include "lib/freshness/confirmations.h"

namespace applestand {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

struct Fixture {
  Freshness New() {
    Freshness::Options options;
    options.quorum = QuorumFor(3);
    return Freshness(options);
  }

  ManualClock clock;
  const ConfigVersion v1{1};
  const ConfigVersion v2{2};
};

}  // namespace

TEST_CASE("any confirming and any vouching hosts overlap") {
  for (uint32_t hosts = 1; hosts <= 50; ++hosts) {
    const QuorumSizes sizes = QuorumFor(hosts);
    CHECK(sizes.confirm + sizes.vouch == hosts + 1);
    CHECK(sizes.confirm <= sizes.vouch);
  }
}

TEST_CASE_FIXTURE(Fixture, "a host cut off refuses after the limit") {
  Freshness host = New();
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  host.OnHeadRead(clock.Now(), v1);
  clock.Advance(5 * kSecond);
  CHECK(host.MayServe(clock.Now(), v1));
  CHECK_FALSE(host.MayServe(clock.Now(), ConfigVersion(0)));
  CHECK(host.IsBehind(ConfigVersion(0)));
  clock.Advance(Duration(1));
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
}

TEST_CASE_FIXTURE(Fixture, "a chain of peers counts each round trip as age") {
  Freshness reader = New();
  reader.OnHeadRead(clock.Now(), v1);
  clock.Advance(kSecond);
  const TimePoint asked = clock.Now();
  const auto evidence = reader.Evidence(clock.Now());
  REQUIRE(evidence.has_value());
  CHECK(evidence->age == kSecond);
  Freshness peer = New();
  clock.Advance(2 * kSecond);
  peer.OnPeerEvidence(asked, *evidence);
  CHECK(peer.Evidence(clock.Now())->age == 3 * kSecond);
  peer.OnPeerEvidence(clock.Now(), {v2, -10 * kSecond});
  CHECK(peer.Evidence(clock.Now())->version == v1);
}

TEST_CASE_FIXTURE(Fixture, "enough vouches carry keyed routes over an outage") {
  Freshness host = New();
  host.OnHeadRead(clock.Now(), v1);
  clock.Advance(20 * kSecond);
  host.OnVouch(clock.Now(), HostId("a"), {v1});
  host.OnVouch(clock.Now(), HostId("a"), {v1});
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  host.OnVouch(clock.Now(), HostId("b"), {v2});
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  CHECK(host.MayServe(clock.Now(), v2));
  Freshness other = New();
  other.OnVouch(clock.Now(), HostId("a"), {v2});
  other.OnVouch(clock.Now(), HostId("b"), {v1});
  CHECK_FALSE(other.MayServe(clock.Now(), v1));
  clock.Advance(4 * kSecond);
  host.OnVouch(clock.Now(), HostId("a"), {v2});
  clock.Advance(2 * kSecond);
  CHECK_FALSE(host.MayServe(clock.Now(), v2));
}

TEST_CASE_FIXTURE(Fixture, "only who read the head, and now fails, vouches") {
  Freshness host = New();
  host.OnHeadReadFailed();
  CHECK_FALSE(host.MakeVouch(v1).has_value());
  host.OnHeadRead(clock.Now(), v1);
  CHECK_FALSE(host.MakeVouch(v1).has_value());
  host.OnHeadReadFailed();
  CHECK(host.MakeVouch(v1).has_value());
  host.OnPeerEvidence(clock.Now(), {v2, kSecond});
  CHECK_FALSE(host.MakeVouch(v1).has_value());
}

TEST_CASE("a change is accepted when enough hosts near the store hold it") {
  Confirmations confirmations(QuorumFor(4));
  const ConfigVersion version(7);
  confirmations.OnApplied(HostId("far"), false, version);
  confirmations.OnApplied(HostId("a"), true, version);
  confirmations.OnApplied(HostId("b"), true, ConfigVersion(6));
  CHECK_FALSE(confirmations.IsAccepted(version));
  CHECK(confirmations.ConfirmedBy(version).size() == 2);
  confirmations.OnApplied(HostId("b"), true, ConfigVersion(8));
  CHECK(confirmations.IsAccepted(version));
  confirmations.Forget(HostId("a"));
  CHECK_FALSE(confirmations.IsAccepted(version));
}

}  // namespace applestand
