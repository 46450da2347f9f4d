#ifndef LIB_LOCAL_STATE_MESSAGES_H_
#define LIB_LOCAL_STATE_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/config/messages.h"
#include "lib/contract_shares/messages.h"
#include "lib/membership/messages.h"

namespace applestand {

/// Capacity of one service in one region, in slots (concurrent requests that
/// targets may run), as reported by its home hosts (the hosts that hand out the
/// slots).
struct RegionLoad {
  ServiceId service;
  RegionId region;
  /// Slots that may be in use at present.
  uint32_t allowed = 0;
  /// Slots of `allowed` that are free.
  uint32_t spare = 0;
  MSGPACK_DEFINE(service, region, allowed, spare)
};

/// Sent by the entry and lookup processes to the control process of their host
/// several times per second to request what has changed.
struct LocalStateFetch {
  ConfigVersion have_version;
  /// True if the sender is the entry process, which uses the host's contract
  /// shares. If false, `grant`, `loads` and `leaving` are ignored.
  bool is_entry = false;
  /// The grant of contract shares that is in force in the entry process.
  ShareGrant grant;
  /// Targets that reported to the entry process that they are leaving.
  std::vector<TargetId> leaving_targets;
  /// Capacity of each service and region, as known to the entry process.
  std::vector<RegionLoad> loads;
  /// True if the entry process is stopping gracefully, which means that the
  /// host is leaving.
  bool leaving = false;
  /// LocalStateReply::hosts_digest of the last host list received; 0 if none.
  uint64_t known_hosts_digest = 0;
  MSGPACK_DEFINE(have_version,
                 is_entry,
                 grant,
                 leaving_targets,
                 loads,
                 leaving,
                 known_hosts_digest)
};

/// The state that the control process passes to the other processes of its
/// host.
struct LocalStateReply {
  ConfigFetchReply config;
  /// Hosts that may receive new work, including this host unless it is leaving.
  /// std::nullopt if the requester already has the current list.
  std::optional<std::vector<HostRecord>> live_hosts;
  /// Digest of the list of live hosts; changes whenever the list changes.
  uint64_t hosts_digest = 0;
  /// Targets that reported to any host that they are leaving.
  std::vector<TargetId> leaving_targets;
  /// The contract shares that this host may use.
  ShareGrant grant;
  MSGPACK_DEFINE(config, live_hosts, hosts_digest, leaving_targets, grant)
};

}  // namespace applestand

#endif  // LIB_LOCAL_STATE_MESSAGES_H_
