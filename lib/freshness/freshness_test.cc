#include "lib/freshness/freshness.h"

#include <doctest/doctest.h>

#include <string>

#include "lib/freshness/confirmation_tracker.h"

namespace applestand {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

struct Fixture {
  Freshness MakeFreshness() {
    Freshness::Options options;
    options.quorum = ComputeQuorumSizes(3);
    return Freshness(options);
  }

  ManualClock clock;
  const ConfigVersion v1{1};
  const ConfigVersion v2{2};
};

}  // namespace

TEST_CASE("each confirming quorum overlaps each attesting quorum") {
  for (uint32_t hosts = 1; hosts <= 50; ++hosts) {
    const QuorumSizes sizes = ComputeQuorumSizes(hosts);
    CHECK(sizes.confirm + sizes.attest == hosts + 1);
    CHECK(sizes.confirm <= sizes.attest);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "a host that cannot reach the store refuses after the "
                  "maximum evidence age") {
  Freshness host = MakeFreshness();
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  host.OnHeadRead(clock.Now(), v1);
  clock.Advance(5 * kSecond);
  CHECK(host.MayServe(clock.Now(), v1));
  CHECK_FALSE(host.MayServe(clock.Now(), ConfigVersion(0)));
  CHECK(host.IsBehind(ConfigVersion(0)));
  clock.Advance(Duration(1));
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
}

TEST_CASE_FIXTURE(Fixture,
                  "evidence relayed by peers ages by each round trip") {
  Freshness reader = MakeFreshness();
  reader.OnHeadRead(clock.Now(), v1);
  clock.Advance(kSecond);
  const TimePoint requested_at = clock.Now();
  const auto evidence = reader.Evidence(clock.Now());
  REQUIRE(evidence.has_value());
  CHECK(evidence->age == kSecond);
  Freshness peer = MakeFreshness();
  clock.Advance(2 * kSecond);
  peer.OnPeerEvidence(requested_at, *evidence);
  CHECK(peer.Evidence(clock.Now())->age == 3 * kSecond);
  peer.OnPeerEvidence(clock.Now(), {v2, -10 * kSecond});
  CHECK(peer.Evidence(clock.Now())->version == v1);
}

TEST_CASE_FIXTURE(
    Fixture,
    "a quorum of attestations keeps keyed routes served in an outage") {
  Freshness host = MakeFreshness();
  host.OnHeadRead(clock.Now(), v1);
  clock.Advance(20 * kSecond);
  host.OnAttestation(clock.Now(), HostId("a"), {v1});
  host.OnAttestation(clock.Now(), HostId("a"), {v1});
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  host.OnAttestation(clock.Now(), HostId("b"), {v2});
  CHECK_FALSE(host.MayServe(clock.Now(), v1));
  CHECK(host.MayServe(clock.Now(), v2));
  Freshness other = MakeFreshness();
  other.OnAttestation(clock.Now(), HostId("a"), {v2});
  other.OnAttestation(clock.Now(), HostId("b"), {v1});
  CHECK_FALSE(other.MayServe(clock.Now(), v1));
  clock.Advance(4 * kSecond);
  host.OnAttestation(clock.Now(), HostId("a"), {v2});
  clock.Advance(2 * kSecond);
  CHECK_FALSE(host.MayServe(clock.Now(), v2));
}

TEST_CASE_FIXTURE(
    Fixture,
    "a host attests only after reading the head and then failing to") {
  Freshness host = MakeFreshness();
  host.OnHeadReadFailed();
  CHECK_FALSE(host.MakeAttestation(v1).has_value());
  host.OnHeadRead(clock.Now(), v1);
  CHECK_FALSE(host.MakeAttestation(v1).has_value());
  host.OnHeadReadFailed();
  CHECK(host.MakeAttestation(v1).has_value());
  host.OnPeerEvidence(clock.Now(), {v2, kSecond});
  CHECK_FALSE(host.MakeAttestation(v1).has_value());
}

TEST_CASE("a change is accepted when a quorum of the store's region holds it") {
  ConfirmationTracker tracker(ComputeQuorumSizes(4));
  const ConfigVersion version(7);
  tracker.OnApplied(HostId("far"), false, version);
  tracker.OnApplied(HostId("a"), true, version);
  tracker.OnApplied(HostId("b"), true, ConfigVersion(6));
  CHECK_FALSE(tracker.IsAccepted(version));
  CHECK(tracker.ConfirmedBy(version).size() == 2);
  tracker.OnApplied(HostId("b"), true, ConfigVersion(8));
  CHECK(tracker.IsAccepted(version));
  tracker.Forget(HostId("a"));
  CHECK_FALSE(tracker.IsAccepted(version));
}

}  // namespace applestand
