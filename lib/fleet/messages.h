#ifndef LIB_FLEET_MESSAGES_H_
#define LIB_FLEET_MESSAGES_H_

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "lib/codec/deflate.h"
#include "lib/fleet/table_mirror.h"

namespace applestand {

/// What a host publishes about itself.
struct HostInfo {
  HostId id;
  /// Identifies one run of the host's process.
  Incarnation incarnation;
  RegionId region;
  ZoneId zone;
  /// Address that callers connect to, "IP:port".
  std::string front_address;
  /// Address that other hosts connect to, "IP:port".
  std::string control_address;
  /// CPU share in cores. Hosts with a larger share rank first for serving
  /// updates to other hosts.
  double cpu_cores = 0;
  /// The host accepts no new callers.
  bool leaving = false;
  /// The store rejects this host's reads or does not answer them, so the host
  /// cannot read the store for other hosts.
  bool store_unreachable = false;

  MSGPACK_DEFINE(id,
                 incarnation,
                 region,
                 zone,
                 front_address,
                 control_address,
                 cpu_cores,
                 leaving,
                 store_unreachable)
};

/// A host that recently polled the sender of a PullRequest.
struct SeenHost {
  HostInfo host;
  /// Time since it polled.
  Duration age{};

  MSGPACK_DEFINE(host, age)
};

/// Long-polling request of one host to another for the updates that it lacks.
/// The response is held back until there is an update, for up to `wait`.
struct PullRequest {
  HostInfo from;
  std::array<StoreVersion, kStoreTables> held_versions;
  /// Identifies the list of live hosts that the requester holds. Empty if it
  /// holds none.
  std::string live_tag;
  Duration wait{};
  /// Hosts that recently polled the requester.
  std::vector<SeenHost> seen;
  /// The newest configuration that the requester knows to have been in force.
  ConfigVersion newest_config;
  /// The latest era of the store of which the requester knows what operators
  /// have last written, zero if there is none.
  StoreEra known_era;

  MSGPACK_DEFINE(from,
                 held_versions,
                 live_tag,
                 wait,
                 seen,
                 newest_config,
                 known_era)
};

/// The updates that a requester lacks. Identical for all requesters that hold
/// the same versions and live list, so that it can be encoded once for all.
struct FleetUpdate {
  std::array<TableUpdate, kStoreTables> tables;
  /// std::nullopt if the requester's `live_tag` is current.
  std::optional<std::vector<HostInfo>> live;

  MSGPACK_DEFINE(tables, live)
};

struct PullResponse {
  /// State of the responder's copy of one table.
  struct Copy {
    bool loaded = false;
    StoreVersion version;
    /// Age at the arrival of the request; negative if the copy was refreshed
    /// while the request waited.
    Duration age{};

    MSGPACK_DEFINE(loaded, version, age)
  };

  HostInfo from;
  std::array<Copy, kStoreTables> copies;
  std::string live_tag;
  /// Number of hosts among which limits are divided; 0 if unknown.
  uint32_t counted_hosts = 0;
  /// Time since all hosts among which limits are divided knew of the responder;
  /// std::nullopt if unknown.
  std::optional<Duration> known_to_all_age;
  /// The latest incarnation of the requester that the responder knows of. A
  /// host whose clock was set back between two incarnations must number the new
  /// one above it.
  Incarnation requester_incarnation;
  /// An encoded FleetUpdate; empty if the requester lacks nothing.
  Deflated packed_update;
  /// The newest configuration that the responder knows to have been in force.
  ConfigVersion newest_config;
  /// As PullRequest::known_era, of the responder.
  StoreEra known_era;

  MSGPACK_DEFINE(from,
                 copies,
                 live_tag,
                 counted_hosts,
                 known_to_all_age,
                 requester_incarnation,
                 packed_update,
                 newest_config,
                 known_era)
};

Deflated Pack(const FleetUpdate& update);
/// Returns std::nullopt and sets `reason` if `packed` is malformed.
[[nodiscard]] std::optional<FleetUpdate> Unpack(const Deflated& packed,
                                                Reason& reason);

}  // namespace applestand

#endif  // LIB_FLEET_MESSAGES_H_
