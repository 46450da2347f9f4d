#ifndef LIB_STEERING_TARGET_BOARD_H_
#define LIB_STEERING_TARGET_BOARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "lib/steering/region_tally.h"
#include "lib/steering/serving_config.h"
#include "lib/steering/spill_control.h"
#include "lib/steering/steering_target.h"
#include "lib/steering/window_counter.h"

namespace applestand {

/// Window in which requests to a cold target are bounded, and some delay.
constexpr Duration kColdWindow = std::chrono::milliseconds(1100);

struct BoardOptions {
  RegionId region;
  ZoneId zone;
  /// More than its cold rate that a cold target may get in one second:
  /// rate x excess + slack.
  double cold_excess = 1.5;
  double cold_slack = 5;
  SpillOptions spill;
};

/// A request that needs a target.
struct TargetQuery {
  ServiceId service;
  /// Hash of the object that the request is about; nothing where it has none
  /// or the route does not profit.
  std::optional<uint64_t> object;
  /// Regions in which it may run; nothing: any.
  std::optional<std::vector<RegionId>> homes;
  /// Targets that had the request before.
  std::set<TargetId> tried;
  Duration goal_left{};
  Duration time_left{};
  int priority = 0;
  size_t body_bytes = 0;
};

struct TargetChoice {
  TargetId target;
  std::string address;
  /// Time in which an answer is expected.
  Duration expected{};
  /// Hosts may use that many connections to it.
  bool remote = false;
};

enum class NoTargetReason {
  /// No target of the service may run the request.
  kNone,
  /// Every target that may is closed after failures, or cold and at its bound.
  kClosed,
  /// No target would answer in time.
  kBusy,
};

const char* ToString(NoTargetReason reason);

struct NoTarget {
  NoTargetReason reason = NoTargetReason::kNone;
  /// When a target may be free.
  Duration retry_after{};
};

/// How an attempt ended, as far as it tells of the target.
enum class AttemptOutcome {
  kAnswered,
  /// The target refused and has not run the request.
  kShed,
  /// The target answered with a failure of its own.
  kError,
  /// No connection could be made.
  kUnreachable,
  /// The connection ended, or time ran out, without an answer.
  kLost,
  /// Another target has the address.
  kMisdirected,
  /// The caller went away.
  kAbandoned,
};

/// All targets as one host sees them: what they say of themselves, what this
/// host's own requests met, and the choice among them.
///
/// An object's requests go to the same few targets from every host (rendezvous
/// hashing), since a target that lately handled an object is faster at it. A
/// target with a queue loses to the next one once waiting costs more than a
/// cold start there. Requests leave the region only as far as SpillControl
/// lets them.
///
/// Not thread-safe.
class TargetBoard {
 public:
  explicit TargetBoard(const BoardOptions& options) : m_options(options) {}

  /// Takes over what a target says now.
  void Put(const SteeringTarget& target, TimePoint now);
  /// The target is gone.
  void Remove(const TargetId& target, TimePoint now);
  void SetServices(const std::map<ServiceId, ServingService>& services) {
    m_services = services;
  }
  /// Zones whose targets get nothing. Targets of a zone that is taken back are
  /// taken to be cold until they say otherwise.
  void SetEvacuated(const std::set<ZoneId>& zones, TimePoint now);
  /// Number of hosts that share bounds on targets; at least 1.
  void SetHosts(uint32_t hosts, uint32_t own_rank) {
    m_hosts = hosts;
    m_own_rank = own_rank;
  }

  /// Until `time` the board learns what there is: shares of requests that leave
  /// the region are set by it.
  void BeginUntil(TimePoint time) { m_begins_until = time; }
  /// Sends nothing to cold targets before `time`.
  void SpareColdUntil(TimePoint time) { m_spare_cold_until = time; }
  /// Number of live hosts of the own region; their requests are much like this
  /// host's own.
  void SetRegionHosts(uint32_t hosts) { m_region_hosts = hosts; }

