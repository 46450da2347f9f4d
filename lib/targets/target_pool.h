#ifndef LIB_TARGETS_TARGET_POOL_H_
#define LIB_TARGETS_TARGET_POOL_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "lib/targets/fair_queue.h"
#include "lib/targets/target_state.h"

namespace applestand {

/// Why a home host refuses a request. A refused request has not run.
enum class Refusal {
  /// This host is not home to a target of the service.
  kNotHome,
  /// Every target is closed, ejected or leaving.
  kNoUsableTarget,
  /// The queue, or the account's part of it, is full.
  kQueueFull,
  /// The deadline would come, or has come, before a slot is free.
  kDeadline,
};

const char* ToString(Refusal refusal);

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
  Refusal reason = Refusal::kNotHome;
  Duration retry_after = Duration::zero();
};

using Decision = std::variant<Start, Queued, Refused>;

/// Capacity of one service at one home host.
struct PoolLoad {
  /// Slots that may be in use now.
  uint32_t allowed = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  /// Time until a request that came now would start.
  Duration wait = Duration::zero();

  uint32_t Spare() const {
    const uint32_t used = in_flight + queued;
    return allowed > used ? allowed - used : 0;
  }
};

struct PoolPolicy {
  TargetPolicy target;
  FairQueueLimits queue;
  /// Service time that is assumed until one was seen.
  Duration assumed_service_time = std::chrono::milliseconds(20);
  /// Weight of the newest service time in the moving average.
  double service_time_gain = 0.05;
};

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
  std::vector<Decision> SetTargets(const std::vector<Target>& targets,
                                   TimePoint now);

  /// Decides on a request at once. The first decision is the one for
  /// `submission`; a Refused of a displaced waiter may follow.
  /// Precondition: `submission.id` has not been used before.
  std::vector<Decision> Submit(const Submission& submission, TimePoint now);

  /// Takes the end of a started request and says which waiters start.
  /// `retry_after` is the target's, with kShed. Unknown ids are ignored.
  std::vector<Decision> OnFinished(DispatchId id,
                                   Outcome outcome,
                                   std::optional<Duration> retry_after,
                                   TimePoint now);

  /// Drops a waiting request. False where it does not wait; a request that
  /// runs is ended by OnFinished alone.
  bool Cancel(DispatchId id);

  /// Refuses waiters whose deadline has come and starts those that can.
  std::vector<Decision> Tick(TimePoint now);
  /// When Tick has to be called next for a deadline; nothing while none waits.
  std::optional<TimePoint> NextWake() const;

  /// Targets to probe now.
  std::vector<Target> DueProbes(TimePoint now);
  std::vector<Decision> OnProbe(const ProbeResult& result, TimePoint now);

  PoolLoad LoadOf(const ServiceId& service, TimePoint now) const;
  std::vector<ServiceId> Services() const;
  /// Requests that run at a target, also one that this host is not home to
  /// any more. Zero on a leaving target: it is drained as far as this host is
  /// concerned.
  uint32_t InFlightAt(const TargetId& target) const;
  size_t running() const { return m_running.size(); }

 private:
  struct Service {
    std::vector<TargetId> targets;
    FairQueue queue;
    // Moving average, in seconds.
    double service_time = 0;
    size_t cursor = 0;
  };
  struct Running {
    TargetId target;
    ServiceId service;
    TimePoint since;
  };

  TargetState* PickTarget(Service& service,
                          const std::vector<TargetId>& avoid,
                          TimePoint now);
  TargetState* PickLastResort(Service& service, TimePoint now);
  void Dispatch(const ServiceId& id, TimePoint now, std::vector<Decision>& out);
  void RefuseAll(Service& service,
                 Refusal reason,
                 Duration retry_after,
                 std::vector<Decision>& out);
  uint32_t AllowedOf(const Service& service, TimePoint now) const;
  Duration WaitFor(const Service& service, double starts, TimePoint now) const;
  Duration UntilUsable(const Service& service, TimePoint now) const;

  const PoolPolicy m_policy;
  std::map<ServiceId, Service> m_services;
  std::map<TargetId, TargetState> m_targets;
  // Targets this host is no longer home to but that still run requests.
  std::map<TargetId, uint32_t> m_former;
  std::unordered_map<DispatchId, Running> m_running;
};

}  // namespace applestand

#endif  // LIB_TARGETS_TARGET_POOL_H_
