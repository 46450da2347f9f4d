#include "lib/settings/host_settings.h"

#include <fstream>
#include <sstream>

#include "lib/settings/reader.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int64_t kMiB = int64_t{1} << 20;

void ReadIdentity(SettingsReader& reader, HostSettings& settings) {
  settings.host = HostId(reader.String("host.id", std::nullopt, CheckId));
  settings.region =
      RegionId(reader.String("host.region", std::nullopt, CheckId));
  settings.zone = ZoneId(reader.String("host.zone", std::nullopt, CheckId));
}

void ReadPlatform(SettingsReader& reader, HostSettings& settings) {
  settings.platform_address =
      reader.String("platform.address", std::nullopt, CheckAddress);
  settings.platform_region =
      RegionId(reader.String("platform.region", std::nullopt, CheckId));
  settings.platform_region_hosts =
      static_cast<uint32_t>(reader.Integer("platform.region_hosts", 4, 1, 200));
  settings.platform_timeout = reader.Millis("platform.timeout_ms", seconds(2),
                                            milliseconds(50), seconds(30));
}

void ReadLookup(SettingsReader& reader, HostSettings& settings) {
  settings.lookup_listen =
      reader.String("lookup.listen", std::nullopt, CheckAddress);
  settings.lookup_ttl_s = reader.Integer("lookup.ttl_s", 5, 1, 300);
  settings.lookup_metrics =
      reader.String("lookup.metrics", "", CheckOptionalAddress);
}

void ReadEntry(SettingsReader& reader, HostSettings& settings) {
  settings.entry_listen =
      reader.String("entry.listen", std::nullopt, CheckAddress);
  settings.entry_rpc = reader.String("entry.rpc", std::nullopt, CheckAddress);
  settings.max_body_bytes = static_cast<size_t>(
      reader.Integer("entry.max_body_bytes", 8 * kMiB, 1024, 64 * kMiB));
  settings.max_bytes_in_flight = static_cast<size_t>(reader.Integer(
      "entry.max_bytes_in_flight", 256 * kMiB, kMiB, 16384 * kMiB));
  settings.stop_timeout = reader.Millis("entry.stop_timeout_ms", seconds(30),
                                        milliseconds(100), minutes(10));
  settings.link_bytes_per_second = static_cast<uint64_t>(reader.Integer(
      "entry.link_bytes_per_second", 35'000'000, 1000, int64_t{100} << 30));
  settings.entry_metrics =
      reader.String("entry.metrics", "", CheckOptionalAddress);
}

void ReadControl(SettingsReader& reader, HostSettings& settings) {
  settings.control_rpc =
      reader.String("control.rpc", std::nullopt, CheckAddress);
  settings.control_api =
      reader.String("control.api", std::nullopt, CheckAddress);
  settings.operator_token_sha256 =
      reader.String("control.operator_token_sha256", std::nullopt, CheckSha256);
  settings.seeds = reader.Strings("control.seeds", CheckAddress);
  settings.seat_lease = reader.Millis("control.seat_lease_ms", seconds(120),
                                      seconds(1), minutes(60));
  settings.freshness_limit = reader.Millis("control.freshness_limit_ms",
                                           seconds(5), seconds(1), minutes(1));
  settings.control_metrics =
      reader.String("control.metrics", "", CheckOptionalAddress);
}

void ReadTrace(SettingsReader& reader, HostSettings& settings) {
  settings.trace_collector =
      reader.String("trace.collector", "", CheckOptionalAddress);
  settings.trace_sample_ratio = reader.Number("trace.sample_ratio", 0, 0, 1);
}

}  // namespace

std::optional<HostSettings> ParseHostSettings(
    const std::string& file,
    const std::string& text,
    std::vector<std::string>& errors) {
  SettingsReader reader(file, text);
  HostSettings settings;
  ReadIdentity(reader, settings);
  ReadPlatform(reader, settings);
  ReadLookup(reader, settings);
  ReadEntry(reader, settings);
  ReadControl(reader, settings);
  ReadTrace(reader, settings);
  errors = reader.Finish();
  if (!errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<HostSettings> LoadHostSettings(const std::string& file,
                                             std::vector<std::string>& errors) {
  std::ifstream in(file);
  if (!in) {
    errors = {file + ": cannot be read"};
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseHostSettings(file, text.str(), errors);
}

}  // namespace applestand
