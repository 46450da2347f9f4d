#ifndef LIB_STEERING_STEERING_TARGET_H_
#define LIB_STEERING_STEERING_TARGET_H_

#include <cstdint>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// What a target says of itself through the store.
struct SteeringTarget {
  TargetId id;
  /// Distinguishes the runs of a target that begins again under its id.
  Incarnation incarnation;
  ServiceId service;
  RegionId region;
  ZoneId zone;
  /// "IP:port".
  std::string address;
  /// Requests it runs at once.
  uint32_t slots = 1;
  /// Gets no new work.
  bool leaving = false;
  /// How long it stays cold, counted from when it said so.
  Duration cold_left{};
};

/// What a target says of its load with an answer.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

}  // namespace applestand

#endif  // LIB_STEERING_STEERING_TARGET_H_
