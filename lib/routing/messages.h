#ifndef LIB_ROUTING_MESSAGES_H_
#define LIB_ROUTING_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/codec/codec.h"

namespace applestand {

/// Capacity of one service at the reporting home host.
struct ServiceCapacity {
  ServiceId service;
  /// Slots that may be in use now.
  uint32_t allowed = 0;
  uint32_t spare = 0;
  uint32_t queued = 0;
  /// Time until a request that came now would start.
  Duration wait = Duration::zero();
  MSGPACK_DEFINE(service, allowed, spare, queued, wait)
};

/// What a home host tells the entry hosts, about every 200 ms and with each
/// answer to a forwarded request. Reports that arrive out of order are known
/// by (incarnation, sequence).
struct CapacityReport {
  HostId from;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<ServiceCapacity> services;
  MSGPACK_DEFINE(from, incarnation, sequence, services)
};

}  // namespace applestand

#endif  // LIB_ROUTING_MESSAGES_H_
