#ifndef LIB_TARGETS_TARGET_POOL_H_
#define LIB_TARGETS_TARGET_POOL_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lib/targets/pool_decision.h"
#include "lib/targets/service_pool.h"
#include "lib/targets/target_state.h"

namespace applestand {

/// The targets whose home host is this host, with the requests that run at them
/// or wait for them. Every submission ends in exactly one way: a Start that the
/// owner completes by OnFinished, a Refused, or a Cancel.
///
/// The owner calls
/// - SetTargets(HomeMap::TargetsOf(self)) for each new home map,
/// - Submit for each request, received from a caller or forwarded by a host,
/// - OnFinished once for each Start,
/// - Cancel when the caller of a waiting request disconnects,
/// - Tick at NextDeadline() at the latest, and about every 100 ms,
/// - DueProbes about every 100 ms, then OnProbe for each probe sent,
/// and carries out all returned decisions in order.
///
/// If two hosts both consider themselves the home host of a target for a time
/// T, the old one uses at most `slots` slots of the target and the new one at
/// most min(slots, cold_slots + T / ramp_interval).
///
/// Not thread-safe: must be used on one event loop.
class TargetPool {
 public:
  explicit TargetPool(const PoolPolicy& policy) : m_policy(policy) {}
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  /// Replaces the set of targets. A removed target receives no new requests;
  /// those that run there continue. Waiters of a service that has no targets
  /// left are refused.
  std::vector<PoolDecision> SetTargets(const std::vector<Target>& targets,
                                       TimePoint now);

  /// Decides on a request at once. Exactly one of the returned decisions
  /// concerns `submission`; others may concern other requests, such as the
  /// refusal of a displaced waiter. Precondition: `submission.id` has not been
  /// used before.
  std::vector<PoolDecision> Submit(const Submission& submission, TimePoint now);

  /// Records the end of a started request and returns decisions on waiters that
  /// now start or are refused. `retry_after` is the retry time that the target
  /// gave with kShed. Unknown ids are ignored.
  std::vector<PoolDecision> OnFinished(DispatchId id,
                                       TargetOutcome outcome,
                                       std::optional<Duration> retry_after,
                                       TimePoint now);

  /// Removes a waiting request. Returns false if it does not wait; a running
  /// request is ended by OnFinished only.
  bool Cancel(DispatchId id);

  /// Refuses waiters whose deadline has passed and starts those for which a
  /// slot is free.
  std::vector<PoolDecision> Tick(TimePoint now);
  /// Returns the earliest deadline of a waiter, by which Tick must be called,
  /// or std::nullopt if no request waits.
  std::optional<TimePoint> NextDeadline() const;

  /// Returns the targets that must be probed now.
  std::vector<Target> DueProbes(TimePoint now);
  /// Records the result of a probe and returns decisions on waiters that now
  /// start or are refused. Unknown targets are ignored.
  std::vector<PoolDecision> OnProbe(const ProbeResult& result, TimePoint now);

  PoolLoad LoadOf(const ServiceId& service, TimePoint now) const;
  /// Services that have a target whose home host is this host.
  std::vector<ServiceId> Services() const;
  /// Number of requests that run at a target, including a target whose home
  /// host is no longer this host. Zero for a leaving target means that this
  /// host has drained it.
  uint32_t InFlightAt(const TargetId& target) const;
  size_t running() const { return m_running.size(); }

 private:
  struct Member {
    TargetState state;
    // False if the target has another home host but still runs requests that
    // this host started.
    bool is_home = true;
  };
  struct Running {
    TargetId target;
    ServiceId service;
    TimePoint started_at;
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
  // Declared before m_services, which refers to its elements.
  std::map<TargetId, Member> m_targets;
  std::map<ServiceId, ServicePool> m_services;
  std::unordered_map<DispatchId, Running> m_running;
};

}  // namespace applestand

#endif  // LIB_TARGETS_TARGET_POOL_H_
