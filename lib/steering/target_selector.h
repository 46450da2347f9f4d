#ifndef LIB_STEERING_TARGET_SELECTOR_H_
#define LIB_STEERING_TARGET_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "lib/steering/region_load_aggregator.h"
#include "lib/steering/service_time_estimate.h"
#include "lib/steering/serving_config.h"
#include "lib/steering/spill_control.h"
#include "lib/steering/steering_target.h"
#include "lib/steering/target_notices.h"
#include "lib/steering/target_rate_limits.h"
#include "lib/steering/target_reachability.h"
#include "lib/steering/window_counter.h"

namespace applestand {

/// Window in which requests to a cold target are limited: 1 s, plus a margin
/// for delays on the way to the target.
constexpr Duration kColdWindow = std::chrono::milliseconds(1100);

struct SelectorOptions {
  HostId self;
  RegionId region;
  ZoneId zone;
  /// A cold target gets at most cold_rate x cold_excess + cold_slack requests
  /// in any second, over all hosts. See ServingService::cold_rate.
  double cold_excess = 1.5;
  double cold_slack = 5;
  SpillOptions spill;
  /// Bound on the requests to a target that names a limit.
  TargetRateBounds rate_bounds;
};

/// The properties of a request that determine the choice of its target.
struct TargetQuery {
  ServiceId service;
  /// Hash of the object that the request refers to, used as its affinity key.
  /// std::nullopt if the request refers to no object, or if the route does not
  /// benefit from affinity (see ServingRoute::sticky).
  std::optional<uint64_t> object;
  /// Regions in which the request may be processed; std::nullopt means any.
  std::optional<std::vector<RegionId>> home_regions;
  /// Targets that the request has been sent to already.
  std::set<TargetId> tried;
  /// Time left until the latency objective of the route passes; may be
  /// negative.
  Duration latency_objective_left{};
  /// Time left until the deadline of the request.
  Duration time_left{};
  /// 0 is the highest priority.
  int priority = 0;
  size_t body_bytes = 0;
};

struct TargetChoice {
  TargetId target;
  std::string address;
  /// Expected time until the response.
  Duration expected{};
  /// The target is in another region.
  bool remote = false;
};

enum class NoTargetReason {
  /// The service has no target that may process the request.
  kNoTarget,
  /// Every target that may process the request is ejected, or has got as many
  /// requests as it takes now: it is cold, or it has named a limit.
  kUnavailable,
  /// Every target that may process the request has asked this host for a rest.
  kResting,
  /// No target is expected to respond in time.
  kOverloaded,
};

const char* ToString(NoTargetReason reason);

struct NoTarget {
  NoTargetReason reason = NoTargetReason::kNoTarget;
  /// Time until a target may be available.
  Duration retry_after{};
};

/// Outcome of an attempt, by what it says about the target.
enum class AttemptOutcome {
  kAnswered,
  /// The target rejected the request because of load and has not processed it.
  kShed,
  /// The target responded with a server error.
  kError,
  /// No connection to the target could be established.
  kUnreachable,
  /// The connection ended, or the time limit passed, without a response.
  kLost,
  /// Another target responded at the address.
  kMisdirected,
  /// The attempt was cancelled, for example because the caller disconnected.
  kAbandoned,
};

/// Chooses a target for each request of one host. It knows all targets: their
/// own descriptions, the loads that they report, and the outcomes of this
/// host's attempts.
///
/// All hosts send the requests for an object to the same few targets
/// (rendezvous hashing), because a target that handled an object recently
/// responds faster. If a target has a queue, the request goes to the next one
/// as soon as waiting costs more than processing a cold object there.
/// SpillControl limits the share of requests that leave the region.
///
/// Not thread-safe.
class TargetSelector {
 public:
  explicit TargetSelector(const SelectorOptions& options)
      : m_options(options), m_rate_limits(options.rate_bounds, options.self) {}

  /// Adds a target, or replaces its description. If its incarnation has
  /// changed, what was learned about the previous one is discarded.
  void Update(const SteeringTarget& target, TimePoint now);
  /// Removes a target, if known.
  void Remove(const TargetId& target, TimePoint now);
  void SetServices(const std::map<ServiceId, ServingService>& services) {
    m_services = services;
  }
  /// Sets the zones whose targets get no requests. Targets of a zone that was
  /// evacuated before and is no longer are assumed to be cold for
  /// ServingService::cold_time, or until their next Update().
  void SetEvacuatedZones(const std::set<ZoneId>& zones, TimePoint now);
  /// Sets the number of hosts among which the limits on requests to cold
  /// targets are divided (at least 1), and this host's rank among them. Cold
  /// targets get no requests before the first call.
  void SetHosts(uint32_t hosts, uint32_t own_rank) {
    m_hosts = hosts;
    m_own_rank = own_rank;
  }

