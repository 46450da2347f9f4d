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

/// A service that a route sends requests to. It gets the fraction of them that
/// its weight has in the sum of the weights of the route.
struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct ServingRoute {
  RouteId id;
  /// Starts and ends with a slash. Of the prefixes that match a path, the
  /// longest takes precedence.
  std::string path_prefix;
  /// Requests are idempotent: a target may process them more than once without
  /// harm.
  bool repeatable = false;
  /// Maximum time until a caller gets a response.
  Duration timeout = std::chrono::seconds(10);
  /// Latency objective: a response within this time has its full value to the
  /// caller, a later one less.
  Duration latency_objective = std::chrono::seconds(1);
  /// 0 is the highest priority.
  int priority = 0;
  std::vector<WeightedService> services;
  /// Maximum number of targets that one request may be sent to.
  uint32_t attempts = 1;
  /// Requests are served without a key.
  bool open = false;
  /// Requests that refer to the same object, their affinity key, are sent to
  /// the same targets. Targets respond faster for objects that they handled
  /// recently.
  bool sticky = false;
  /// The only regions in which requests may be processed (data residency); all
  /// regions if empty.
  std::vector<RegionId> home_regions;
};

struct ServingService {
  ServiceId id;
  /// Path at which targets respond to checks of whether they are healthy; empty
  /// if there is none.
  std::string health_path;
  /// Maximum number of connections that one target accepts, over all hosts.
  uint32_t max_connections = 0;
  /// Time for which a target is cold after it has started; the rate of requests
  /// to it is limited during that time (slow start).
  Duration cold_time{};
  /// Requests per second that a cold target can handle, over all hosts.
  double cold_rate = 0;
};

struct ServingAccount {
  ClientAccountId id;
  /// Takes precedence over the priority of the route if set.
  std::optional<int> priority;
  /// Requests per second over all hosts; 0 means no limit.
  double rate = 0;
  /// Requests that may arrive at once after an idle period.
  double burst = 0;
  /// The only regions in which requests may be processed; all regions if empty.
  std::vector<RegionId> home_regions;
};

/// Limits on the size of a caller's request and on the time to receive it.
struct CallerLimits {
  size_t max_head_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{8} << 20;
  /// Maximum time for a caller to send the head of a request.
  Duration head_timeout = std::chrono::seconds(5);
  /// Callers may reuse a connection that has been idle for up to this time.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// One version of all configuration that operators set for serving requests.
struct ServingConfig {
  ConfigVersion version;
  /// Routes by host name (of the Host header).
  std::map<std::string, std::vector<ServingRoute>> routes;
  std::map<ServiceId, ServingService> services;
  std::map<ClientAccountId, ServingAccount> accounts;
  /// Whether requests on routes that are not open need a valid key. True even
  /// if all accounts have been removed, in which case no key is valid.
  bool requires_keys = true;
  /// Client account of each valid key.
  std::map<std::string, ClientAccountId> keys;
  CallerLimits limits;
};

/// Returns the route for a request, or null if none matches. The result points
/// into `config`. Thread-safe.
const ServingRoute* FindRoute(const ServingConfig& config,
                              const std::string& host,
                              std::string_view path);

/// Returns the regions in which a request may be processed: those that are home
/// regions of both the route and the account. An empty list of either one
/// imposes no restriction. Returns std::nullopt if any region is allowed, and
/// an empty list if none is. `account` may be null. Thread-safe.
std::optional<std::vector<RegionId>> EffectiveHomeRegions(
    const ServingRoute& route,
    const ServingAccount* account);

}  // namespace applestand

#endif  // LIB_STEERING_SERVING_CONFIG_H_
