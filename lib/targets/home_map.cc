#include "lib/targets/home_map.h"

#include <xxhash.h>

#include <algorithm>

namespace applestand {

namespace {

const std::vector<ServiceHome> kNoHomes;

uint64_t HashOf(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct Candidate {
  HostId id;
  uint64_t seed = 0;
};

const Candidate* SelectHomeHost(const std::vector<Candidate>& candidates,
                                const TargetId& target) {
  const Candidate* best = nullptr;
  uint64_t best_score = 0;
  for (const Candidate& candidate : candidates) {
    const uint64_t score = HashOf(target.value(), candidate.seed);
    const bool wins = best == nullptr || score > best_score ||
                      (score == best_score && candidate.id < best->id);
    if (!wins) {
      continue;
    }
    best = &candidate;
    best_score = score;
  }
  return best;
}

void AddServiceHome(std::vector<ServiceHome>& homes,
                    const HostId& host,
                    uint32_t slots) {
  const auto it = std::lower_bound(
      homes.begin(), homes.end(), host,
      [](const ServiceHome& home, const HostId& id) { return home.host < id; });
  if (it != homes.end() && it->host == host) {
    ++it->targets;
    it->slots += slots;
    return;
  }
  homes.insert(it, ServiceHome{host, 1, slots});
}

}  // namespace

HomeMap::HomeMap(const std::map<TargetId, Target>& targets,
                 const std::vector<LiveHost>& hosts) {
  std::map<RegionId, std::vector<Candidate>> candidates;
  for (const LiveHost& host : hosts) {
    candidates[host.region].push_back({host.id, HashOf(host.id.value(), 0)});
  }
  for (const auto& [id, target] : targets) {
    const Candidate* home = SelectHomeHost(candidates[target.region], id);
    if (home == nullptr) {
      continue;
    }
    m_homes[id] = home->id;
    m_targets[home->id].push_back(target);
    if (!target.leaving) {
      AddServiceHome(m_services[target.service][target.region], home->id,
                     target.slots);
    }
  }
}

HostId HomeMap::HomeOf(const TargetId& target) const {
  const auto found = m_homes.find(target);
  return found == m_homes.end() ? HostId() : found->second;
}

std::vector<Target> HomeMap::TargetsOf(const HostId& host) const {
  const auto found = m_targets.find(host);
  return found == m_targets.end() ? std::vector<Target>() : found->second;
}

const std::vector<ServiceHome>& HomeMap::HomeHostsOf(
    const ServiceId& service,
    const RegionId& region) const {
  const auto regions = m_services.find(service);
  if (regions == m_services.end()) {
    return kNoHomes;
  }
  const auto homes = regions->second.find(region);
  return homes == regions->second.end() ? kNoHomes : homes->second;
}

std::vector<RegionId> HomeMap::RegionsOf(const ServiceId& service) const {
  std::vector<RegionId> regions;
  if (const auto found = m_services.find(service); found != m_services.end()) {
    for (const auto& [region, homes] : found->second) {
      regions.push_back(region);
    }
  }
  return regions;
}

}  // namespace applestand
