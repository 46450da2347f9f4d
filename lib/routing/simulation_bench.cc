#include "lib/routing/simulation_bench.h"

#include <algorithm>

namespace applestand::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kUtilization = 0.6;
constexpr Duration kWarmUp = seconds(15);
constexpr Duration kMeasuredTime = seconds(20);
constexpr Duration kFaultAfter = seconds(5);
constexpr Duration kDeadline = seconds(1);
constexpr Duration kSameZoneDelay = microseconds(200);
constexpr Duration kDrainGracePeriod = seconds(3);
// Fraction of the traffic by account; a few accounts send most of it.
const std::vector<double> kAccountFractions = {0.30, 0.25, 0.15, 0.10,
                                               0.08, 0.06, 0.04, 0.02};

}  // namespace

Deployment LenhaViva() {
  return {"Lenha Viva",
          {"norte", "centro", "sul"},
          {4, 3, 3},
          30,
          4,
          milliseconds(20),
          milliseconds(1),
          milliseconds(20),
          280'000'000 / 8};
}

Deployment Pwani() {
  return {"Pwani",
          {"dar", "znz", "mtwara"},
          {4, 3, 3},
          24,
          6,
          milliseconds(30),
          microseconds(500),
          milliseconds(35),
          4'000'000'000 / 8};
}

const char* ToString(Scenario scenario) {
  switch (scenario) {
    case Scenario::kNormal:
      return "normal 60%";
    case Scenario::kAccountFiveTimes:
      return "account at 5x";
    case Scenario::kCrashedHost:
      return "dead host";
    case Scenario::kLostRegion:
      return "lost region";
    case Scenario::kLostTargets:
      return "lost targets";
    case Scenario::kDrainedTarget:
      return "drained target";
  }
  return "";
}

void EventQueue::After(Duration delay, Task task) {
  m_events.push({m_now + delay, ++m_last_order, std::move(task)});
}

void EventQueue::Every(Duration period, const Task& task) {
  After(period, [this, period, task] {
    task();
    Every(period, task);
  });
}

void EventQueue::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.task();
  }
  m_now = end;
}

Simulation::Simulation(const Deployment& deployment,
                       Scenario scenario,
                       bool underreported_load)
    : m_deployment(deployment),
      m_scenario(scenario),
      m_weights(kAccountFractions),
      m_free_sum(deployment.regions.size()) {
  m_result.accounts.resize(m_weights.size());
  if (scenario == Scenario::kAccountFiveTimes) {
    m_weights[kNoisyAccount] *= 5;
  }
  MakeHosts();
  MakeTargets(underreported_load);
}

Result Simulation::Run() {
  Begin();
  ScheduleArrival();
  const TimePoint begin = m_events.now() + kWarmUp;
  m_events.After(kWarmUp, [this] { m_measuring = true; });
  m_events.After(kWarmUp + kFaultAfter, [this] { InjectFault(); });
  m_events.Every(milliseconds(10), [this] { SampleHeadroom(); });
  m_events.RunUntil(begin + kMeasuredTime);
  m_measuring = false;
  m_events.RunUntil(begin + kMeasuredTime + 3 * kDeadline);
  for (const auto& [id, request] : m_requests) {
    m_result.lost += request.measured ? 1 : 0;
  }
  const auto samples = static_cast<double>(std::max<uint64_t>(m_samples, 1));
  m_result.headroom_percent =
      *std::min_element(m_free_sum.begin(), m_free_sum.end()) / samples * 100;
  for (const auto& [id, target] : m_targets) {
    if (target.config.leaving) {
      m_result.drain_ms =
          1000 * ToSeconds(target.last_end - m_drain_ordered_at);
    }
  }
  return m_result;
}

Request* Simulation::Find(uint64_t id) {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : &found->second;
}

void Simulation::End(Request& request, bool served) {
  if (request.measured) {
    AccountCounts& counts = m_result.accounts[request.account];
    counts.served += served ? 1 : 0;
    m_result.refused += served ? 0 : 1;
    if (served) {
      const Duration latency = m_events.now() - request.arrival_time;
      counts.latencies_ms.push_back(
          static_cast<float>(1000 * ToSeconds(latency)));
    }
  }
  m_requests.erase(request.id);
}

