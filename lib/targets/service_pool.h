#ifndef LIB_TARGETS_SERVICE_POOL_H_
#define LIB_TARGETS_SERVICE_POOL_H_

#include <optional>
#include <vector>

#include "lib/targets/fair_queue.h"
#include "lib/targets/pool_decision.h"
#include "lib/targets/target_state.h"

namespace applestand {

struct PoolPolicy {
  TargetPolicy target;
  FairQueueLimits queue;
  /// Service time assumed until one has been measured.
  Duration assumed_service_time = std::chrono::milliseconds(20);
  /// Weight of the newest service time in the exponential moving average.
  double service_time_gain = 0.05;
};

/// The targets and the queue of one service at one home host. Part of
/// TargetPool, which owns the target states.
///
/// Not thread-safe.
class ServicePool {
 public:
  /// `policy` must outlive this object.
  explicit ServicePool(const PoolPolicy& policy)
      : m_policy(policy), m_queue(policy.queue) {}

  void ClearTargets() { m_targets.clear(); }
  /// `state` must stay valid until ClearTargets is called or this object is
  /// destroyed.
  void AddTarget(TargetState& state) { m_targets.push_back(&state); }
  bool HasTargets() const { return !m_targets.empty(); }

  /// Returns the refusal of a submission that must be refused at once, or
  /// std::nullopt if it may be queued or started.
  std::optional<Refused> CheckAdmission(const Submission& submission,
                                        TimePoint now) const;

  /// Returns the target for the next request, or nullptr if none is free. If
  /// Allowed(now) is 0, a target that was ejected because of failed probes
  /// alone is returned for one trial request at a time, since its health
  /// endpoint may be wrong.
  TargetState* Pick(const std::vector<TargetId>& avoid, TimePoint now);

  /// Slots that may currently be in use.
  uint32_t Allowed(TimePoint now) const;
  /// Estimates the time until `starts` more requests have started.
  Duration EstimateWait(double starts, TimePoint now) const;
  /// Time until a target may become usable, at most `max_reprobe`.
  Duration TimeUntilUsable(TimePoint now) const;

  void RecordServiceTime(Duration service_time);
  PoolLoad Load(TimePoint now) const;

  FairQueue& queue() { return m_queue; }
  const FairQueue& queue() const { return m_queue; }

 private:
  TargetState* PickLastResort(TimePoint now) const;
  bool HasUsableTarget(TimePoint now) const;
  Duration ServiceTime() const;
  double ServiceSeconds() const;

  const PoolPolicy& m_policy;
  std::vector<TargetState*> m_targets;
  FairQueue m_queue;
  // Moving average in seconds; 0 until a request has been served.
  double m_service_seconds = 0;
  // Where Pick starts its search; rotates among equal targets.
  size_t m_cursor = 0;
};

}  // namespace applestand

#endif  // LIB_TARGETS_SERVICE_POOL_H_
