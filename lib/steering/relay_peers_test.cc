#include "lib/steering/relay_peers.h"

#include <doctest/doctest.h>

#include <map>

namespace applestand {

namespace {

using std::chrono::milliseconds;

const RegionId kOwn("norte");
const RegionId kOther("sul");
const std::vector<RelayPeer> kPeers = {{HostId("n1"), kOwn},
                                       {HostId("n2"), kOwn},
                                       {HostId("s1"), kOther}};
constexpr TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("requests are spread over the hosts of the own region") {
  RelayPeers peers(kOwn);
  std::map<HostId, int> chosen;
  for (int i = 0; i < 100; ++i) {
    ++chosen[*peers.Choose(kPeers, std::nullopt, {}, kNow)];
  }
  CHECK(chosen.size() == 2);
  CHECK(chosen[HostId("n1")] == 50);
}

TEST_CASE("hosts that failed are avoided for a moment") {
  RelayPeers peers(kOwn);
  peers.OnFailed(HostId("n1"), kNow);
  CHECK(peers.Choose(kPeers, std::nullopt, {}, kNow) == HostId("n2"));
  peers.OnFailed(HostId("n2"), kNow);
  CHECK(peers.Choose(kPeers, std::nullopt, {}, kNow) == HostId("s1"));
  CHECK(!peers.Choose(kPeers, std::nullopt, {HostId("s1")}, kNow));
  CHECK(peers.Choose(kPeers, std::nullopt, {}, kNow + milliseconds(1100)) !=
        HostId("s1"));
}

// Guards against passing a request with home regions to a host elsewhere.
TEST_CASE("a request is passed only to hosts of its home regions") {
  RelayPeers peers(kOwn);
  CHECK(peers.Choose(kPeers, std::vector<RegionId>{kOther}, {}, kNow) ==
        HostId("s1"));
  peers.OnFailed(HostId("n1"), kNow);
  peers.OnFailed(HostId("n2"), kNow);
  CHECK(!peers.Choose(kPeers, std::vector<RegionId>{kOwn}, {}, kNow));
  CHECK(!peers.Choose(kPeers, std::vector<RegionId>{}, {}, kNow));
}

}  // namespace applestand
