#ifndef LIB_NODE_REGION_MESSAGES_H_
#define LIB_NODE_REGION_MESSAGES_H_

#include <map>
#include <optional>

#include "lib/codec/codec.h"
#include "lib/steering/limit_coordinator.h"
#include "lib/steering/region_load_aggregator.h"

namespace applestand {

/// A host asks the first of its region for grants and for the region's load.
struct RegionRequest {
  HostId from;
  /// Requests of accounts that the host would let through.
  std::map<ClientAccountId, uint32_t> want;
  /// The host leaves its shares of limits to the bank.
  std::optional<DelegationStamp> pledge;
  /// Its requests under way; the answer then holds the region's. Nothing where
  /// the host told lately.
  std::optional<TargetCounts> in_flight;

  MSGPACK_DEFINE(from, want, pledge, in_flight)
};

struct RegionReply {
  struct Grant {
    uint32_t granted = 0;
    /// When there is more; zero where all was granted.
    Duration wait{};

    MSGPACK_DEFINE(granted, wait)
  };

  DelegationStamp stamp;
  /// The bank uses no share of other hosts any more.
  bool released = false;
  std::map<ClientAccountId, Grant> grants;
  /// The region's requests under way, where the host told of its own.
  std::optional<TargetCounts> in_flight;

  MSGPACK_DEFINE(stamp, released, grants, in_flight)
};

}  // namespace applestand

#endif  // LIB_NODE_REGION_MESSAGES_H_
