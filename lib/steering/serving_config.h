#ifndef LIB_STEERING_SERVING_CONFIG_H_
#define LIB_STEERING_SERVING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// A service that a route sends requests to, and its part of them.
struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct ServingRoute {
  RouteId id;
  /// Begins and ends with a slash; the longest one of a host name wins.
  std::string path_prefix;
  /// Requests may run more than once without harm.
  bool repeatable = false;
  /// Longest time that a caller is kept waiting.
  Duration timeout = std::chrono::seconds(10);
  /// Time within which an answer is worth most.
  Duration goal = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedService> services;
  /// Most targets that one request may be sent to.
  uint32_t attempts = 1;
  /// Served to anyone, without a key.
  bool open = false;
  /// Targets are faster at objects that they lately handled.
  bool sticky = false;
  /// The only regions in which its requests may run; empty: all.
  std::vector<RegionId> home_regions;
};

struct ServingService {
  ServiceId id;
  /// Connections that one target accepts from all hosts together.
  uint32_t max_connections = 0;
  /// Time for which a target that begins is cold.
  Duration cold_time{};
  /// Requests a second that a cold target bears, from all hosts together.
  double cold_rate = 0;
};

struct ServingAccount {
  ClientAccountId id;
  /// Goes before the route's where present.
  std::optional<int> priority;
  /// Requests a second over all hosts; 0: no limit.
  double rate = 0;
  /// Requests that may come at once after a pause.
  double burst = 0;
  std::vector<RegionId> home_regions;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  size_t max_head_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{8} << 20;
  Duration head_time = std::chrono::seconds(5);
  Duration idle_time = std::chrono::seconds(60);
};

/// Everything that operators decide about serving, at one version.
struct ServingConfig {
  ConfigVersion version;
  /// By host name.
  std::map<std::string, std::vector<ServingRoute>> routes;
  std::map<ServiceId, ServingService> services;
  std::map<ClientAccountId, ServingAccount> accounts;
  /// Account of each valid key.
  std::map<std::string, ClientAccountId> keys;
  CallerLimits limits;
};

/// The route for a request; null where there is none. The result lives as long
/// as `config`. Thread-safe.
const ServingRoute* FindRoute(const ServingConfig& config,
                              const std::string& host,
                              std::string_view path);

/// The regions in which a request may run: both lists bind, an empty one does
/// not. Nothing: any region. An empty list: none. Thread-safe.
std::optional<std::vector<RegionId>> HomesOf(const ServingRoute& route,
                                             const ServingAccount* account);

}  // namespace applestand

#endif  // LIB_STEERING_SERVING_CONFIG_H_
