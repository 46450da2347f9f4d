#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/lookup/lookup_map.h"

namespace applestand {

namespace {

uint32_t Address(const char* text) {
  Reason reason;
  return *ParseIpv4(text, reason);
}

ConfigState SampleState() {
  ConfigState state;
  const auto add = [&](const char* network,
                       const std::vector<const char*>& regions) {
    ClientBlock& block = state.blocks[network];
    block.network = network;
    for (const char* region : regions) {
      block.regions.emplace_back(region);
    }
  };
  add("10.0.0.0/8", {"norte", "centro"});
  add("10.1.0.0/16", {"sul"});
  add("10.1.2.0/24", {"centro", "sul", "norte"});
  add("255.255.255.255/32", {"sul"});
  for (int i = 0; i < 40; ++i) {
    const KeyId key("k" + std::to_string(i));
    state.keys[key] = {key, ClientAccountId("a" + std::to_string(i / 2)), ""};
  }
  return state;
}

std::vector<EntryHost> SampleHosts(const std::set<std::string>& excluded = {}) {
  std::vector<EntryHost> hosts;
  for (const char* region : {"norte", "centro", "sul"}) {
    for (int i = 0; i < 4; ++i) {
      const std::string id = std::string(region) + std::to_string(i);
      if (excluded.count(id) == 0) {
        hosts.push_back({HostId(id), RegionId(region), "10.9.0.1:80"});
      }
    }
  }
  return hosts;
}

struct Fixture {
  LookupMap MakeMap(const std::vector<EntryHost>& hosts) const {
    return {LookupMap::Options(), blocks, keys, hosts};
  }
  // Returns the region of each host in the result, in order.
  static std::vector<std::string> RegionsOf(const LookupResult& result) {
    std::vector<std::string> regions;
    for (const EntryHost& host : result.hosts) {
      regions.push_back(host.region.value());
    }
    return regions;
  }

  ConfigState state = SampleState();
  std::shared_ptr<const BlockTable> blocks =
      std::make_shared<BlockTable>(state.blocks);
  std::shared_ptr<const LookupMap::KeyAccounts> keys =
      std::make_shared<LookupMap::KeyAccounts>(
          LookupMap::MakeKeyAccounts(state));
};

using Regions = std::vector<std::string>;

}  // namespace

TEST_CASE_FIXTURE(Fixture, "hosts of the nearest region come first") {
  const LookupMap map = MakeMap(SampleHosts());
  CHECK(RegionsOf(map.Find(Address("10.1.2.3"), {})) ==
        Regions{"centro", "centro", "sul", "norte"});
  CHECK(RegionsOf(map.Find(Address("10.2.0.0"), {})) ==
        Regions{"norte", "norte", "centro", "sul"});
  CHECK(RegionsOf(map.Find(Address("10.1.3.0"), {})).front() == "sul");
  CHECK(RegionsOf(map.Find(Address("255.255.255.255"), {})).front() == "sul");
  CHECK(map.Find(Address("10.1.3.0"), {}).ttl == std::chrono::seconds(10));
}

TEST_CASE_FIXTURE(Fixture,
                  "callers outside all client blocks still get hosts") {
  const LookupMap map = MakeMap(SampleHosts());
  CHECK(map.Find(Address("8.8.8.8"), {}).hosts.size() == 4);
  CHECK(map.Find(Address("0.0.0.0"), {}).hosts.size() == 4);
  CHECK(MakeMap({}).Find(Address("10.1.2.3"), {}).hosts.empty());
}

TEST_CASE_FIXTURE(Fixture, "a region without live hosts is skipped") {
  const LookupMap map = MakeMap(
      SampleHosts({"centro0", "centro1", "centro2", "centro3", "sul1"}));
  const LookupResult result = map.Find(Address("10.1.2.3"), {});
  CHECK(RegionsOf(result) == Regions{"sul", "sul", "norte"});
  for (const EntryHost& host : result.hosts) {
    CHECK(host.host != HostId("sul1"));
  }
}

TEST_CASE_FIXTURE(Fixture, "all callers of an account get the same two hosts") {
  const LookupMap map = MakeMap(SampleHosts());
  std::set<HostId> hosts;
  for (int account = 0; account < 20; ++account) {
    std::set<HostId> account_hosts;
    for (int i = 0; i < 100; ++i) {
      const KeyId key("k" + std::to_string(2 * account + i % 2));
      const auto result = map.Find(Address("10.2.0.0") + i, key);
      account_hosts.insert(result.hosts[0].host);
      account_hosts.insert(result.hosts[1].host);
    }
    CHECK(account_hosts.size() == 2);
    hosts.insert(account_hosts.begin(), account_hosts.end());
  }
  CHECK(hosts.size() == 4);
}

TEST_CASE_FIXTURE(
    Fixture,
    "callers without a known key are distributed over all hosts") {
  const LookupMap map = MakeMap(SampleHosts());
  std::map<HostId, int> first_host_counts;
  for (int i = 0; i < 4000; ++i) {
    ++first_host_counts
        [map.Find(Address("10.2.0.0") + i, KeyId("none")).hosts[0].host];
  }
  REQUIRE(first_host_counts.size() == 4);
  for (const auto& [host, count] : first_host_counts) {
    CHECK(count > 800);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "removing a host moves only the callers of that host") {
  const LookupMap before = MakeMap(SampleHosts());
  const LookupMap after = MakeMap(SampleHosts({"norte2"}));
  for (int i = 0; i < 1000; ++i) {
    const uint32_t client = Address("10.2.0.0") + i;
    const HostId host_before = before.Find(client, {}).hosts[0].host;
    const HostId host_after = after.Find(client, {}).hosts[0].host;
    CHECK((host_before == host_after || host_before == HostId("norte2")));
  }
}

}  // namespace applestand
