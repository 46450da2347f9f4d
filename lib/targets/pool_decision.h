#ifndef LIB_TARGETS_POOL_DECISION_H_
#define LIB_TARGETS_POOL_DECISION_H_

#include <string>
#include <variant>
#include <vector>

#include "lib/targets/fair_queue.h"

namespace applestand {

/// Why a home host refuses a request. A refused request has not been sent to a
/// target.
enum class PoolRefusal {
  /// This host is not the home host of any target of the service.
  kNotHomeHost,
  /// Every target is ejected, draining or closed after a shed.
  kNoUsableTarget,
  /// The queue is full, or the account has reached its limit in the queue.
  kQueueFull,
  /// The deadline has passed or is expected to pass before a slot is free.
  kDeadline,
};

const char* ToString(PoolRefusal refusal);

/// A request submitted to a home host.
struct Submission {
  DispatchId id;
  ServiceId service;
  ClientAccountId account;
  /// Contract weight of the account.
  double weight = 1;
  TimePoint deadline;
  /// Targets of earlier attempts; used again only if no other target is free.
  std::vector<TargetId> avoid;
};

/// The request must be sent to the target now.
struct Start {
  DispatchId id;
  TargetId target;
  std::string address;
};

/// The request waits in the queue. A later call returns a Start or a Refused
/// for it unless it is cancelled.
struct Queued {
  DispatchId id;
};

/// The request has not been sent to a target and will not be.
struct Refused {
  DispatchId id;
  PoolRefusal reason = PoolRefusal::kNotHomeHost;
  Duration retry_after = Duration::zero();
};

using PoolDecision = std::variant<Start, Queued, Refused>;

/// Capacity and use of one service at one home host.
struct PoolLoad {
  /// Slots that may currently be in use.
  uint32_t allowed = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  /// Estimated queueing delay of a request submitted now.
  Duration wait = Duration::zero();
  /// Average time for which a request holds a slot.
  Duration service_time = Duration::zero();

  uint32_t Spare() const {
    const uint32_t used = in_flight + queued;
    return allowed > used ? allowed - used : 0;
  }
};

}  // namespace applestand

#endif  // LIB_TARGETS_POOL_DECISION_H_
