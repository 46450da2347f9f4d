#include "lib/lookup/lookup_map.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace applestand {

namespace {

// Index of a region that has no live host.
constexpr uint32_t kNoRegion = UINT32_MAX;

uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Combines two hashes. Rendezvous hashing ranks the candidates for a caller by
// the result.
uint64_t CombineHashes(uint64_t a, uint64_t b) {
  const uint64_t pair[] = {a, b};
  return XXH3_64bits(pair, sizeof(pair));
}

}  // namespace

LookupMap::KeyAccounts LookupMap::MakeKeyAccounts(const ConfigState& state) {
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
  std::unordered_map<RegionId, uint32_t> index;
  for (const EntryHost& host : hosts) {
    const auto [it, is_new] =
        index.try_emplace(host.region, static_cast<uint32_t>(m_regions.size()));
    if (is_new) {
      m_regions.push_back({Hash(host.region.value()), {}});
    }
    m_regions[it->second].hosts.push_back({host, Hash(host.host.value())});
  }
  m_region_indices.reserve(m_blocks->regions().size());
  for (const RegionId& region : m_blocks->regions()) {
    const auto it = index.find(region);
    m_region_indices.push_back(it == index.end() ? kNoRegion : it->second);
  }
}

LookupResult LookupMap::Find(uint32_t client,
                             const std::optional<KeyId>& key) const {
  uint64_t caller_hash = CombineHashes(client, 0);
  if (key) {
    if (const auto it = m_keys->find(*key); it != m_keys->end()) {
      caller_hash = Hash(it->second.value());
    }
  }
  LookupResult result;
  result.ttl = m_options.ttl;
  std::vector<uint32_t> used;
  const size_t max_regions = 1 + m_options.other_region_hosts;
  const auto add_region = [&](uint32_t region) {
    if (used.size() == max_regions ||
        std::find(used.begin(), used.end(), region) != used.end()) {
      return;
    }
    const size_t count = used.empty() ? m_options.nearest_region_hosts : 1;
    AddHosts(m_regions[region], caller_hash, count, result.hosts);
    used.push_back(region);
  };
  const BlockTable::RegionList list = m_blocks->Find(client);
  for (size_t i = 0; i < list.count; ++i) {
    if (const uint32_t region = m_region_indices[list.first[i]];
        region != kNoRegion) {
      add_region(region);
    }
  }
  AddOtherRegions(client, max_regions, add_region, used);
  return result;
}

template <class AddRegion>
void LookupMap::AddOtherRegions(uint32_t client,
                                size_t max_regions,
                                const AddRegion& add_region,
                                const std::vector<uint32_t>& used) const {
  const size_t region_count = std::min(max_regions, m_regions.size());
  // The first region depends on the caller's address, so that one region does
  // not receive all callers whose block names too few regions.
  const size_t start =
      CombineHashes(client, 1) % std::max<size_t>(m_regions.size(), 1);
  for (size_t i = 0; used.size() < region_count; ++i) {
    add_region(static_cast<uint32_t>((start + i) % m_regions.size()));
  }
}

void LookupMap::AddHosts(const Region& region,
                         uint64_t caller_hash,
                         size_t count,
                         std::vector<EntryHost>& out) const {
  std::vector<std::pair<uint64_t, const Candidate*>> ranked;
  ranked.reserve(region.hosts.size());
  for (const Candidate& candidate : region.hosts) {
    ranked.emplace_back(CombineHashes(candidate.hash, caller_hash), &candidate);
  }
  const auto ranks_higher = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->host.host < b.second->host.host;
  };
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(count),
                    ranked.end(), ranks_higher);
  for (size_t i = 0; i < count; ++i) {
    out.push_back(ranked[i].second->host);
  }
}

}  // namespace applestand
