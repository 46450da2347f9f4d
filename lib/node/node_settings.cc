#include "lib/node/node_settings.h"

#include <fstream>
#include <sstream>

#include "lib/settings/reader.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr int64_t kKiB = int64_t{1} << 10;
constexpr int64_t kMiB = int64_t{1} << 20;
constexpr int64_t kMaxRowBytes = 1024 * kMiB;

std::optional<std::string> CheckZone(const std::string& value) {
  const size_t equals = value.find('=');
  if (equals == std::string::npos || CheckId(value.substr(0, equals)) ||
      CheckId(value.substr(equals + 1))) {
    return "\"zone=region\"";
  }
  return std::nullopt;
}

void ReadHost(SettingsReader& reader, NodeSettings& settings) {
  settings.host = HostId(reader.String("host.id", std::nullopt, CheckId));
  settings.zone = ZoneId(reader.String("host.zone", std::nullopt, CheckId));
  settings.region =
      RegionId(reader.String("host.region", std::nullopt, CheckId));
  settings.cpu_cores = reader.Number("host.cores", 1, 0.01, 1024);
  settings.memory_bytes = static_cast<size_t>(
      reader.Integer("host.memory_mb", 256, 16, 1 << 20) * kMiB);
  for (const std::string& pair : reader.Strings("host.zones", CheckZone)) {
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      settings.zones[ZoneId(pair.substr(0, equals))] =
          RegionId(pair.substr(equals + 1));
    }
  }
}

void ReadAddresses(SettingsReader& reader, NodeSettings& settings) {
  settings.callers_address =
      reader.String("listen.callers", std::nullopt, CheckAddress);
  settings.ready_address =
      reader.String("listen.ready", std::nullopt, CheckAddress);
  settings.fleet_address =
      reader.String("listen.fleet", std::nullopt, CheckAddress);
  settings.lookup_address =
      reader.String("listen.lookup", std::nullopt, CheckAddress);
  settings.metrics_address =
      reader.String("listen.metrics", "", CheckOptionalAddress);
  settings.seeds = reader.Strings("fleet.seeds", CheckAddress);
  settings.advertised_fleet_address =
      reader.String("fleet.advertised", "", CheckOptionalAddress);
  settings.store_address =
      reader.String("store.address", std::nullopt, CheckAddress);
  settings.max_row_bytes = static_cast<size_t>(
      reader.Integer("store.max_row_bytes", 64 * kKiB, 1, kMaxRowBytes));
}

Duration ReadSeconds(SettingsReader& reader,
                     const std::string& key,
                     Duration fallback) {
  constexpr double kMinSeconds = 0.1;
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      reader.Number(key, ToSeconds(fallback), kMinSeconds, kMaxSeconds)));
}

void ReadBounds(SettingsReader& reader, NodeBounds& bounds) {
  bounds.key_withdrawal =
      reader.Millis("bounds.key_withdrawal_ms", bounds.key_withdrawal,
                    milliseconds(1000), minutes(10));
  bounds.retry_ratio =
      reader.Number("bounds.retry_ratio", bounds.retry_ratio, 0, 10);
  bounds.retry_slack =
      reader.Number("bounds.retry_slack", bounds.retry_slack, 0, 1e6);
  bounds.limit_window =
      ReadSeconds(reader, "bounds.limit_window_s", bounds.limit_window);
  bounds.limit_excess =
      reader.Number("bounds.limit_excess", bounds.limit_excess, 0, 10);
  bounds.limit_slack =
      reader.Number("bounds.limit_slack", bounds.limit_slack, 0, 1e6);
  bounds.cold_excess =
      reader.Number("bounds.cold_excess", bounds.cold_excess, 0.01, 100);
  bounds.cold_slack =
      reader.Number("bounds.cold_slack", bounds.cold_slack, 0, 1e6);
  bounds.stop_grace =
      ReadSeconds(reader, "bounds.stop_grace_s", bounds.stop_grace);
  bounds.max_lookup_ttl =
      ReadSeconds(reader, "bounds.lookup_ttl_s", bounds.max_lookup_ttl);
}

}  // namespace

std::optional<NodeSettings> LoadNodeSettings(const std::string& file,
                                             std::vector<std::string>& errors) {
  std::ifstream in(file);
  if (!in) {
    errors.push_back(file + ": the file cannot be opened");
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  SettingsReader reader(file, text.str());
  NodeSettings settings;
  ReadHost(reader, settings);
  ReadAddresses(reader, settings);
  ReadBounds(reader, settings.bounds);
  for (std::string& error : reader.Finish()) {
    errors.push_back(std::move(error));
  }
  if (!errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace applestand
