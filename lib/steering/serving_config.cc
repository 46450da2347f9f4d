#include "lib/steering/serving_config.h"

#include <algorithm>
#include <string_view>

namespace applestand {

const ServingRoute* FindRoute(const ServingConfig& config,
                              const std::string& host,
                              std::string_view path) {
  const auto it = config.routes.find(host);
  if (it == config.routes.end()) {
    return nullptr;
  }
  const ServingRoute* best = nullptr;
  for (const ServingRoute& route : it->second) {
    const bool matches =
        path.substr(0, route.path_prefix.size()) == route.path_prefix;
    if (matches && (best == nullptr ||
                    route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

std::optional<std::vector<RegionId>> EffectiveHomeRegions(
    const ServingRoute& route,
    const ServingAccount* account) {
  const std::vector<RegionId>& route_regions = route.home_regions;
  if (account == nullptr || account->home_regions.empty()) {
    if (route_regions.empty()) {
      return std::nullopt;
    }
    return route_regions;
  }
  if (route_regions.empty()) {
    return account->home_regions;
  }
  std::vector<RegionId> both;
  for (const RegionId& region : route_regions) {
    const auto& account_regions = account->home_regions;
    if (std::find(account_regions.begin(), account_regions.end(), region) !=
        account_regions.end()) {
      both.push_back(region);
    }
  }
  return both;
}

}  // namespace applestand