void Simulation::Call(const Location& from,
                      SimTarget& target,
                      const std::function<void(CallOutcome)>& done) {
  const Duration delay = DelayBetween(from, target.location);
  m_events.After(delay, [this, &target, delay, done] {
    if (!target.alive) {
      m_events.After(delay, [done] { done(CallOutcome::kUnreachable); });
      return;
    }
    if (target.in_flight >= target.config.slots) {
      m_result.sheds += m_measuring ? 1 : 0;
      m_events.After(delay, [done] { done(CallOutcome::kShed); });
      return;
    }
    ++target.in_flight;
    target.last_start = m_events.now();
    if (target.config.leaving &&
        m_events.now() - m_drain_ordered_at > kDrainGracePeriod) {
      ++m_result.late_starts;
    }
    const double mean = ToSeconds(m_deployment.service_time);
    std::exponential_distribution<double> tail(2 / mean);
    const double service = mean / 2 + tail(m_random);
    m_events.After(Duration(static_cast<int64_t>(service * 1e6)),
                   [this, &target, delay, done] {
                     --target.in_flight;
                     target.last_end = m_events.now();
                     const CallOutcome outcome =
                         target.alive ? CallOutcome::kServed
                                      : CallOutcome::kConnectionLost;
                     m_events.After(delay, [done, outcome] { done(outcome); });
                   });
  });
}

double Simulation::ContractFraction(int account) {
  return kAccountFractions[account];
}

Duration Simulation::DelayBetween(const Location& a, const Location& b) const {
  if (a.region != b.region) {
    return m_deployment.region_delay;
  }
  return a.zone == b.zone ? kSameZoneDelay : m_deployment.zone_delay;
}

std::vector<LiveHost> Simulation::LiveHosts() const {
  std::vector<LiveHost> live;
  for (const SimHost& host : m_hosts) {
    if (host.alive) {
      live.push_back(
          {host.id, RegionId(m_deployment.regions[host.location.region])});
    }
  }
  return live;
}

void Simulation::MakeHosts() {
  for (size_t region = 0; region < m_deployment.regions.size(); ++region) {
    for (int i = 0; i < m_deployment.hosts[region]; ++i) {
      const std::string id = m_deployment.regions[region] + std::to_string(i);
      m_hosts.push_back({HostId(id), {static_cast<int>(region), i % 2}, true});
    }
  }
}

void Simulation::MakeTargets(bool underreported_load) {
  const int regions = static_cast<int>(m_deployment.regions.size());
  for (int i = 0; i < m_deployment.targets; ++i) {
    SimTarget target;
    target.location = {i % regions, i / regions % 2};
    const std::string& region = m_deployment.regions[target.location.region];
    target.config.id = TargetId(region + "-t" + std::to_string(i));
    target.config.service = ServiceId("desk");
    target.config.region = RegionId(region);
    target.config.slots = m_deployment.slots;
    target.underreports_load = underreported_load && i / regions % 4 == 0;
    m_targets[target.config.id] = target;
  }
}

double Simulation::ArrivalsPerSecond() const {
  double weight = 0;
  for (const double fraction : m_weights) {
    weight += fraction;
  }
  const double capacity = m_deployment.targets * m_deployment.slots;
  return weight * kUtilization * capacity /
         ToSeconds(m_deployment.service_time);
}

void Simulation::ScheduleArrival() {
  std::exponential_distribution<double> gap(ArrivalsPerSecond());
  const auto delay = Duration(static_cast<int64_t>(gap(m_random) * 1e6));
  m_events.After(delay, [this] {
    GenerateRequest();
    ScheduleArrival();
  });
}

void Simulation::GenerateRequest() {
  Request request;
  request.id = ++m_last_request;
  request.account = PickAccount();
  request.host = PickHost();
  request.arrival_time = m_events.now();
  request.deadline = request.arrival_time + kDeadline;
  request.measured = m_measuring;
  m_result.accounts[request.account].received += m_measuring ? 1 : 0;
  Arrive(m_requests.emplace(request.id, request).first->second);
}

int Simulation::PickAccount() {
  std::discrete_distribution<int> pick(m_weights.begin(), m_weights.end());
  return pick(m_random);
}

int Simulation::PickHost() {
  // Callers of a crashed host use a random live host.
  while (true) {
    const auto host = static_cast<int>(m_random() % m_hosts.size());
    if (m_hosts[host].alive) {
      return host;
    }
  }
}

}  // namespace applestand::bench
