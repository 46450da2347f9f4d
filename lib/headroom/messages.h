#ifndef LIB_HEADROOM_MESSAGES_H_
#define LIB_HEADROOM_MESSAGES_H_

#include <cstdint>

#include "lib/codec/codec.h"

namespace applestand {

/// Matches a GrantReply to its GrantRequest. Increases with each request of a
/// grant holder.
using GrantId = Counter<struct GrantIdTag>;

/// Asks a host of another region for a grant: a lease on spare capacity of one
/// service.
struct GrantRequest {
  GrantId id;
  HostId from;
  Incarnation incarnation;
  RegionId from_region;
  ServiceId service;
  /// Number of concurrent requests that the holder wants to send.
  uint32_t wanted_in_flight = 0;
  uint64_t bytes_per_second = 0;
  /// Most recently measured time between a GrantRequest and its reply; 0 if
  /// unknown.
  Duration round_trip = Duration::zero();
  MSGPACK_DEFINE(id,
                 from,
                 incarnation,
                 from_region,
                 service,
                 wanted_in_flight,
                 bytes_per_second,
                 round_trip)
};

/// Grants capacity for `lifetime`, which starts when the holder sent the
/// request, by the holder's clock. Replaces the holder's previous grant.
struct GrantReply {
  GrantId id;
  /// Copied from the request, so that a restarted holder can ignore a grant to
  /// its previous incarnation.
  Incarnation incarnation;
  HostId granter;
  ServiceId service;
  /// Number of requests that may be in flight at once, including those still
  /// on the network.
  uint32_t max_in_flight = 0;
  uint64_t bytes_per_second = 0;
  Duration lifetime = Duration::zero();
  MSGPACK_DEFINE(id,
                 incarnation,
                 granter,
                 service,
                 max_in_flight,
                 bytes_per_second,
                 lifetime)
};

}  // namespace applestand

#endif  // LIB_HEADROOM_MESSAGES_H_
