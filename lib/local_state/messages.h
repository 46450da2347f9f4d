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

/// Slots of one service in one region, by the reports of its home hosts.
struct RegionLoad {
  ServiceId service;
  RegionId region;
  /// Slots that may be in use now.
  uint32_t allowed = 0;
  uint32_t spare = 0;
  MSGPACK_DEFINE(service, region, allowed, spare)
};

/// Entry and look-up processes ask the control process of their host for what
/// has changed, several times a second.
struct LocalStateFetch {
  ConfigVersion have_version;
  /// The sender is the entry process, which uses the host's seats.
  bool is_entry = false;
  /// The grant in force in the entry process.
  ShareGrant grant;
  /// Targets that told the entry process that they are leaving.
  std::vector<TargetId> leaving_targets;
  /// What the entry process knows of every region's slots.
  std::vector<RegionLoad> loads;
  /// The entry process is stopping as planned: the host leaves.
  bool leaving = false;
  /// LocalStateReply::hosts_digest of the last reply; 0 for none.
  uint64_t have_hosts = 0;
  MSGPACK_DEFINE(have_version,
                 is_entry,
                 grant,
                 leaving_targets,
                 loads,
                 leaving,
                 have_hosts)
};

/// What the control process of a host knows.
struct LocalStateReply {
  ConfigFetchReply config;
  /// Hosts that may get new work, this one included unless it leaves.
  /// Absent where the asker has them.
  std::optional<std::vector<HostRecord>> live_hosts;
  /// Changes whenever the live hosts do.
  uint64_t hosts_digest = 0;
  std::vector<TargetId> leaving_targets;
  ShareGrant grant;
  MSGPACK_DEFINE(config, live_hosts, hosts_digest, leaving_targets, grant)
};

}  // namespace applestand

#endif  // LIB_LOCAL_STATE_MESSAGES_H_
