#ifndef LIB_MEMBERSHIP_MESSAGES_H_
#define LIB_MEMBERSHIP_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/config/messages.h"
#include "lib/freshness/messages.h"

namespace applestand {

/// The state that a host reports about itself. Within one incarnation it never
/// returns from kLeaving to kLive.
enum class HostState : uint8_t { kLive, kLeaving };

}  // namespace applestand

MSGPACK_ADD_ENUM(applestand::HostState)

namespace applestand {

/// The description of a host, created by the host itself.
struct HostRecord {
  HostId host;
  /// Increases with each start of the host's processes.
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

/// The latest known heartbeat of a host, as relayed by other hosts.
struct HostHeartbeat {
  HostId host;
  /// Zero if the sender of the digest lacks the record of this host.
  Incarnation incarnation;
  /// Incremented by the host with each of its own heartbeats and replies.
  uint64_t counter = 0;
  HostState state = HostState::kLive;
  MSGPACK_DEFINE(host, incarnation, counter, state)
};

/// A target that reported that it is leaving, which the configuration may not
/// show yet.
struct LeavingTarget {
  TargetId target;
  /// Time since the first host received the report.
  Duration age{};
  MSGPACK_DEFINE(target, age)
};

struct Heartbeat {
  HostRecord sender;
  uint64_t counter = 0;
  std::vector<HostHeartbeat> digest;
  std::vector<LeavingTarget> leaving_targets;
  MSGPACK_DEFINE(sender, counter, digest, leaving_targets)
};

struct HeartbeatReply {
  HostRecord sender;
  uint64_t counter = 0;
  std::vector<HostHeartbeat> digest;
  /// Records of hosts that the digest of the heartbeat did not name, or named
  /// with an older incarnation.
  std::vector<HostRecord> records;
  std::vector<LeavingTarget> leaving_targets;
  /// Set by the owner from Freshness::Evidence.
  std::optional<HeadEvidence> evidence;
  /// Set by the owner from Freshness::MakeAttestation on hosts of the store's
  /// region.
  std::optional<Attestation> attestation;
  MSGPACK_DEFINE(sender,
                 counter,
                 digest,
                 records,
                 leaving_targets,
                 evidence,
                 attestation)
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_MESSAGES_H_
