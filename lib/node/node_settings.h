#ifndef LIB_NODE_NODE_SETTINGS_H_
#define LIB_NODE_NODE_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Bounds that the operators' platform sets; see docs/OPERATIONS.md.
struct NodeBounds {
  /// Maximum time for which a withdrawn key still works.
  Duration key_withdrawal = std::chrono::seconds(5);
  /// Bound on the retries of a service in a time window, over all hosts:
  /// `retry_ratio` x its requests + `retry_slack`.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  /// Bound on the requests of an account in any `limit_window`, over all hosts:
  /// (rate x window + burst) x (1 + excess) + slack.
  Duration limit_window = std::chrono::seconds(5);
  double limit_excess = 0.1;
  double limit_slack = 20;
  /// A cold target gets at most ServingService::cold_rate x cold_excess +
  /// cold_slack requests in any second, over all hosts.
  double cold_excess = 1.5;
  double cold_slack = 5;
  /// Time from SIGTERM to SIGKILL.
  Duration stop_grace = std::chrono::seconds(6);
  /// Time after which targets whose rows expired while the store was
  /// unreachable have registered again.
  Duration target_reregistration_time = std::chrono::seconds(2);
  /// Maximum time for which callers may cache the response to a lookup.
  Duration max_lookup_ttl = std::chrono::seconds(5);
};

/// Settings of applestand-node, the program that runs on every host.
struct NodeSettings {
  HostId host;
  ZoneId zone;
  RegionId region;
  /// The region of each availability zone.
  std::map<ZoneId, RegionId> zones;
  /// CPU share of this host, in cores.
  double cpu_cores = 1;
  size_t memory_bytes = 0;

  /// Addresses to listen on, each as "IP:port".
  std::string callers_address;
  std::string ready_address;
  std::string fleet_address;
  /// Address at which other hosts reach `fleet_address`; empty if it is the
  /// same.
  std::string advertised_fleet_address;
  std::string lookup_address;
  /// If empty, metrics are not served.
  std::string metrics_address;

  /// Fleet addresses of hosts to poll before any other host is known.
  std::vector<std::string> seeds;
  std::string store_address;
  /// Rows of targets and hosts with longer values are not readable.
  size_t max_row_bytes = 0;
  NodeBounds bounds;
};

/// Reads settings from a TOML file. Returns std::nullopt if the file cannot be
/// opened or holds an error. Appends each error to `errors`, for settings with
/// file, line and key, and with the values that are allowed.
[[nodiscard]] std::optional<NodeSettings> LoadNodeSettings(
    const std::string& file,
    std::vector<std::string>& errors);

}  // namespace applestand

#endif  // LIB_NODE_NODE_SETTINGS_H_
