#ifndef LIB_ROUTING_MESSAGES_H_
#define LIB_ROUTING_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/codec/codec.h"

namespace applestand {

/// Capacity of one service at the reporting home host.
struct ServiceCapacity {
  ServiceId service;
  /// Slots that may currently be in use.
  uint32_t allowed = 0;
  /// Allowed slots that no running or queued request needs.
  uint32_t spare = 0;
  uint32_t queued = 0;
  /// Estimated queueing delay of a request submitted now.
  Duration wait = Duration::zero();
  MSGPACK_DEFINE(service, allowed, spare, queued, wait)
};

/// Capacity that a home host reports to the entry hosts, about every 200 ms and
/// with each response to a forwarded request. Receivers detect reports that
/// arrive out of order by (incarnation, sequence).
struct CapacityReport {
  HostId from;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<ServiceCapacity> services;
  MSGPACK_DEFINE(from, incarnation, sequence, services)
};

}  // namespace applestand

#endif  // LIB_ROUTING_MESSAGES_H_
