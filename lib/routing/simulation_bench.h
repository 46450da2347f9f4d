#ifndef LIB_ROUTING_SIMULATION_BENCH_H_
#define LIB_ROUTING_SIMULATION_BENCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "lib/base/clock.h"
#include "lib/targets/home_map.h"

namespace applestand::bench {

/// Size and delays of one simulated deployment.
struct Deployment {
  std::string name;
  std::vector<std::string> regions;
  /// Number of entry hosts by region.
  std::vector<int> hosts;
  int targets = 0;
  /// Slots of each target.
  uint32_t slots = 0;
  /// Mean service time.
  Duration service_time;
  /// One-way network delays.
  Duration zone_delay;
  Duration region_delay;
  uint64_t link_bytes_per_second = 0;
};

Deployment LenhaViva();
Deployment Pwani();

enum class Scenario {
  kNormal,
  /// The largest account sends five times its rate.
  kAccountFiveTimes,
  /// One entry host crashes.
  kCrashedHost,
  /// The hosts and targets of one region crash; its callers use other regions.
  kLostRegion,
  /// The targets of one region refuse connections; its hosts keep running.
  kLostTargets,
  /// One target is marked as leaving; hosts learn of it within one second.
  kDrainedTarget,
};

const char* ToString(Scenario scenario);

/// Runs tasks in order of virtual time.
class EventQueue {
 public:
  using Task = std::function<void()>;

  TimePoint now() const { return m_now; }
  /// Runs `task` after `delay`, in order of the calls if times are equal.
  void After(Duration delay, Task task);
  /// Runs `task` after each `period`, without end.
  void Every(Duration period, const Task& task);
  /// Runs all tasks due by `end` and sets the time to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    Task task;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_last_order = 0;
  std::priority_queue<Event> m_events;
};

struct Location {
  int region = 0;
  int zone = 0;
};

struct SimHost {
  HostId id;
  Location location;
  bool alive = true;
};

/// A target that sheds requests beyond its slots.
struct SimTarget {
  Target config;
  Location location;
  bool alive = true;
  /// Always reports that it is idle.
  bool underreports_load = false;
  uint32_t in_flight = 0;
  TimePoint last_start;
  TimePoint last_end;
};

enum class CallOutcome {
  kServed,
  kShed,
  /// The connection was refused: not run.
  kUnreachable,
  /// The target crashed while it ran the request.
  kConnectionLost,
};

struct Request {
  uint64_t id = 0;
  int account = 0;
  int host = 0;
  TimePoint arrival_time;
  TimePoint deadline;
  bool measured = false;
};

struct AccountCounts {
  uint64_t received = 0;
  uint64_t served = 0;
  std::vector<float> latencies_ms;
};

/// Results of one run. Latencies are measured at the entry host.
struct Result {
  std::vector<AccountCounts> accounts;
  uint64_t sheds = 0;
  uint64_t refused = 0;
  /// Requests lost in the crash of their entry host or not completed by the
  /// end.
  uint64_t lost = 0;
  uint64_t cross_region = 0;
  /// Mean percentage of free slots in the region with the fewest.
  double headroom_percent = 0;
  /// Time from the drain order to the end of the last request at the target.
  double drain_ms = 0;
  /// Starts at the drained target more than 3 s after the order.
  uint64_t late_starts = 0;
};

/// Simulates the targets, network and callers of one run. Each compared routing
/// algorithm is a derived class.
class Simulation {
 public:
  Simulation(const Deployment& deployment,
             Scenario scenario,
             bool underreported_load);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;
  virtual ~Simulation() = default;

  Result Run();

 protected:
  /// Handles a new request. Must cause exactly one call of End for it.
  virtual void Arrive(Request& request) = 0;
  /// Called once before the run.
  virtual void Begin() = 0;
  /// Called when the set of live hosts has changed.
  virtual void OnMembership() = 0;
  /// Called when `host` learns that a target is leaving.
  virtual void OnDrain(int host) = 0;

  /// Returns an unfinished request, or nullptr if it has ended or its entry
  /// host has crashed.
  Request* Find(uint64_t id);
  void End(Request& request, bool served);
  /// Sends one request to a target. `done` runs when the outcome reaches the
  /// sender.
  void Call(const Location& from,
            SimTarget& target,
            const std::function<void(CallOutcome)>& done);
  /// Returns the fraction of the traffic that the account's contract covers.
  static double ContractFraction(int account);
  Duration DelayBetween(const Location& a, const Location& b) const;
  std::vector<LiveHost> LiveHosts() const;

  const Deployment m_deployment;
  const Scenario m_scenario;
  EventQueue m_events;
  std::mt19937_64 m_random{20266};
  std::vector<SimHost> m_hosts;
  std::map<TargetId, SimTarget> m_targets;
  Result m_result;

 private:
  void MakeHosts();
  void MakeTargets(bool underreported_load);
  void ScheduleArrival();
  void GenerateRequest();
  int PickAccount();
  int PickHost();
  void InjectFault();
  void CrashHost(int host);
  void LoseRegion(bool with_hosts);
  void Drain();
  void SampleHeadroom();
  double ArrivalsPerSecond() const;

  std::vector<double> m_weights;
  std::map<uint64_t, Request> m_requests;
  uint64_t m_last_request = 0;
  bool m_measuring = false;
  TimePoint m_drain_ordered_at;
  std::vector<double> m_free_sum;
  uint64_t m_samples = 0;
};

/// Index of the account that exceeds its rate in kAccountFiveTimes.
constexpr int kNoisyAccount = 0;
/// Index of the region that is lost, or whose first target is drained.
constexpr int kFaultyRegion = 1;

}  // namespace applestand::bench

#endif  // LIB_ROUTING_SIMULATION_BENCH_H_
