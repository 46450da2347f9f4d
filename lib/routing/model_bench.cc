#include "lib/routing/model_bench.h"

#include <algorithm>

namespace applestand::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLoad = 0.6;
constexpr Duration kWarmUp = seconds(15);
constexpr Duration kMeasured = seconds(20);
constexpr Duration kFaultAfter = seconds(5);
constexpr Duration kDeadline = seconds(1);
constexpr Duration kSameZoneDelay = microseconds(200);
constexpr Duration kDrainStop = seconds(3);
// Parts of the traffic by account: a few large ones.
const std::vector<double> kAccountParts = {0.30, 0.25, 0.15, 0.10,
                                           0.08, 0.06, 0.04, 0.02};

}  // namespace

Site LenhaViva() {
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

Site Pwani() {
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
    case Scenario::kDeadHost:
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
  m_events.push({m_now + delay, ++m_orders, std::move(task)});
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

World::World(const Site& site, Scenario scenario, bool lying_reports)
    : m_site(site),
      m_scenario(scenario),
      m_weights(kAccountParts),
      m_free_sum(site.regions.size()) {
  m_result.accounts.resize(m_weights.size());
  if (scenario == Scenario::kAccountFiveTimes) {
    m_weights[kNoisyAccount] *= 5;
  }
  MakeHosts();
  MakeTargets(lying_reports);
}

Result World::Run() {
  Begin();
  ScheduleArrival();
  const TimePoint begin = m_events.now() + kWarmUp;
  m_events.After(kWarmUp, [this] { m_measuring = true; });
  m_events.After(kWarmUp + kFaultAfter, [this] { Fault(); });
  m_events.Every(milliseconds(10), [this] { SampleHeadroom(); });
  m_events.RunUntil(begin + kMeasured);
  m_measuring = false;
  m_events.RunUntil(begin + kMeasured + 3 * kDeadline);
  for (const auto& [id, request] : m_requests) {
    m_result.cut += request.measured ? 1 : 0;
  }
  const auto samples = static_cast<double>(std::max<uint64_t>(m_samples, 1));
  m_result.headroom_percent =
      *std::min_element(m_free_sum.begin(), m_free_sum.end()) / samples * 100;
  for (const auto& [id, target] : m_targets) {
    if (target.config.leaving) {
      m_result.drain_ms = 1000 * ToSeconds(target.last_end - m_drained_at);
    }
  }
  return m_result;
}

Request* World::Find(uint64_t id) {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : &found->second;
}

void World::End(Request& request, bool served) {
  if (request.measured) {
    AccountCounts& counts = m_result.accounts[request.account];
    counts.served += served ? 1 : 0;
    m_result.refused += served ? 0 : 1;
    if (served) {
      const Duration latency = m_events.now() - request.arrived;
      counts.latencies_ms.push_back(
          static_cast<float>(1000 * ToSeconds(latency)));
    }
  }
  m_requests.erase(request.id);
}

void World::Call(const Place& from,
                 SimTarget& target,
                 const std::function<void(Answer)>& done) {
  const Duration delay = DelayBetween(from, target.place);
  m_events.After(delay, [this, &target, delay, done] {
    if (!target.alive) {
      m_events.After(delay, [done] { done(Answer::kUnreachable); });
      return;
    }
    if (target.in_flight >= target.config.slots) {
      m_result.sheds += m_measuring ? 1 : 0;
      m_events.After(delay, [done] { done(Answer::kShed); });
      return;
    }
    ++target.in_flight;
    target.last_start = m_events.now();
    if (target.config.leaving && m_events.now() - m_drained_at > kDrainStop) {
      ++m_result.late_starts;
    }
    const double mean = ToSeconds(m_site.service_time);
    std::exponential_distribution<double> tail(2 / mean);
    const double service = mean / 2 + tail(m_random);
    m_events.After(Duration(static_cast<int64_t>(service * 1e6)),
                   [this, &target, delay, done] {
                     --target.in_flight;
                     target.last_end = m_events.now();
                     const Answer answer =
                         target.alive ? Answer::kServed : Answer::kCut;
                     m_events.After(delay, [done, answer] { done(answer); });
                   });
  });
}

double World::ContractPart(int account) {
  return kAccountParts[account];
}

Duration World::DelayBetween(const Place& a, const Place& b) const {
  if (a.region != b.region) {
    return m_site.region_delay;
  }
  return a.zone == b.zone ? kSameZoneDelay : m_site.zone_delay;
}

std::vector<LiveHost> World::LiveHosts() const {
  std::vector<LiveHost> live;
  for (const SimHost& host : m_hosts) {
    if (host.alive) {
      live.push_back({host.id, RegionId(m_site.regions[host.place.region])});
    }
  }
  return live;
}

void World::MakeHosts() {
  for (size_t region = 0; region < m_site.regions.size(); ++region) {
    for (int i = 0; i < m_site.hosts[region]; ++i) {
      const std::string id = m_site.regions[region] + std::to_string(i);
      m_hosts.push_back({HostId(id), {static_cast<int>(region), i % 2}, true});
    }
  }
}

void World::MakeTargets(bool lying_reports) {
  const int regions = static_cast<int>(m_site.regions.size());
  for (int i = 0; i < m_site.targets; ++i) {
    SimTarget target;
    target.place = {i % regions, i / regions % 2};
    const std::string& region = m_site.regions[target.place.region];
    target.config.id = TargetId(region + "-t" + std::to_string(i));
    target.config.service = ServiceId("desk");
    target.config.region = RegionId(region);
    target.config.slots = m_site.slots;
    target.lies = lying_reports && i / regions % 4 == 0;
    m_targets[target.config.id] = target;
  }
}

double World::ArrivalsPerSecond() const {
  double weight = 0;
  for (const double part : m_weights) {
    weight += part;
  }
  const double capacity = m_site.targets * m_site.slots;
  return weight * kLoad * capacity / ToSeconds(m_site.service_time);
}

void World::ScheduleArrival() {
  std::exponential_distribution<double> gap(ArrivalsPerSecond());
  const auto delay = Duration(static_cast<int64_t>(gap(m_random) * 1e6));
  m_events.After(delay, [this] {
    ArriveOne();
    ScheduleArrival();
  });
}

void World::ArriveOne() {
  Request request;
  request.id = ++m_last_request;
  request.account = PickAccount();
  request.host = PickHost();
  request.arrived = m_events.now();
  request.deadline = request.arrived + kDeadline;
  request.measured = m_measuring;
  m_result.accounts[request.account].asked += m_measuring ? 1 : 0;
  Arrive(m_requests.emplace(request.id, request).first->second);
}

int World::PickAccount() {
  std::discrete_distribution<int> pick(m_weights.begin(), m_weights.end());
  return pick(m_random);
}

int World::PickHost() {
  // Callers of a dead host go to the next live one at random.
  while (true) {
    const auto host = static_cast<int>(m_random() % m_hosts.size());
    if (m_hosts[host].alive) {
      return host;
    }
  }
}

}  // namespace applestand::bench
