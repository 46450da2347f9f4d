#ifndef LIB_NODE_REGION_MESSAGES_H_
#define LIB_NODE_REGION_MESSAGES_H_

#include <map>
#include <optional>

#include "lib/codec/codec.h"
#include "lib/steering/limit_coordinator.h"
#include "lib/steering/region_load_aggregator.h"

namespace applestand {

/// Sent by a host to the limit coordinator of its region, the host that grants
/// tokens from the pooled shares of the region's limits, to request tokens and
/// the load of the region.
struct RegionRequest {
  HostId from;
  /// Number of tokens that the host wants, by account.
  std::map<ClientAccountId, uint32_t> wanted_tokens;
  /// Set if the host delegates its shares of the limits to the coordinator.
  std::optional<DelegationStamp> delegation;
  /// The host's requests in flight; if set, the response contains those of the
  /// region. std::nullopt if the host reported them recently.
  std::optional<TargetCounts> in_flight;
  /// The host has just started and gives the coordinator the pooled part of its
  /// start tokens. Only valid with a delegation, and set at most once by each
  /// process.
  bool start_tokens = false;

  MSGPACK_DEFINE(from, wanted_tokens, delegation, in_flight, start_tokens)
};

struct RegionResponse {
  struct Grant {
    /// Number of tokens granted.
    uint32_t granted = 0;
    /// Time until more tokens may be available; zero if all wanted tokens were
    /// granted.
    Duration wait{};

    MSGPACK_DEFINE(granted, wait)
  };

  DelegationStamp stamp;
  /// The coordinator no longer uses the shares of other hosts.
  bool released = false;
  std::map<ClientAccountId, Grant> grants;
  /// The region's requests in flight, if the request reported the host's own.
  std::optional<TargetCounts> in_flight;

  MSGPACK_DEFINE(stamp, released, grants, in_flight)
};

}  // namespace applestand

#endif  // LIB_NODE_REGION_MESSAGES_H_
