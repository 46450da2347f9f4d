#ifndef LIB_TARGETS_DECISION_H_
#define LIB_TARGETS_DECISION_H_

#include <string>
#include <variant>
#include <vector>

#include "lib/targets/fair_queue.h"

namespace applestand {

/// Why a home host refuses a request. A refused request has not run.
enum class PoolRefusal {
  /// This host is not home to a target of the service.
  kNotHome,
  /// Every target is closed, ejected or leaving.
  kNoUsableTarget,
  /// The queue, or the account's part of it, is full.
  kQueueFull,
  /// The deadline would come, or has come, before a slot is free.
  kDeadline,
};

const char* ToString(PoolRefusal refusal);

/// A request that a home host is asked to run.
struct Submission {
  DispatchId id;
  ServiceId service;
  ClientAccountId account;
  double weight = 1;
  TimePoint deadline;
  /// Targets of earlier attempts; used again only if nothing else is free.
  std::vector<TargetId> avoid;
};

/// The request is to be sent to the target now.
struct Start {
  DispatchId id;
  TargetId target;
  std::string address;
};

/// The request waits; a Start or Refused for it follows from a later call.
struct Queued {
  DispatchId id;
};

/// The request has not run and will not.
struct Refused {
  DispatchId id;
  PoolRefusal reason = PoolRefusal::kNotHome;
  Duration retry_after = Duration::zero();
};

using PoolDecision = std::variant<Start, Queued, Refused>;

/// Capacity of one service at one home host.
struct PoolLoad {
  /// Slots that may be in use now.
  uint32_t allowed = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  /// Time until a request that came now would start.
  Duration wait = Duration::zero();
  /// Time that a request holds a slot, on average.
  Duration service_time = Duration::zero();

  uint32_t Spare() const {
    const uint32_t used = in_flight + queued;
    return allowed > used ? allowed - used : 0;
  }
};

}  // namespace applestand

#endif  // LIB_TARGETS_DECISION_H_
