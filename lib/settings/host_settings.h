#ifndef LIB_SETTINGS_HOST_SETTINGS_H_
#define LIB_SETTINGS_HOST_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Everything the processes of one entry host learn from its settings file.
/// Addresses are "IP:port".
struct HostSettings {
  HostId host;
  RegionId region;
  ZoneId zone;

  /// The platform's table service, object store and host list.
  std::string platform_address;
  /// Region in which the platform's table service runs.
  RegionId platform_region;
  /// Most entry hosts that run in that region at one time.
  uint32_t platform_region_hosts = 0;
  Duration platform_timeout{};

  std::string lookup_listen;
  /// Seconds for which callers may keep a look-up's answer.
  int64_t lookup_ttl_s = 0;

  std::string entry_listen;
  std::string entry_rpc;
  size_t max_body_bytes = 0;
  size_t max_bytes_in_flight = 0;
  Duration stop_timeout{};
  /// Bytes per second that may come from each other region.
  uint64_t link_bytes_per_second = 0;

  std::string control_rpc;
  std::string control_api;
  /// SHA-256 of the token that operators show.
  std::string operator_token_sha256;
  /// Control addresses of some hosts to join through.
  std::vector<std::string> seeds;

  Duration seat_lease{};
  /// Age of the configuration past which keyed routes are refused.
  Duration freshness_limit{};

  /// Prometheus listeners, one a process; empty for none.
  std::string lookup_metrics;
  std::string entry_metrics;
  std::string control_metrics;
  /// OTLP/HTTP collector; empty for none.
  std::string trace_collector;
  double trace_sample_ratio = 0;
};

/// Parses and checks a settings file's text. Returns nothing and fills
/// `errors`, one line each, where anything is wrong.
[[nodiscard]] std::optional<HostSettings> ParseHostSettings(
    const std::string& file,
    const std::string& text,
    std::vector<std::string>& errors);

/// Reads and parses `file`.
[[nodiscard]] std::optional<HostSettings> LoadHostSettings(
    const std::string& file,
    std::vector<std::string>& errors);

}  // namespace applestand

#endif  // LIB_SETTINGS_HOST_SETTINGS_H_