  /// Before `time`, targets and hosts are still being discovered. Until then
  /// the share of requests that leave the region is computed from the numbers
  /// of slots and hosts instead of the load, as it is while there are no
  /// requests.
  void SetWarmUpEnd(TimePoint time) { m_warm_up_end = time; }
  /// Prevents requests to cold targets before `time`.
  void BlockColdTargetsUntil(TimePoint time) { m_cold_blocked_until = time; }
  /// Sets the number of live hosts of the local region. They are assumed to get
  /// requests similar to those of this host.
  void SetRegionHosts(uint32_t hosts) { m_region_hosts = hosts; }
  /// Sets the live hosts, which divide the limits that targets name. Must be
  /// called several times a second.
  void SetLiveHosts(const HostsByRegion& hosts, TimePoint now) {
    m_rate_limits.SetHosts(hosts, now);
  }

  /// Chooses a target for a request. OnSent() must be called if the request is
  /// then sent to it.
  [[nodiscard]] std::variant<TargetChoice, NoTarget> Choose(
      const TargetQuery& query,
      TimePoint now);

  /// Called when a request is sent to the target. Ignored if the target is
  /// unknown.
  AttemptConditions OnSent(const TargetId& target,
                           const std::optional<uint64_t>& object,
                           TimePoint now);
  /// Called when the attempt has ended, `took` after it was sent. `report` is
  /// the load that the target reported, if any, and `conditions` is the result
  /// of OnSent(). Ignored if the target is unknown.
  void OnAttemptEnd(const TargetId& target,
                    AttemptOutcome outcome,
                    Duration took,
                    const std::optional<LoadReport>& report,
                    const AttemptConditions& conditions,
                    TimePoint now);

  /// Called when the target has responded to a request that was sent at `sent`.
  /// `max_request_rate` is the limit that the response names, if any. Returns
  /// the change of the limit, if there is one. Ignored if the target is
  /// unknown.
  std::optional<TargetRateLimits::Change> OnRateLimit(
      const TargetId& target,
      std::optional<double> max_request_rate,
      TimePoint sent,
      TimePoint now);

  /// Called when the target has turned a request away and wants no requests
  /// from this host for `rest`. `sent_to` is the target as it was known when
  /// the request was sent, at `sent`. Returns whether it was not at rest
  /// before.
  bool OnRest(const SteeringTarget& sent_to,
              TimePoint sent,
              Duration rest,
              TimePoint now) {
    return m_notices.OnRest(sent_to, sent, rest, now);
  }
  /// Called when the target has said in a response that it leaves. `sent_to` is
  /// the target as it was known when the request was sent, at `sent`. Returns
  /// whether this was not known before.
  bool OnLeaving(const SteeringTarget& sent_to, TimePoint sent, TimePoint now) {
    return m_notices.OnLeaving(sent_to, sent, now);
  }
  /// Returns whether the target, as described, must not get new requests
  /// because it leaves, by its description or by what it said in a response.
  bool IsLeaving(const SteeringTarget& target) const {
    return target.draining || m_notices.IsLeaving(target);
  }
  /// Returns the time until the first of the targets that may process the
  /// request has had its rest, or std::nullopt if some are not at rest or there
  /// are none. Targets that were tried already count too.
  std::optional<Duration> RestOfAll(const TargetQuery& query,
                                    TimePoint now) const;

  /// Called when this host's links to the targets are back, so that failures to
  /// connect told nothing about the targets.
  void ForgetUnreachable(TimePoint now);

  /// Returns this host's requests in flight.
  TargetCounts InFlight() const;
  /// Sets the requests in flight of all hosts of the region. `own` is the part
  /// of `totals` that this host reported.
  void SetRegionLoad(const TargetCounts& totals,
                     const TargetCounts& own,
                     TimePoint now);

  /// Updates the shares of requests that leave the region and discards expired
  /// state. Must be called about every 250 ms.
  void Tick(TimePoint now);

  /// Returns the description of a target, or null if it is unknown. The result
  /// is valid until the target is removed.
  const SteeringTarget* Find(const TargetId& target) const;
  /// Returns the targets that may be probed: those that may get requests and
  /// are neither cold nor limited nor at rest.
  std::vector<ProbeCandidate> ProbeCandidates(TimePoint now) const;
  /// Returns the number of known targets.
  size_t size() const { return m_targets.size(); }
  /// Returns the number of targets that have named a limit on their requests.
  size_t limited_targets() const { return m_rate_limits.size(); }
  /// Returns the number of targets that have asked this host for a rest.
  size_t CountResting(TimePoint now) const {
    return m_notices.CountResting(now);
  }
  /// Returns the share of the service's requests that leaves the region, from 0
  /// to 1.
  double SpilloverShare(const ServiceId& service) const;

