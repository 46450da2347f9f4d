#ifndef LIB_HEADROOM_MESSAGES_H_
#define LIB_HEADROOM_MESSAGES_H_

#include <cstdint>

#include "lib/codec/codec.h"

namespace applestand {

/// Pairs a GrantReply with its GrantRequest; grows with each request of a
/// holder.
using GrantId = Counter<struct GrantIdTag>;

/// Asks a home host of another region for headroom of one service.
struct GrantRequest {
  GrantId id;
  HostId from;
  Incarnation incarnation;
  RegionId from_region;
  ServiceId service;
  /// Requests that the holder would like to have in flight at once.
  uint32_t slots = 0;
  uint64_t bytes_per_second = 0;
  /// Time between a request and its reply, last seen; 0 while unknown.
  Duration round_trip = Duration::zero();
  MSGPACK_DEFINE(id,
                 from,
                 incarnation,
                 from_region,
                 service,
                 slots,
                 bytes_per_second,
                 round_trip)
};

/// Headroom that may be used for `lifetime`, counted by the holder's clock
/// from when it sent the request. Replaces what the holder had.
struct GrantReply {
  GrantId id;
  /// Copied from the request: an earlier run's grant is not taken over.
  Incarnation incarnation;
  HostId granter;
  ServiceId service;
  /// Requests that may be in flight at once, those that travel included.
  uint32_t slots = 0;
  uint64_t bytes_per_second = 0;
  Duration lifetime = Duration::zero();
  MSGPACK_DEFINE(id,
                 incarnation,
                 granter,
                 service,
                 slots,
                 bytes_per_second,
                 lifetime)
};

}  // namespace applestand

#endif  // LIB_HEADROOM_MESSAGES_H_
