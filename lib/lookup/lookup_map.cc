#include "lib/lookup/lookup_map.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace applestand {

namespace {

constexpr uint32_t kNoRegion = std::numeric_limits<uint32_t>::max();

uint64_t Hash(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t Combine(uint64_t a, uint64_t b) {
  const uint64_t both[] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

}  // namespace

LookupMap::KeyAccounts LookupMap::KeyAccountsOf(const ConfigState& state) {
  KeyAccounts accounts;
  accounts.reserve(state.keys.size());
  for (const auto& [id, key] : state.keys) {
    accounts.emplace(id, key.account);
  }
  return accounts;
}

LookupMap::LookupMap(Options options,
                     std::shared_ptr<const BlockTable> blocks,
                     std::shared_ptr<const KeyAccounts> keys,
                     const std::vector<EntryHost>& hosts)
    : m_options(options), m_blocks(std::move(blocks)), m_keys(std::move(keys)) {
  std::map<RegionId, uint32_t> indices;
  for (const EntryHost& host : hosts) {
    const auto [it, added] =
        indices.emplace(host.region, static_cast<uint32_t>(m_regions.size()));
    if (added) {
      m_regions.push_back({Hash(host.region.value()), {}});
    }
    m_regions[it->second].hosts.push_back({host, Hash(host.host.value())});
  }
  for (const RegionId& region : m_blocks->regions()) {
    const auto it = indices.find(region);
    m_region_of_index.push_back(it == indices.end() ? kNoRegion : it->second);
  }
}

LookupAnswer LookupMap::Find(uint32_t client,
                             const std::optional<KeyId>& key) const {
  uint64_t caller = Combine(client, 0);
  if (key) {
    const auto it = m_keys->find(*key);
    if (it != m_keys->end()) {
      caller = Hash(it->second.value());
    }
  }
  LookupAnswer answer;
  answer.life = m_options.life;
  std::vector<uint32_t> order;
  const BlockTable::RegionList list = m_blocks->Find(client);
  for (size_t n = 0; n < list.count; ++n) {
    const uint32_t region = m_region_of_index[list.first[n]];
    if (region != kNoRegion) {
      order.push_back(region);
    }
  }
  // Regions that the block does not name follow, spread over the callers.
  std::vector<std::pair<uint64_t, uint32_t>> rest;
  for (uint32_t n = 0; n < m_regions.size(); ++n) {
    if (std::find(order.begin(), order.end(), n) == order.end()) {
      rest.emplace_back(Combine(caller, m_regions[n].hash), n);
    }
  }
  std::sort(rest.begin(), rest.end());
  for (const auto& [hash, region] : rest) {
    order.push_back(region);
  }
  for (size_t n = 0; n < order.size() && n <= m_options.far_hosts; ++n) {
    const size_t count = n == 0 ? m_options.near_hosts : 1;
    AddHosts(m_regions[order[n]], caller, count, answer.hosts);
  }
  return answer;
}

void LookupMap::AddHosts(const Region& region,
                         uint64_t caller,
                         size_t count,
                         std::vector<EntryHost>& out) const {
  std::vector<std::pair<uint64_t, const Candidate*>> ranked;
  ranked.reserve(region.hosts.size());
  for (const Candidate& candidate : region.hosts) {
    ranked.emplace_back(Combine(caller, candidate.hash), &candidate);
  }
  const size_t taken = std::min(count, ranked.size());
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(taken);
  std::partial_sort(ranked.begin(), middle, ranked.end());
  for (auto it = ranked.begin(); it != middle; ++it) {
    out.push_back(it->second->host);
  }
}

}  // namespace applestand