 private:
  struct State {
    SteeringTarget info;
    // Full hash of the target's id, for rendezvous hashing.
    uint64_t hash = 0;
    // Identifies the target in messages between hosts.
    TargetIdHash id_hash = 0;
    // Requests of this host.
    uint32_t in_flight = 0;
    // Requests of other hosts according to the target's last LoadReport.
    double others_in_flight = 0;
    TimePoint reported_at;
    bool reported = false;
    // Requests of the region's other hosts, as of m_region_load_at.
    uint32_t region_others_in_flight = 0;
    // Moving average of the time that the target works on a request for a warm
    // object, in seconds, as of latency_decay_start; 0 if there was no response
    // yet.
    double latency_s = 0;
    // The same average over requests for warm and cold objects: what a request
    // that waits for a slot has to wait for.
    double work_s = 0;
    // The penalty for a high latency_s decays from this time on: the last
    // response to a request for a warm object, or one for a cold object that
    // confirms it, or the last attempt that got no response.
    TimePoint latency_decay_start;
    // Moving average of the fraction of attempts that failed, as of
    // failure_rate_updated_at.
    double failure_rate = 0;
    TimePoint failure_rate_updated_at;
    // Failures to connect since the last response.
    uint32_t connect_failures = 0;
    TimePoint ejected_until;
    TimePoint cold_until;
    // No requests are sent to the target before this time while it is cold: if
    // its row was removed and added again, requests from before the removal may
    // still count towards its limit.
    TimePoint cold_blocked_until;
    // The target may have restarted without notice, so it is assumed to be cold
    // from the next request on.
    bool cold_on_next_request = false;
    WindowCounter cold_sent{kColdWindow};
    // Time of this host's last request for each object.
    std::unordered_map<uint64_t, TimePoint> object_sent_at;
  };
  struct Candidate {
    State* state = nullptr;
    // Orders the targets of an object; the largest one has rank 0.
    uint64_t rank_hash = 0;
    // Expected response time plus penalties. The cheapest candidate is chosen.
    double cost_s = 0;
    // Expected response time.
    double expected_s = 0;
    // The expected time for which the request waits for a slot, and for which
    // the target then works on it if the object is warm. A request is admitted
    // by these: one for a cold object makes later ones fast, and callers of all
    // regions have the same chance of a slot.
    double wait_s = 0;
    double work_s = 0;
    // Requests that would wait for a slot, including the new one.
    double queue = 0;
  };

  bool IsInHomeRegions(const State& state, const TargetQuery& query) const;
  bool IsEvacuated(const State& state) const;
  bool IsResting(const State& state, TimePoint now) const;
  // Returns whether the target may ever get the request: it neither leaves nor
  // is evacuated, and in a home region of the request.
  bool IsEligible(const State& state, const TargetQuery& query) const;
  bool ColdLimitAllows(State& state, TimePoint now) const;
  // Returns the estimated number of requests at the target, from all hosts.
  double Occupancy(const State& state, TimePoint now) const;
  // Returns the estimated number of requests that wait for a slot of the
  // target, including a new one.
  double Queue(const State& state, TimePoint now) const;
  // Returns whether the target has probably handled the object recently.
  bool IsWarm(const State& state, uint64_t object, TimePoint now) const;
  // Returns how many of the target's slots its limit on requests lets work.
  double UsableSlots(const State& state) const;
  // Returns State::latency_s after its decay towards the usual time.
  double LatencySeconds(const State& state,
                        double service_s,
                        TimePoint now) const;
  // Returns by how much the target is slower than its service usually is.
  double SlowFactor(const State& state, double service_s, TimePoint now) const;
  double FailureRate(const State& state, TimePoint now) const;
  // Returns the mean time that targets of the service work on a request for a
  // warm object.
  double ServiceSeconds(const ServiceId& service) const;
  // Computes the cost, expected response time and queue of a candidate.
  void Evaluate(Candidate& candidate,
                const TargetQuery& query,
                size_t rank,
                TimePoint now) const;
  // Returns the available targets of the local region, or of the other regions
  // if `remote`, ranked by `order`. Sets `any` if some target that is not at
  // rest may process the request, even if it is not available now.
  std::vector<Candidate> FindCandidates(const TargetQuery& query,
                                        uint64_t order,
                                        bool remote,
                                        bool& any,
                                        TimePoint now);

  const SelectorOptions m_options;
  std::map<ServiceId, ServingService> m_services;
  std::map<TargetId, State> m_targets;
  std::map<ServiceId, std::vector<State*>> m_by_service;
  // Removal times of targets, kept for kColdWindow.
  std::map<TargetId, TimePoint> m_removed_at;
  std::map<ServiceId, ServiceTimeEstimate> m_service_times;
  std::map<ServiceId, SpillControl> m_spill;
  TargetRateLimits m_rate_limits;
  TargetNotices m_notices;
  std::set<ZoneId> m_evacuated;
  // 0 if not known yet.
  uint32_t m_hosts = 0;
  uint32_t m_own_rank = 0;
  // Counts requests without object, to hash each of them to another value.
  uint64_t m_objectless_requests = 0;
  uint32_t m_region_hosts = 1;
  TimePoint m_region_load_at = TimePoint::min();
  TimePoint m_cold_blocked_until = TimePoint::min();
  TimePoint m_warm_up_end = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_SELECTOR_H_
