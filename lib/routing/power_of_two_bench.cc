#include "lib/routing/routing_algorithms_bench.h"

namespace applestand::bench {

namespace {

constexpr Duration kReportDelay = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
// Same as RouterPolicy::max_attempts. The last attempt uses another region.
constexpr int kMaxAttempts = 4;

}  // namespace

void PowerOfTwoSimulation::Begin() {
  m_own_in_flight.resize(m_hosts.size());
  m_knows_drain.resize(m_hosts.size());
  m_events.Every(kReportInterval, [this] {
    std::map<TargetId, uint32_t> measured;
    for (const auto& [id, target] : m_targets) {
      measured[id] = target.underreports_load ? 0 : target.in_flight;
    }
    m_events.After(kReportDelay, [this, measured] { m_reported = measured; });
  });
}

void PowerOfTwoSimulation::OnDrain(int host) {
  m_knows_drain[host] = true;
}

void PowerOfTwoSimulation::Arrive(Request& request) {
  Attempt(request.id, 1);
}

void PowerOfTwoSimulation::Attempt(uint64_t id, int tries) {
  Request* request = Find(id);
  if (request == nullptr) {
    return;
  }
  const int host = request->host;
  SimTarget* target = Pick(host, tries < kMaxAttempts);
  const TargetId target_id = target->config.id;
  m_result.cross_region +=
      target->location.region != m_hosts[host].location.region &&
              request->measured
          ? 1
          : 0;
  ++m_own_in_flight[host][target_id];
  Call(m_hosts[host].location, *target, [=](CallOutcome outcome) {
    --m_own_in_flight[host][target_id];
    Request* unfinished = Find(id);
    if (unfinished == nullptr) {
      return;
    }
    const bool not_run =
        outcome == CallOutcome::kShed || outcome == CallOutcome::kUnreachable;
    if (not_run && tries < kMaxAttempts) {
      return Attempt(id, tries + 1);
    }
    End(*unfinished, outcome == CallOutcome::kServed);
  });
}

SimTarget* PowerOfTwoSimulation::Pick(int host, bool local) {
  std::vector<SimTarget*> candidates;
  for (auto& [id, target] : m_targets) {
    const bool in_region =
        target.location.region == m_hosts[host].location.region;
    const bool known_draining = target.config.leaving && m_knows_drain[host];
    if (in_region == local && !known_draining) {
      candidates.push_back(&target);
    }
  }
  const auto load = [&](SimTarget* target) {
    const TargetId& id = target->config.id;
    return std::max(m_reported[id], m_own_in_flight[host][id]);
  };
  SimTarget* a = candidates[m_random() % candidates.size()];
  SimTarget* b = candidates[m_random() % candidates.size()];
  return load(b) < load(a) ? b : a;
}

}  // namespace applestand::bench
