#include "lib/routing/simulation_bench.h"

namespace applestand::bench {

namespace {

/// Time until the other hosts detect the crash of a host.
constexpr Duration kFailureDetectionTime = std::chrono::seconds(1);

}  // namespace

void Simulation::InjectFault() {
  switch (m_scenario) {
    case Scenario::kNormal:
    case Scenario::kAccountFiveTimes:
      return;
    case Scenario::kCrashedHost:
      CrashHost(0);
      break;
    case Scenario::kLostRegion:
      return LoseRegion(true);
    case Scenario::kLostTargets:
      return LoseRegion(false);
    case Scenario::kDrainedTarget:
      return Drain();
  }
  m_events.After(kFailureDetectionTime, [this] { OnMembership(); });
}

void Simulation::CrashHost(int host) {
  m_hosts[host].alive = false;
  for (auto it = m_requests.begin(); it != m_requests.end();) {
    const bool is_lost = it->second.host == host;
    m_result.lost += is_lost && it->second.measured ? 1 : 0;
    it = is_lost ? m_requests.erase(it) : std::next(it);
  }
}

void Simulation::LoseRegion(bool with_hosts) {
  for (auto& [id, target] : m_targets) {
    target.alive = target.alive && target.location.region != kFaultyRegion;
  }
  if (!with_hosts) {
    return;
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].location.region == kFaultyRegion) {
      CrashHost(static_cast<int>(i));
    }
  }
  m_events.After(kFailureDetectionTime, [this] { OnMembership(); });
}

void Simulation::Drain() {
  m_drain_ordered_at = m_events.now();
  for (auto& [id, target] : m_targets) {
    if (target.location.region == kFaultyRegion) {
      target.config.leaving = true;
      break;
    }
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const auto notification_delay =
        Duration(static_cast<int64_t>(m_random() % 1'000'000));
    m_events.After(notification_delay,
                   [this, i] { OnDrain(static_cast<int>(i)); });
  }
}

void Simulation::SampleHeadroom() {
  if (!m_measuring) {
    return;
  }
  std::vector<double> slots(m_free_sum.size());
  std::vector<double> used(m_free_sum.size());
  for (const auto& [id, target] : m_targets) {
    if (target.alive && !target.config.leaving) {
      slots[target.location.region] += target.config.slots;
      used[target.location.region] += target.in_flight;
    }
  }
  for (size_t region = 0; region < slots.size(); ++region) {
    const double free = slots[region] - used[region];
    m_free_sum[region] += slots[region] > 0 ? free / slots[region] : 1;
  }
  ++m_samples;
}

}  // namespace applestand::bench
