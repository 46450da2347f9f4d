#ifndef LIB_TARGETS_SERVICE_POOL_H_
#define LIB_TARGETS_SERVICE_POOL_H_

#include <optional>
#include <vector>

#include "lib/targets/decision.h"
#include "lib/targets/fair_queue.h"
#include "lib/targets/target_state.h"

namespace applestand {

struct PoolPolicy {
  TargetPolicy target;
  FairQueueLimits queue;
  /// Service time that is assumed until one was seen.
  Duration assumed_service_time = std::chrono::milliseconds(20);
  /// Weight of the newest service time in the moving average.
  double service_time_gain = 0.05;
};

/// The targets and the queue of one service at one home host; part of
/// TargetPool, which owns the target states.
///
/// Not thread-safe.
class ServicePool {
 public:
  explicit ServicePool(const PoolPolicy& policy)
      : m_policy(policy), m_queue(policy.queue) {}

  void ClearTargets() { m_targets.clear(); }
  /// Precondition: `state` outlives its place here.
  void AddTarget(TargetState& state) { m_targets.push_back(&state); }
  bool HasTargets() const { return !m_targets.empty(); }

  /// Why a submission is to be refused at once; nothing where it is not.
  std::optional<Refused> RefusalOf(const Submission& submission,
                                   TimePoint now) const;

  /// The target that the next request starts at; null where none is free. When
  /// probes alone have ejected every target, one trial at a time is let
  /// through, since health endpoints may be wrong.
  TargetState* Pick(const std::vector<TargetId>& avoid, TimePoint now);

  /// Slots that may be in use now.
  uint32_t Allowed(TimePoint now) const;
  /// Time until so many requests have started.
  Duration WaitFor(double starts, TimePoint now) const;
  Duration UntilUsable(TimePoint now) const;

  void OnServed(Duration service_time);
  PoolLoad Load(TimePoint now) const;

  FairQueue& queue() { return m_queue; }
  const FairQueue& queue() const { return m_queue; }

 private:
  TargetState* LastResort(TimePoint now) const;
  bool HasFree(TimePoint now) const;
  Duration ServiceTime() const;
  double ServiceSeconds() const;

  const PoolPolicy& m_policy;
  std::vector<TargetState*> m_targets;
  FairQueue m_queue;
  // Moving average in seconds; 0 until a request was served.
  double m_service_seconds = 0;
  size_t m_cursor = 0;
};

}  // namespace applestand

#endif  // LIB_TARGETS_SERVICE_POOL_H_
