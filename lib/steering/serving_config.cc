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

std::optional<std::vector<RegionId>> HomesOf(const ServingRoute& route,
                                             const ServingAccount* account) {
  const std::vector<RegionId>& of_route = route.home_regions;
  if (account == nullptr || account->home_regions.empty()) {
    if (of_route.empty()) {
      return std::nullopt;
    }
    return of_route;
  }
  if (of_route.empty()) {
    return account->home_regions;
  }
  std::vector<RegionId> both;
  for (const RegionId& region : of_route) {
    const auto& homes = account->home_regions;
    if (std::find(homes.begin(), homes.end(), region) != homes.end()) {
      both.push_back(region);
    }
  }
  return both;
}

}  // namespace applestand
