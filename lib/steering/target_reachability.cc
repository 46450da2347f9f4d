#include "lib/steering/target_reachability.h"

#include <algorithm>
#include <set>

namespace applestand {

namespace {

// The links are lost once this many targets failed in this many zones, or all
// known ones if there are fewer.
constexpr size_t kFailedTargets = 3;
constexpr size_t kFailedZones = 2;
// Probes start once this many targets failed or fell silent.
constexpr size_t kSuspectTargets = 2;
// A failure from longer ago says nothing about the links now.
constexpr Duration kFailureLifetime = std::chrono::seconds(3);
// Maximum number of targets whose last response is remembered.
constexpr size_t kMaxTargets = 4096;
// Minimum time between two rounds of probes.
constexpr Duration kProbePeriod = std::chrono::milliseconds(250);

size_t CountZones(const std::vector<ProbeCandidate>& targets) {
  std::set<ZoneId> zones;
  for (const ProbeCandidate& target : targets) {
    zones.insert(target.zone);
  }
  return zones.size();
}

}  // namespace

void TargetReachability::OnAnyResponse(const TargetId& target, TimePoint now) {
  m_last_any_response = now;
  m_silent = false;
  m_silent_targets.erase(target);
  if (m_last_response_by_target.size() > kMaxTargets) {
    m_last_response_by_target.clear();
  }
  m_last_response_by_target[target] = now;
}

void TargetReachability::OnNoResponse(const TargetId& target,
                                      TimePoint sent,
                                      TimePoint now) {
  m_silent |= m_last_any_response < sent;
  const auto last = m_last_response_by_target.find(target);
  if (last == m_last_response_by_target.end() || last->second < sent) {
    DropOldFailures(now);
    m_silent_targets[target] = now;
  }
}

size_t TargetReachability::CountSuspects() const {
  size_t count = m_failures.size();
  for (const auto& [target, at] : m_silent_targets) {
    count += m_failures.count(target) == 0 ? 1 : 0;
  }
  return count;
}

bool TargetReachability::OnResponse(TimePoint opened) {
  m_last_response_opened = std::max(m_last_response_opened, opened);
  for (auto it = m_failures.begin(); it != m_failures.end();) {
    it = it->second.at <= opened ? m_failures.erase(it) : std::next(it);
  }
  m_silent_targets.clear();
  if (!m_lost || !m_failures.empty()) {
    return false;
  }
  m_lost = false;
  return true;
}

void TargetReachability::DropOldFailures(TimePoint now) {
  for (auto it = m_failures.begin(); it != m_failures.end();) {
    it = now - it->second.at >= kFailureLifetime ? m_failures.erase(it)
                                                 : std::next(it);
  }
  for (auto it = m_silent_targets.begin(); it != m_silent_targets.end();) {
    it = now - it->second >= kFailureLifetime ? m_silent_targets.erase(it)
                                              : std::next(it);
  }
}

bool TargetReachability::OnFailure(const TargetId& target,
                                   const ZoneId& zone,
                                   TimePoint begun,
                                   const std::vector<ProbeCandidate>& known,
                                   TimePoint now) {
  if (m_lost || known.empty() || begun < m_last_response_opened) {
    return false;
  }
  DropOldFailures(now);
  m_failures[target] = {zone, begun};
  std::set<ZoneId> zones;
  for (const auto& [failed, failure] : m_failures) {
    zones.insert(failure.zone);
  }
  const bool all_failed =
      std::all_of(known.begin(), known.end(), [this](const auto& candidate) {
        return m_failures.count(candidate.target) != 0;
      });
  m_lost =
      all_failed || (m_failures.size() >= kFailedTargets &&
                     zones.size() >= std::min(kFailedZones, CountZones(known)));
  return m_lost;
}

bool TargetReachability::ShouldProbe() const {
  return m_lost || m_silent || CountSuspects() >= kSuspectTargets;
}

std::vector<ProbeCandidate> TargetReachability::ChooseProbes(
    const std::vector<ProbeCandidate>& known,
    TimePoint now) {
  if (known.empty() ||
      (m_probed_at != TimePoint::min() && now - m_probed_at < kProbePeriod)) {
    return {};
  }
  m_probed_at = now;
  if (m_lost) {
    return {known[m_next_probe++ % known.size()]};
  }
  DropOldFailures(now);
  std::set<ZoneId> zones;
  for (const auto& [failed, failure] : m_failures) {
    zones.insert(failure.zone);
  }
  std::vector<ProbeCandidate> chosen;
  for (const bool new_zone : {true, false}) {
    for (size_t i = 0; i < known.size() && chosen.size() < kFailedZones; ++i) {
      const ProbeCandidate& candidate =
          known[(m_next_probe + i) % known.size()];
      if (m_failures.count(candidate.target) == 0 &&
          (!new_zone || zones.insert(candidate.zone).second) &&
          std::none_of(chosen.begin(), chosen.end(), [&](const auto& other) {
            return other.target == candidate.target;
          })) {
        chosen.push_back(candidate);
      }
    }
  }
  ++m_next_probe;
  return chosen;
}

}  // namespace applestand
