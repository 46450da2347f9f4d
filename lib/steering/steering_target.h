#ifndef LIB_STEERING_STEERING_TARGET_H_
#define LIB_STEERING_STEERING_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// A target's own description, as published in the store.
struct SteeringTarget {
  TargetId id;
  /// Changes each time the target restarts under the same id.
  Incarnation incarnation;
  /// When this incarnation started, by the target's clock, if it has said so.
  std::optional<TimePoint> started_at;
  ServiceId service;
  RegionId region;
  ZoneId zone;
  /// "IP:port".
  std::string address;
  /// Number of requests that the target processes concurrently.
  uint32_t slots = 1;
  /// The target must not get new requests.
  bool draining = false;
  /// Remaining time for which the target is cold (slow start), counted from
  /// when it published this description.
  Duration cold_left{};
};

/// The load that a target reports with a response.
struct LoadReport {
  /// Requests being processed.
  uint32_t running = 0;
  /// Requests in the target's queue.
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

}  // namespace applestand

#endif  // LIB_STEERING_STEERING_TARGET_H_
