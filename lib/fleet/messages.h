#ifndef LIB_FLEET_MESSAGES_H_
#define LIB_FLEET_MESSAGES_H_

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/fleet/table_mirror.h"

namespace applestand {

/// What a host says of itself.
struct HostInfo {
  HostId id;
  /// Distinguishes the runs of the host's process.
  Incarnation incarnation;
  RegionId region;
  ZoneId zone;
  /// Where callers connect, "IP:port".
  std::string front_address;
  /// Where other hosts connect, "IP:port".
  std::string control_address;
  /// Processor share, in cores; hosts with more of it serve the others first.
  double power = 0;
  /// Gets no new callers.
  bool leaving = false;
  /// The store turns the host away, so that it cannot read it for others.
  bool store_denied = false;
};

/// A host asks another one for what it lacks. The answer is held back until
/// there is news, for up to `wait`.
struct PullRequest {
  HostInfo from;
  std::array<StoreVersion, kStoreTables> have;
  /// Names the list of live hosts that the asker holds; empty: none.
  std::string live_tag;
  Duration wait{};
  /// Hosts that lately asked the asker.
  std::vector<HostInfo> seen;
  /// Facts for all hosts, opaque here.
  std::vector<std::string> notices;
};

struct PullReply {
  struct Table {
    bool known = false;
    TableUpdate update;
    /// Age of the replier's copy when the request came; negative where the
    /// copy was renewed while the request waited.
    Duration age{};
  };

  HostInfo from;
  /// The replier reads the store itself, rather than ask another host.
  bool reads_store = false;
  std::array<Table, kStoreTables> tables;
  std::string live_tag;
  /// Present where `live_tag` is another than the asker's.
  std::optional<std::vector<HostInfo>> live;
  /// Hosts over which limits are divided.
  uint32_t counted = 0;
  /// Facts from other hosts since the asker's last request.
  std::vector<std::string> notices;
};

std::string Encode(const HostInfo& host);
std::string Encode(const PullRequest& request);
std::string Encode(const PullReply& reply);

/// Nothing, with the reason, where `text` is malformed.
[[nodiscard]] std::optional<HostInfo> DecodeHost(const std::string& text,
                                                 Reason& reason);
[[nodiscard]] std::optional<PullRequest> DecodePullRequest(
    const std::string& text,
    Reason& reason);
[[nodiscard]] std::optional<PullReply> DecodePullReply(const std::string& text,
                                                       Reason& reason);

}  // namespace applestand

#endif  // LIB_FLEET_MESSAGES_H_
