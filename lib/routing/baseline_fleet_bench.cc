#include "lib/routing/fleets_bench.h"

namespace applestand::bench {

namespace {

constexpr Duration kReportLag = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
// As many as the router's attempts; the last one goes to another region.
constexpr int kAttempts = 4;

}  // namespace

void PowerOfTwoFleet::Begin() {
  m_own.resize(m_hosts.size());
  m_knows_leaving.resize(m_hosts.size());
  m_events.Every(kReportInterval, [this] {
    std::map<TargetId, uint32_t> measured;
    for (const auto& [id, target] : m_targets) {
      measured[id] = target.lies ? 0 : target.in_flight;
    }
    m_events.After(kReportLag, [this, measured] { m_seen = measured; });
  });
}

void PowerOfTwoFleet::OnLeaving(int host) {
  m_knows_leaving[host] = true;
}

void PowerOfTwoFleet::Arrive(Request& request) {
  Attempt(request.id, 1);
}

void PowerOfTwoFleet::Attempt(uint64_t id, int tries) {
  Request* request = Find(id);
  if (request == nullptr) {
    return;
  }
  const int host = request->host;
  SimTarget* target = Pick(host, tries < kAttempts);
  const TargetId target_id = target->config.id;
  m_result.between_regions +=
      target->place.region != m_hosts[host].place.region && request->measured
          ? 1
          : 0;
  ++m_own[host][target_id];
  Call(m_hosts[host].place, *target, [=](Answer answer) {
    --m_own[host][target_id];
    Request* answered = Find(id);
    if (answered == nullptr) {
      return;
    }
    const bool not_run =
        answer == Answer::kShed || answer == Answer::kUnreachable;
    if (not_run && tries < kAttempts) {
      return Attempt(id, tries + 1);
    }
    End(*answered, answer == Answer::kServed);
  });
}

SimTarget* PowerOfTwoFleet::Pick(int host, bool local) {
  std::vector<SimTarget*> candidates;
  for (auto& [id, target] : m_targets) {
    const bool here = target.place.region == m_hosts[host].place.region;
    const bool known = target.config.leaving && m_knows_leaving[host];
    if (here == local && !known) {
      candidates.push_back(&target);
    }
  }
  const auto load = [&](SimTarget* target) {
    const TargetId& id = target->config.id;
    return std::max(m_seen[id], m_own[host][id]);
  };
  SimTarget* a = candidates[m_random() % candidates.size()];
  SimTarget* b = candidates[m_random() % candidates.size()];
  return load(b) < load(a) ? b : a;
}

}  // namespace applestand::bench
