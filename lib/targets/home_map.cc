#include "lib/targets/home_map.h"

#include <xxhash.h>

#include <algorithm>

namespace applestand {

namespace {

const std::vector<ServiceHome> kNoHomes;

uint64_t HashOf(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct Contender {
  HostId id;
  uint64_t seed = 0;
};

const Contender* HighestFor(const std::vector<Contender>& contenders,
                            const TargetId& target) {
  const Contender* best = nullptr;
  uint64_t best_score = 0;
  for (const Contender& contender : contenders) {
    const uint64_t score = HashOf(target.value(), contender.seed);
    const bool wins = best == nullptr || score > best_score ||
                      (score == best_score && contender.id < best->id);
    if (!wins) {
      continue;
    }
    best = &contender;
    best_score = score;
  }
  return best;
}

void AddTo(std::vector<ServiceHome>& homes,
           const HostId& host,
           uint32_t slots) {
  const auto at = std::lower_bound(
      homes.begin(), homes.end(), host,
      [](const ServiceHome& home, const HostId& id) { return home.host < id; });
  if (at != homes.end() && at->host == host) {
    ++at->targets;
    at->slots += slots;
    return;
  }
  homes.insert(at, ServiceHome{host, 1, slots});
}

}  // namespace

HomeMap::HomeMap(const std::map<TargetId, Target>& targets,
                 const std::vector<LiveHost>& hosts) {
  std::map<RegionId, std::vector<Contender>> contenders;
  for (const LiveHost& host : hosts) {
    contenders[host.region].push_back({host.id, HashOf(host.id.value(), 0)});
  }
  for (const auto& [id, target] : targets) {
    const Contender* home = HighestFor(contenders[target.region], id);
    if (home == nullptr) {
      continue;
    }
    m_homes[id] = home->id;
    m_targets[home->id].push_back(target);
    if (!target.leaving) {
      AddTo(m_services[target.service][target.region], home->id, target.slots);
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

const std::vector<ServiceHome>& HomeMap::HomesOf(const ServiceId& service,
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
