#ifndef LIB_SETTINGS_HOST_SETTINGS_H_
#define LIB_SETTINGS_HOST_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Settings of one entry host, read from its settings file and shared by all
/// its processes. Addresses are "IP:port".
struct HostSettings {
  HostId host;
  RegionId region;
  ZoneId zone;

  /// Address of the platform's table service, object store and host list.
  std::string platform_address;
  /// Region in which the platform's table service runs.
  RegionId platform_region;
  /// Maximum number of entry hosts that run in `platform_region` at one time,
  /// including hosts that are being replaced. Determines the quorum sizes of
  /// Freshness.
  uint32_t platform_region_hosts = 0;
  Duration platform_timeout{};

  std::string lookup_listen;
  /// Time in seconds for which callers may cache a lookup response.
  int64_t lookup_ttl_s = 0;

  std::string entry_listen;
  std::string entry_rpc;
  size_t max_body_bytes = 0;
  size_t max_bytes_in_flight = 0;
  Duration stop_timeout{};
  /// Maximum number of bytes per second received from each other region.
  uint64_t link_bytes_per_second = 0;

  std::string control_rpc;
  std::string control_api;
  /// SHA-256, in hexadecimal, of the token that operators authenticate with.
  std::string operator_token_sha256;
  /// Control RPC addresses of hosts that this host contacts to join the fleet.
  std::vector<std::string> seeds;

  Duration seat_lease{};
  /// Maximum age of the evidence that this host's configuration is current.
  /// While it is older, requests to routes that require a key are refused.
  Duration freshness_limit{};

  /// Addresses on which each process serves Prometheus metrics; empty to
  /// disable.
  std::string lookup_metrics;
  std::string entry_metrics;
  std::string control_metrics;
  /// Address of the OTLP/HTTP trace collector; empty to disable tracing.
  std::string trace_collector;
  double trace_sample_ratio = 0;
};

/// Parses and validates the text of a settings file; `file` is used only in
/// error messages. Returns std::nullopt and fills `errors`, one line per error,
/// if any setting is invalid. Thread-safe.
[[nodiscard]] std::optional<HostSettings> ParseHostSettings(
    const std::string& file,
    const std::string& text,
    std::vector<std::string>& errors);

/// Reads `file` and parses it like ParseHostSettings. Thread-safe.
[[nodiscard]] std::optional<HostSettings> LoadHostSettings(
    const std::string& file,
    std::vector<std::string>& errors);

}  // namespace applestand

#endif  // LIB_SETTINGS_HOST_SETTINGS_H_
