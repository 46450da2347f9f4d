#ifndef LIB_MEMBERSHIP_MESSAGES_H_
#define LIB_MEMBERSHIP_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/config/messages.h"
#include "lib/freshness/messages.h"

namespace applestand {

/// What a host says of itself. Within one run it never goes back to kLive.
enum class HostState : uint8_t { kLive, kLeaving };

}  // namespace applestand

MSGPACK_ADD_ENUM(applestand::HostState)

namespace applestand {

/// A host as it describes itself.
struct HostRecord {
  HostId host;
  /// Grows with each run of the host's processes.
  Incarnation incarnation;
  RegionId region;
  ZoneId zone;
  /// "IP:port" where other control processes reach it.
  std::string control_address;
  /// "IP:port" where other entry processes reach it.
  std::string entry_address;
  /// "IP:port" where callers reach it.
  std::string http_address;
  HostState state = HostState::kLive;
  ConfigVersion config_version;
  MSGPACK_DEFINE(host,
                 incarnation,
                 region,
                 zone,
                 control_address,
                 entry_address,
                 http_address,
                 state,
                 config_version)
};

/// The newest sign of life of a host, relayed by others.
struct HostBeat {
  HostId host;
  Incarnation incarnation;
  /// Raised by the host itself with each of its own heartbeats.
  uint64_t beat = 0;
  HostState state = HostState::kLive;
  MSGPACK_DEFINE(host, incarnation, beat, state)
};

/// A target that said it is leaving, before the configuration says so.
struct LeavingTarget {
  TargetId target;
  /// Time since the first host heard it.
  Duration age{};
  MSGPACK_DEFINE(target, age)
};

struct Heartbeat {
  HostRecord sender;
  uint64_t beat = 0;
  std::vector<HostBeat> beats;
  std::vector<LeavingTarget> leaving_targets;
  MSGPACK_DEFINE(sender, beat, beats, leaving_targets)
};

struct HeartbeatReply {
  HostRecord sender;
  uint64_t beat = 0;
  std::vector<HostBeat> beats;
  /// Records that the other side did not name, or named in an older run.
  std::vector<HostRecord> records;
  std::vector<LeavingTarget> leaving_targets;
  /// Filled by the owner from Freshness::Evidence.
  std::optional<HeadEvidence> evidence;
  /// Filled by the owner from Freshness::MakeVouch, in the store's region.
  std::optional<Vouch> vouch;
  MSGPACK_DEFINE(sender, beat, beats, records, leaving_targets, evidence, vouch)
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_MESSAGES_H_
