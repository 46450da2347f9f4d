#ifndef LIB_ROUTING_MODEL_BENCH_H_
#define LIB_ROUTING_MODEL_BENCH_H_

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

/// Sizes and delays of one operator's site.
struct Site {
  std::string name;
  std::vector<std::string> regions;
  /// Entry hosts of each region.
  std::vector<int> hosts;
  int targets = 0;
  uint32_t slots = 0;
  Duration service_time;
  Duration zone_delay;
  Duration region_delay;
  uint64_t link_bytes_per_second = 0;
};

Site LenhaViva();
Site Pwani();

enum class Scenario {
  kNormal,
  /// The largest account sends five times its rate.
  kAccountFiveTimes,
  /// One entry host dies.
  kDeadHost,
  /// Hosts and targets of one region die; its callers go to the others.
  kLostRegion,
  /// The targets of one region refuse connections; its hosts live.
  kLostTargets,
  /// One target is marked as leaving; hosts learn of it within a second.
  kDrainedTarget,
};

const char* ToString(Scenario scenario);

/// Runs tasks in order of virtual time.
class EventQueue {
 public:
  using Task = std::function<void()>;

  TimePoint now() const { return m_now; }
  void After(Duration delay, Task task);
  void Every(Duration period, const Task& task);
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
  uint64_t m_orders = 0;
  std::priority_queue<Event> m_events;
};

struct Place {
  int region = 0;
  int zone = 0;
};

struct SimHost {
  HostId id;
  Place place;
  bool alive = true;
};

/// A target that refuses whatever exceeds its slots.
struct SimTarget {
  Target config;
  Place place;
  bool alive = true;
  /// Claims to be idle, whatever it does.
  bool lies = false;
  uint32_t in_flight = 0;
  TimePoint last_start;
  TimePoint last_end;
};

enum class Answer {
  kServed,
  kShed,
  /// The connection was refused: not run.
  kUnreachable,
  /// The target died with the request.
  kCut,
};

struct Request {
  uint64_t id = 0;
  int account = 0;
  int host = 0;
  TimePoint arrived;
  TimePoint deadline;
  bool measured = false;
};

struct AccountCounts {
  uint64_t asked = 0;
  uint64_t served = 0;
  std::vector<float> latencies_ms;
};

/// Figures of one run; latencies are from the entry host's view.
struct Result {
  std::vector<AccountCounts> accounts;
  uint64_t sheds = 0;
  uint64_t refused = 0;
  /// Died with the host that had them, or unanswered at the end.
  uint64_t cut = 0;
  uint64_t between_regions = 0;
  /// Mean free slots of the fullest region, in 1/100 of its live slots.
  double headroom_percent = 0;
  /// From the drain order to the end of the last request there.
  double drain_ms = 0;
  /// Starts at the drained target later than 3 s after the order.
  uint64_t late_starts = 0;
};

/// Targets, network and callers of one run; what is compared derives from it.
class World {
 public:
  World(const Site& site, Scenario scenario, bool lying_reports);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  virtual ~World() = default;

  Result Run();

 protected:
  /// Brings a request to its end by End(), once.
  virtual void Arrive(Request& request) = 0;
  /// Called once before the run.
  virtual void Begin() = 0;
  /// A host learns which hosts live, or which target leaves.
  virtual void OnMembership() = 0;
  virtual void OnLeaving(int host) = 0;

  /// An open request; null where it has ended or its host died.
  Request* Find(uint64_t id);
  void End(Request& request, bool served);
  /// Sends one request to a target; `done` runs back at the sender.
  void Call(const Place& from,
            SimTarget& target,
            const std::function<void(Answer)>& done);
  /// Part of the traffic that the account's contract stands for.
  static double ContractPart(int account);
  Duration DelayBetween(const Place& a, const Place& b) const;
  std::vector<LiveHost> LiveHosts() const;

  const Site m_site;
  const Scenario m_scenario;
  EventQueue m_events;
  std::mt19937_64 m_random{20266};
  std::vector<SimHost> m_hosts;
  std::map<TargetId, SimTarget> m_targets;
  Result m_result;

 private:
  void MakeHosts();
  void MakeTargets(bool lying_reports);
  void ScheduleArrival();
  void ArriveOne();
  int PickAccount();
  int PickHost();
  void Fault();
  void KillHost(int host);
  void LoseRegion(bool with_hosts);
  void Drain();
  void SampleHeadroom();
  double ArrivalsPerSecond() const;

  std::vector<double> m_weights;
  std::map<uint64_t, Request> m_requests;
  uint64_t m_last_request = 0;
  bool m_measuring = false;
  TimePoint m_drained_at;
  std::vector<double> m_free_sum;
  uint64_t m_samples = 0;
};

/// Index of the account that misbehaves in kAccountFiveTimes.
constexpr int kNoisyAccount = 0;
/// Region that is lost, and whose first target is drained.
constexpr int kFaultyRegion = 1;

}  // namespace applestand::bench

#endif  // LIB_ROUTING_MODEL_BENCH_H_
