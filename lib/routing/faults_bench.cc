#include "lib/routing/model_bench.h"

namespace applestand::bench {

namespace {

/// Time until the other hosts know that a host is dead.
constexpr Duration kDetection = std::chrono::seconds(1);

}  // namespace

void World::Fault() {
  switch (m_scenario) {
    case Scenario::kNormal:
    case Scenario::kAccountFiveTimes:
      return;
    case Scenario::kDeadHost:
      KillHost(0);
      break;
    case Scenario::kLostRegion:
      return LoseRegion(true);
    case Scenario::kLostTargets:
      return LoseRegion(false);
    case Scenario::kDrainedTarget:
      return Drain();
  }
  m_events.After(kDetection, [this] { OnMembership(); });
}

void World::KillHost(int host) {
  m_hosts[host].alive = false;
  for (auto at = m_requests.begin(); at != m_requests.end();) {
    const bool died = at->second.host == host;
    m_result.cut += died && at->second.measured ? 1 : 0;
    at = died ? m_requests.erase(at) : std::next(at);
  }
}

void World::LoseRegion(bool with_hosts) {
  for (auto& [id, target] : m_targets) {
    target.alive = target.alive && target.place.region != kFaultyRegion;
  }
  if (!with_hosts) {
    return;
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].place.region == kFaultyRegion) {
      KillHost(static_cast<int>(i));
    }
  }
  m_events.After(kDetection, [this] { OnMembership(); });
}

void World::Drain() {
  m_drained_at = m_events.now();
  for (auto& [id, target] : m_targets) {
    if (target.place.region == kFaultyRegion) {
      target.config.leaving = true;
      break;
    }
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const auto heard = Duration(static_cast<int64_t>(m_random() % 1'000'000));
    m_events.After(heard, [this, i] { OnLeaving(static_cast<int>(i)); });
  }
}

void World::SampleHeadroom() {
  if (!m_measuring) {
    return;
  }
  std::vector<double> slots(m_free_sum.size());
  std::vector<double> used(m_free_sum.size());
  for (const auto& [id, target] : m_targets) {
    if (target.alive && !target.config.leaving) {
      slots[target.place.region] += target.config.slots;
      used[target.place.region] += target.in_flight;
    }
  }
  for (size_t region = 0; region < slots.size(); ++region) {
    const double free = slots[region] - used[region];
    m_free_sum[region] += slots[region] > 0 ? free / slots[region] : 1;
  }
  ++m_samples;
}

}  // namespace applestand::bench
