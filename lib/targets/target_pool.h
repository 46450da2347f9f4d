#ifndef LIB_TARGETS_TARGET_POOL_H_
#define LIB_TARGETS_TARGET_POOL_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lib/targets/decision.h"
#include "lib/targets/service_pool.h"
#include "lib/targets/target_state.h"

namespace applestand {

/// The targets that this host is home to, with the requests that run at them
/// or wait for them. Every submission gets exactly one end: a Start that the
/// owner closes by OnFinished, a Refused, or a Cancel.
///
/// The owner calls
/// - SetTargets(HomeMap::TargetsOf(self)) on each new home map,
/// - Submit for each request, own or forwarded,
/// - OnFinished once for each Start,
/// - Cancel when the caller of a waiting request is gone,
/// - Tick at NextWake() at the latest, and about every 100 ms,
/// - DueProbes about every 100 ms, then OnProbe for each probe sent.
/// and carries out all returned decisions, in order.
///
/// If two hosts both believe that they are home to a target for a time T, the
/// slots in use there are at most `slots` of the old home plus, at the new
/// one, min(slots, cold_slots + T / ramp_interval).
///
/// Not thread-safe: lives on one event loop.
class TargetPool {
 public:
  explicit TargetPool(const PoolPolicy& policy) : m_policy(policy) {}
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  /// Replaces the set of targets. Requests that run at a target that is gone
  /// go on; it gets no new ones. Waiters of a service without targets are
  /// refused.
  std::vector<PoolDecision> SetTargets(const std::vector<Target>& targets,
                                       TimePoint now);

  /// Decides on a request at once. Exactly one decision is about `submission`;
  /// others, such as the refusal of a displaced waiter, may come with it.
  /// Precondition: `submission.id` has not been used before.
  std::vector<PoolDecision> Submit(const Submission& submission, TimePoint now);

  /// Takes the end of a started request and says which waiters start.
  /// `retry_after` is the target's, with kShed. Unknown ids are ignored.
  std::vector<PoolDecision> OnFinished(DispatchId id,
                                       Outcome outcome,
                                       std::optional<Duration> retry_after,
                                       TimePoint now);

  /// Drops a waiting request. False where it does not wait; a request that
  /// runs is ended by OnFinished alone.
  bool Cancel(DispatchId id);

  /// Refuses waiters whose deadline has come and starts those that can.
  std::vector<PoolDecision> Tick(TimePoint now);
  /// When Tick has to be called next for a deadline; nothing while none waits.
  std::optional<TimePoint> NextWake() const;

  /// Targets to probe now.
  std::vector<Target> DueProbes(TimePoint now);
  std::vector<PoolDecision> OnProbe(const ProbeResult& result, TimePoint now);

  PoolLoad LoadOf(const ServiceId& service, TimePoint now) const;
  /// Services that this host is home to a target of.
  std::vector<ServiceId> Services() const;
  /// Requests that run at a target, also one that this host is not home to
  /// any more. Zero on a leaving target: it is drained as far as this host is
  /// concerned.
  uint32_t InFlightAt(const TargetId& target) const;
  size_t running() const { return m_running.size(); }

 private:
  struct Member {
    TargetState state;
    // Cleared when the target has another home but still runs requests of ours.
    bool home = true;
  };
  struct Running {
    TargetId target;
    ServiceId service;
    TimePoint since;
  };

  void AddTarget(const Target& target, TimePoint now);
  Start StartAt(TargetState& state,
                const ServiceId& service,
                DispatchId id,
                TimePoint now);
  void Dispatch(const ServiceId& id,
                TimePoint now,
                std::vector<PoolDecision>& out);
  void RemoveFormerTargets();
  void RemoveEmptyServices(TimePoint now, std::vector<PoolDecision>& out);

  const PoolPolicy m_policy;
  // Precedes m_services, which refers to its elements.
  std::map<TargetId, Member> m_targets;
  std::map<ServiceId, ServicePool> m_services;
  std::unordered_map<DispatchId, Running> m_running;
};

}  // namespace applestand

#endif  // LIB_TARGETS_TARGET_POOL_H_