  /// Chooses a target; the caller then sends, and calls OnSent.
  [[nodiscard]] std::variant<TargetChoice, NoTarget> Choose(
      const TargetQuery& query,
      TimePoint now);

  /// A request leaves for the target.
  void OnSent(const TargetId& target,
              const std::optional<uint64_t>& object,
              TimePoint now);
  /// The attempt has ended after `took`. `report` is the target's own account
  /// of its load, if it gave one.
  void OnEnd(const TargetId& target,
             AttemptOutcome end,
             Duration took,
             const std::optional<LoadReport>& report,
             TimePoint now);

  /// This host's requests under way.
  TargetCounts InFlight() const;
  /// What the hosts of the region had under way together, `own` of it by this
  /// host.
  void SetRegionLoad(const TargetCounts& totals,
                     const TargetCounts& own,
                     TimePoint now);

  /// Takes decisions that follow from time; call about every 250 ms.
  void Tick(TimePoint now);

  /// Where a target is reached and whether it may get requests; null where it
  /// is unknown.
  const SteeringTarget* Find(const TargetId& target) const;
  size_t size() const { return m_targets.size(); }
  double SpillOf(const ServiceId& service) const;

 private:
  struct State {
    SteeringTarget facts;
    uint64_t hash = 0;
    TargetKey key = 0;
    uint32_t in_flight = 0;
    // Requests of other hosts at the last report.
    double others = 0;
    TimePoint reported_at;
    bool reported = false;
    // Requests of the region's other hosts, as of m_region_load_at.
    uint32_t region_others = 0;
    // Moving average of answers' times, in seconds; 0: none yet.
    double latency_s = 0;
    TimePoint answered_at;
    // Moving share of attempts that failed.
    double failure_rate = 0;
    TimePoint failed_at;
    uint32_t unreachable = 0;
    TimePoint closed_until;
    TimePoint cold_until;
    // Requests from before the target's row was removed for a moment may still
    // count against its bound while cold.
    TimePoint spare_cold_until;
    // The target may have begun anew unseen: cold once it is used again.
    bool cold_when_back = false;
    WindowCounter cold_sent{kColdWindow};
    // When this host last sent a request about an object.
    std::unordered_map<uint64_t, TimePoint> objects;
  };
  struct Candidate {
    State* state = nullptr;
    uint64_t rank_hash = 0;
    double cost_s = 0;
    double expected_s = 0;
    double queue = 0;
  };

  bool InHomes(const State& state, const TargetQuery& query) const;
  bool Evacuated(const State& state) const;
  bool ColdAllows(State& state, TimePoint now) const;
  double Occupancy(const State& state, TimePoint now) const;
  double SlowFactor(const State& state, double service_s, TimePoint now) const;
  double FailureRate(const State& state, TimePoint now) const;
  double ServiceSeconds(const ServiceId& service) const;
  void Rate(Candidate& candidate,
            const TargetQuery& query,
            size_t rank,
            TimePoint now) const;
  std::vector<Candidate> Candidates(const TargetQuery& query,
                                    bool remote,
                                    bool& any,
                                    TimePoint now);

  const BoardOptions m_options;
  std::map<ServiceId, ServingService> m_services;
  std::map<TargetId, State> m_targets;
  std::map<ServiceId, std::vector<State*>> m_by_service;
  // When targets were removed, for as long as that matters.
  std::map<TargetId, TimePoint> m_removed_at;
  std::map<ServiceId, double> m_service_s;
  std::map<ServiceId, SpillControl> m_spill;
  std::set<ZoneId> m_evacuated;
  // 0: not known yet.
  uint32_t m_hosts = 0;
  uint32_t m_own_rank = 0;
  // Makes the draws of requests without object differ.
  uint64_t m_draws = 0;
  uint32_t m_region_hosts = 1;
  TimePoint m_region_load_at = TimePoint::min();
  TimePoint m_spare_cold_until = TimePoint::min();
  TimePoint m_begins_until = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_BOARD_H_
