#include "lib/steering/target_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace applestand {

namespace {

// Weights of the newest attempt in a target's moving averages of response times
// and failures.
constexpr double kLatencyGain = 0.1;
constexpr double kFailureGain = 0.2;
// The load that a target last reported for other hosts decays exponentially
// with this time constant, that is, to about a third within it.
constexpr double kReportDecaySeconds = 0.5;
// The region's load is used for this long. It is requested several times within
// this period.
constexpr Duration kRegionLoadLifetime = std::chrono::seconds(1);
// Without a recent report of the region's load, each other host of the region
// is assumed to have this fraction of this host's additional requests at a
// target.
constexpr double kPeerLoadFraction = 0.6;
// Time constants of the exponential decay of penalties, so that a target that
// failed or was slow is tried again.
constexpr double kFailureDecaySeconds = 2.0;
constexpr double kSlowDecaySeconds = 4.0;
constexpr double kMaxSlowFactor = 20;
// Response times differ by up to this much because of the scheduling of
// processes, which says nothing about a target.
constexpr double kSchedulingNoiseSeconds = 0.005;
// Factor of the failure rate in a target's cost. A target that fails every
// second attempt costs about as much as processing a cold object.
constexpr double kFailureCost = 10;
// A request for a cold object takes this much longer than for one that the
// target handled recently.
constexpr double kColdObjectFactor = 3.3;
// The target also evicts another object for it, whose next request takes longer
// in turn.
constexpr double kColdObjectCost = 2 * kColdObjectFactor;
// Number of targets at which each object is kept warm. Any other target costs
// kColdObjectCost unless the object is warm there already.
constexpr size_t kWarmTargets = 1;
// Cost of each further rank, as a multiple of the service time, so that hosts
// agree on the order in which an object's targets are used.
constexpr double kRankCost = 0.1;
// An object is assumed to be warm at a target for this long after its last
// request there.
constexpr Duration kObjectWarmTime = std::chrono::seconds(30);
// Maximum number of objects tracked per target.
constexpr size_t kMaxObjects = 512;
// Additional time of a request to another region: about two one-way delays of
// 20 to 35 ms.
constexpr double kRemoteSeconds = 0.05;
// Requests with bodies of at least this size prefer the local zone, because
// traffic between zones is charged. The penalty is expressed as a time.
constexpr size_t kLargeBodyBytes = 16384;
constexpr double kLargeBodyZonePenaltySeconds = 0.03;
// A target to which no connection can be established is ejected for the base
// time, which doubles with each further failure up to the maximum.
constexpr Duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(8);
constexpr Duration kEjectionTimeAfterShed = std::chrono::milliseconds(60);
// Targets announce with a delay that they are cold.
constexpr Duration kColdMargin = std::chrono::milliseconds(500);
// Fraction of the limit on requests to a cold target that is used.
constexpr double kColdUsedFraction = 0.9;
// Maximum expected response time of a request that must queue, as a multiple of
// its latency objective: the factor for priority 0, the decrease with each
// lower priority, and the minimum. A late response is worth part of a timely
// one; a rejection is worth nothing, and most callers retry after it.
constexpr double kMaxLatencyFactor = 1.3;
constexpr double kLatencyFactorStep = 0.15;
constexpr double kMinLatencyFactor = 0.8;
// A request may always wait for this fraction of its latency objective, also if
// the target, or the way to it, is too slow for the objective.
constexpr double kMinWaitFraction = 0.25;
// A request is rejected rather than queued if it is expected to use more than
// this fraction of the time left.
constexpr double kMaxTimeLeftFraction = 0.9;
// Retry-After of rejections, within the range that callers honour.
constexpr Duration kRetryWhenOverloaded = std::chrono::milliseconds(50);
constexpr Duration kRetryWhenUnavailable = std::chrono::milliseconds(200);

// One more than the largest hash value.
constexpr double kHashRange = 18446744073709551616.0;

uint64_t HashText(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t Mix(uint64_t a, uint64_t b) {
  const uint64_t both[2] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

double Decay(Duration age, double time_constant_s) {
  return std::exp(-std::max(ToSeconds(age), 0.0) / time_constant_s);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

const char* ToString(NoTargetReason reason) {
  switch (reason) {
    case NoTargetReason::kNoTarget:
      return "no-target";
    case NoTargetReason::kUnavailable:
      return "targets-closed";
    case NoTargetReason::kResting:
      return "targets-at-rest";
    case NoTargetReason::kOverloaded:
      return "targets-busy";
  }
  return "unknown";
}

void TargetSelector::Update(const SteeringTarget& target, TimePoint now) {
  const auto [it, added] = m_targets.try_emplace(target.id);
  State& state = it->second;
  if (added) {
    state.hash = HashText(target.id.value());
    state.id_hash = HashTargetId(target.id);
    state.ejected_until = now;
    state.cold_until = now;
    state.cold_blocked_until = now;
    if (const auto removed = m_removed_at.find(target.id);
        removed != m_removed_at.end()) {
      state.cold_blocked_until = removed->second + kColdWindow;
    }
    m_by_service[target.service].push_back(&state);
  } else {
    if (state.info.service != target.service) {
      auto& old = m_by_service[state.info.service];
      old.erase(std::remove(old.begin(), old.end(), &state), old.end());
      m_by_service[target.service].push_back(&state);
    }
    if (state.info.incarnation != target.incarnation) {
      m_rate_limits.OnRestarted(target.id);
      state.object_sent_at.clear();
      state.latency_s = 0;
      state.work_s = 0;
      state.failure_rate = 0;
      state.connect_failures = 0;
      state.ejected_until = now;
    }
  }
  state.info = target;
  state.cold_on_next_request = false;
  state.cold_until = now;
  if (target.cold_left > Duration::zero()) {
    state.cold_until = now + target.cold_left + kColdMargin;
  }
}

void TargetSelector::Remove(const TargetId& target, TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return;
  }
  auto& states = m_by_service[it->second.info.service];
  states.erase(std::remove(states.begin(), states.end(), &it->second),
               states.end());
  m_targets.erase(it);
  m_rate_limits.OnRemoved(target, now);
  m_removed_at[target] = now;
}

const SteeringTarget* TargetSelector::Find(const TargetId& target) const {
  const auto it = m_targets.find(target);
  return it == m_targets.end() ? nullptr : &it->second.info;
}

std::vector<ProbeCandidate> TargetSelector::ProbeCandidates(
    TimePoint now) const {
  std::vector<ProbeCandidate> candidates;
  for (const auto& [id, state] : m_targets) {
    if (!IsLeaving(state.info) && !IsEvacuated(state) &&
        state.cold_until <= now && !m_rate_limits.RequestsPerSecond(id) &&
        !IsResting(state, now)) {
      candidates.push_back(
          {id, state.info.zone, state.info.address, state.info.service});
    }
  }
  return candidates;
}

void TargetSelector::SetEvacuatedZones(const std::set<ZoneId>& zones,
                                       TimePoint now) {
  for (auto& [id, state] : m_targets) {
    const ZoneId& zone = state.info.zone;
    if (m_evacuated.count(zone) != 0 && zones.count(zone) == 0) {
      const auto service = m_services.find(state.info.service);
      if (service != m_services.end()) {
        state.cold_until =
            std::max(state.cold_until, now + service->second.cold_time);
      }
      state.object_sent_at.clear();
    }
  }
  m_evacuated = zones;
}

bool TargetSelector::IsEvacuated(const State& state) const {
  return m_evacuated.count(state.info.zone) != 0;
}

bool TargetSelector::IsResting(const State& state, TimePoint now) const {
  return m_notices.RestLeft(state.info, now).has_value();
}

bool TargetSelector::IsEligible(const State& state,
                                const TargetQuery& query) const {
  return !IsLeaving(state.info) && !IsEvacuated(state) &&
         IsInHomeRegions(state, query);
}

std::optional<Duration> TargetSelector::RestOfAll(const TargetQuery& query,
                                                  TimePoint now) const {
  std::optional<Duration> shortest;
  const auto states = m_by_service.find(query.service);
  if (states == m_by_service.end()) {
    return std::nullopt;
  }
  for (const State* state : states->second) {
    if (!IsEligible(*state, query)) {
      continue;
    }
    const auto rest = m_notices.RestLeft(state->info, now);
    if (!rest) {
      return std::nullopt;
    }
    shortest = std::min(shortest.value_or(*rest), *rest);
  }
  return shortest;
}

bool TargetSelector::IsInHomeRegions(const State& state,
                                     const TargetQuery& query) const {
  return !query.home_regions ||
         std::find(query.home_regions->begin(), query.home_regions->end(),
                   state.info.region) != query.home_regions->end();
}

bool TargetSelector::ColdLimitAllows(State& state, TimePoint now) const {
  if (state.cold_until <= now) {
    return true;
  }
  if (m_hosts == 0 || now < m_cold_blocked_until ||
      now < state.cold_blocked_until) {
    return false;
  }
  const auto service = m_services.find(state.info.service);
  if (service == m_services.end() || service->second.cold_rate <= 0) {
    return true;
  }
  const double bound = (service->second.cold_rate * m_options.cold_excess +
                        m_options.cold_slack) *
                       kColdUsedFraction;
  const auto whole = static_cast<uint32_t>(bound);
  if (whole >= m_hosts) {
    return state.cold_sent.Count(now) < whole / m_hosts;
  }
  // With more hosts than requests, only some of the hosts use each target.
  const uint32_t rank =
      static_cast<uint32_t>((m_own_rank + state.hash) % m_hosts);
  return rank < whole && state.cold_sent.Count(now) < 1;
}

double TargetSelector::Occupancy(const State& state, TimePoint now) const {
  const double others =
      state.reported ? state.others_in_flight *
                           Decay(now - state.reported_at, kReportDecaySeconds)
                     : 0;
  if (m_region_load_at != TimePoint::min() &&
      now - m_region_load_at < kRegionLoadLifetime) {
    return state.in_flight +
           std::max(others, static_cast<double>(state.region_others_in_flight));
  }
  // All hosts of the region send the requests for an object to the same target.
  // If this host has several in flight there, so do the others.
  const double peer_load =
      state.in_flight > 1 && state.info.region == m_options.region
          ? kPeerLoadFraction * (state.in_flight - 1) * (m_region_hosts - 1)
          : 0;
  return state.in_flight + std::max(others, peer_load);
}

double TargetSelector::Queue(const State& state, TimePoint now) const {
  const double slots = std::max(state.info.slots, 1U);
  return std::max(0.0, Occupancy(state, now) + 1 - slots);
}

bool TargetSelector::IsWarm(const State& state,
                            uint64_t object,
                            TimePoint now) const {
  const auto sent = state.object_sent_at.find(object);
  return sent != state.object_sent_at.end() &&
         now - sent->second < kObjectWarmTime;
}

std::optional<TargetRateLimits::Change> TargetSelector::OnRateLimit(
    const TargetId& target,
    std::optional<double> max_request_rate,
    TimePoint sent,
    TimePoint now) {
  const SteeringTarget* known = Find(target);
  return known == nullptr
             ? std::nullopt
             : m_rate_limits.OnResponse(target, known->region, max_request_rate,
                                        sent, now);
}

void TargetSelector::ForgetUnreachable(TimePoint now) {
  for (auto& [id, state] : m_targets) {
    if (state.connect_failures > 0) {
      state.connect_failures = 0;
      state.ejected_until = now;
      state.cold_on_next_request = false;
      state.failure_rate = 0;
    }
  }
}

TargetCounts TargetSelector::InFlight() const {
  TargetCounts counts;
  for (const auto& [id, state] : m_targets) {
    if (state.in_flight > 0) {
      counts[state.id_hash] = state.in_flight;
    }
  }
  return counts;
}

void TargetSelector::SetRegionLoad(const TargetCounts& totals,
                                   const TargetCounts& own,
                                   TimePoint now) {
  m_region_load_at = now;
  for (auto& [id, state] : m_targets) {
    const auto total = totals.find(state.id_hash);
    const auto mine = own.find(state.id_hash);
    const uint32_t all = total == totals.end() ? 0 : total->second;
    const uint32_t own_count = mine == own.end() ? 0 : mine->second;
    state.region_others_in_flight = all > own_count ? all - own_count : 0;
  }
}

double TargetSelector::UsableSlots(const State& state) const {
  const double slots = state.info.slots;
  const auto rate = m_rate_limits.RequestsPerSecond(state.info.id);
  return rate ? std::min(slots, *rate * ServiceSeconds(state.info.service))
              : slots;
}

double TargetSelector::ServiceSeconds(const ServiceId& service) const {
  const auto it = m_service_times.find(service);
  return it == m_service_times.end() ? ServiceTimeEstimate().seconds()
                                     : it->second.seconds();
}

double TargetSelector::LatencySeconds(const State& state,
                                      double service_s,
                                      TimePoint now) const {
  const double normal_s = service_s + kSchedulingNoiseSeconds;
  if (state.latency_s <= normal_s) {
    return state.latency_s;
  }
  const double latency_s = std::min(state.latency_s, kMaxSlowFactor * normal_s);
  return normal_s +
         (latency_s - normal_s) *
             Decay(now - state.latency_decay_start, kSlowDecaySeconds);
}

double TargetSelector::SlowFactor(const State& state,
                                  double service_s,
                                  TimePoint now) const {
  return std::max(1.0, LatencySeconds(state, service_s, now) /
                           (service_s + kSchedulingNoiseSeconds));
}

double TargetSelector::FailureRate(const State& state, TimePoint now) const {
  return state.failure_rate *
         Decay(now - state.failure_rate_updated_at, kFailureDecaySeconds);
}

void TargetSelector::Evaluate(Candidate& candidate,
                              const TargetQuery& query,
                              size_t rank,
                              TimePoint now) const {
  const State& state = *candidate.state;
  const double service_s = ServiceSeconds(query.service);
  const double slots = std::max(state.info.slots, 1U);
  const double slow_s = service_s * SlowFactor(state, service_s, now);
  candidate.queue = Queue(state, now);
  candidate.wait_s = std::max(slow_s, state.work_s) * candidate.queue / slots;
  candidate.work_s = slow_s;
  const double busy = slow_s + candidate.wait_s;
  double object_factor = 1;
  double rank_cost = 0;
  double cold_s = 0;
  if (query.object) {
    if (!IsWarm(state, *query.object, now)) {
      cold_s = slow_s * (kColdObjectFactor - 1);
      // On the targets at which an object is kept warm, its first request is
      // slow but makes later ones fast.
      object_factor = rank < kWarmTargets
                          ? 1 + kRankCost * static_cast<double>(rank)
                          : kColdObjectCost;
    }
    rank_cost = kRankCost * service_s * static_cast<double>(rank);
  } else {
    rank_cost = kRankCost * service_s * Occupancy(state, now) / slots;
  }
  double extra_s = 0;
  if (state.info.region != m_options.region) {
    extra_s = kRemoteSeconds;
  } else if (state.info.zone != m_options.zone &&
             query.body_bytes >= kLargeBodyBytes) {
    extra_s = kLargeBodyZonePenaltySeconds;
  }
  candidate.expected_s = busy + cold_s + extra_s;
  candidate.cost_s =
      busy * object_factor * (1 + kFailureCost * FailureRate(state, now)) +
      rank_cost + extra_s;
}

std::vector<TargetSelector::Candidate> TargetSelector::FindCandidates(
    const TargetQuery& query,
    uint64_t order,
    bool remote,
    bool& any,
    TimePoint now) {
  std::vector<Candidate> out;
  const auto states = m_by_service.find(query.service);
  if (states == m_by_service.end()) {
    return out;
  }
  for (State* state : states->second) {
    const bool is_remote = state->info.region != m_options.region;
    if (is_remote != remote || !IsEligible(*state, query) ||
        query.tried.count(state->info.id) != 0) {
      continue;
    }
    any |= !IsResting(*state, now);
    Candidate candidate;
    candidate.state = state;
    candidate.rank_hash = Mix(order, state->hash);
    out.push_back(candidate);
  }
  // Ejected targets keep their rank, so that a short ejection only moves the
  // objects of the ejected target.
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return a.rank_hash > b.rank_hash;
  });
  for (size_t rank = 0; rank < out.size(); ++rank) {
    Evaluate(out[rank], query, rank, now);
  }
  out.erase(std::remove_if(out.begin(), out.end(),
                           [&](const Candidate& candidate) {
                             return candidate.state->ejected_until > now ||
                                    IsResting(*candidate.state, now) ||
                                    !ColdLimitAllows(*candidate.state, now) ||
                                    !m_rate_limits.Allows(
                                        candidate.state->info.id, now);
                           }),
            out.end());
  return out;
}

std::variant<TargetChoice, NoTarget> TargetSelector::Choose(
    const TargetQuery& query,
    TimePoint now) {
  bool any = false;
  // Requests without object have no preferred target, and are spread.
  const uint64_t order = query.object.value_or(m_objectless_requests++);
  std::vector<Candidate> candidates =
      FindCandidates(query, order, false, any, now);
  const bool no_local = !any;
  // All requests for an object leave the region or stay, so that it is warm in
  // one place.
  const double position = static_cast<double>(Mix(order, 0)) / kHashRange;
  if (no_local || position < SpilloverShare(query.service)) {
    std::vector<Candidate> remote =
        FindCandidates(query, order, true, any, now);
    if (!remote.empty()) {
      candidates = std::move(remote);
    }
  }
  if (candidates.empty()) {
    if (const auto rest = RestOfAll(query, now)) {
      return NoTarget{NoTargetReason::kResting, *rest};
    }
    return NoTarget{
        any ? NoTargetReason::kUnavailable : NoTargetReason::kNoTarget,
        kRetryWhenUnavailable};
  }
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return a.cost_s < b.cost_s;
                       });
  const double latency_factor =
      std::max(kMinLatencyFactor,
               kMaxLatencyFactor - kLatencyFactorStep * query.priority);
  const double objective_s = ToSeconds(query.latency_objective_left);
  const double time_left_s = ToSeconds(query.time_left);
  const double limit_s = std::min(objective_s * latency_factor,
                                  time_left_s * kMaxTimeLeftFraction);
  const double max_wait_s =
      std::max(limit_s - best->work_s, objective_s * kMinWaitFraction);
  if ((best->queue > 0 && best->wait_s > max_wait_s) ||
      best->expected_s > time_left_s) {
    return NoTarget{
        NoTargetReason::kOverloaded,
        std::max(kRetryWhenOverloaded, FromSeconds(best->wait_s - max_wait_s))};
  }
  const SteeringTarget& info = best->state->info;
  return TargetChoice{info.id, info.address, FromSeconds(best->expected_s),
                      info.region != m_options.region};
}

AttemptConditions TargetSelector::OnSent(const TargetId& target,
                                         const std::optional<uint64_t>& object,
                                         TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return {};
  }
  State& state = it->second;
  const AttemptConditions conditions = {
      Queue(state, now) / std::max(state.info.slots, 1U),
      !object || IsWarm(state, *object, now)};
  ++state.in_flight;
  m_rate_limits.OnSent(target, now);
  if (state.cold_on_next_request) {
    state.cold_on_next_request = false;
    const auto service = m_services.find(state.info.service);
    if (service != m_services.end()) {
      state.cold_until =
          std::max(state.cold_until, now + service->second.cold_time);
    }
  }
  if (state.cold_until > now) {
    state.cold_sent.Add(now);
  }
  if (object) {
    if (state.object_sent_at.size() >= kMaxObjects) {
      state.object_sent_at.clear();
    }
    state.object_sent_at[*object] = now;
  }
  return conditions;
}

void TargetSelector::OnAttemptEnd(const TargetId& target,
                                  AttemptOutcome outcome,
                                  Duration took,
                                  const std::optional<LoadReport>& report,
                                  const AttemptConditions& conditions,
                                  TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return;
  }
  State& state = it->second;
  state.in_flight -= state.in_flight > 0 ? 1 : 0;
  if (report) {
    const double total = report->running + report->waiting;
    state.others_in_flight = std::max(0.0, total - state.in_flight);
    state.reported = true;
    state.reported_at = now;
  }
  bool failed = false;
  switch (outcome) {
    case AttemptOutcome::kAnswered: {
      const double took_s = ToSeconds(took);
      const double worked_s =
          ServiceTimeEstimate::WithoutQueue(took_s, conditions);
      m_service_times[state.info.service].OnResponse(took_s, conditions);
      const double usual_s = ServiceSeconds(state.info.service);
      const auto average = [&](double mean_s) {
        const double before_s = mean_s == 0 ? usual_s : mean_s;
        return before_s + kLatencyGain * (worked_s - before_s);
      };
      state.work_s = average(state.work_s);
      if (conditions.warm) {
        // A response that is about as slow as the average confirms it. Any
        // other one must not undo its decay.
        const bool still_slow = worked_s > (state.latency_s + usual_s) / 2;
        state.latency_s = average(
            still_slow ? state.latency_s : LatencySeconds(state, usual_s, now));
        state.latency_decay_start = now;
      } else if (worked_s / kColdObjectFactor >
                 (state.latency_s + usual_s) / 2) {
        // Slow also for a cold object, which confirms the average as well.
        state.latency_decay_start = now;
      }
      state.connect_failures = 0;
      break;
    }
    case AttemptOutcome::kShed:
      state.ejected_until =
          std::max(state.ejected_until, now + kEjectionTimeAfterShed);
      failed = true;
      break;
    case AttemptOutcome::kError:
      failed = true;
      break;
    case AttemptOutcome::kLost:
      failed = true;
      state.latency_decay_start = now;
      break;
    case AttemptOutcome::kMisdirected:
      state.ejected_until = now + kMaxEjectionTime;
      break;
    case AttemptOutcome::kUnreachable: {
      failed = true;
      constexpr uint32_t kMaxDoublings = 4;
      const Duration ejection_time =
          kBaseEjectionTime *
          (1 << std::min(state.connect_failures, kMaxDoublings));
      ++state.connect_failures;
      state.ejected_until = now + std::min(ejection_time, kMaxEjectionTime);
      state.cold_on_next_request = true;
      state.object_sent_at.clear();
      break;
    }
    case AttemptOutcome::kAbandoned:
      return;
  }
  const double rate = FailureRate(state, now);
  state.failure_rate = rate + kFailureGain * ((failed ? 1.0 : 0.0) - rate);
  state.failure_rate_updated_at = now;
}

void TargetSelector::Tick(TimePoint now) {
  m_notices.Tick(
      [this](const TargetId& target) { return Find(target) != nullptr; }, now);
  for (auto it = m_removed_at.begin(); it != m_removed_at.end();) {
    it =
        now - it->second < kColdWindow ? std::next(it) : m_removed_at.erase(it);
  }
  for (const auto& [service, states] : m_by_service) {
    double slots = 0;
    double all_slots = 0;
    double load = 0;
    for (const State* state : states) {
      if (IsLeaving(state->info) || IsEvacuated(*state) ||
          state->ejected_until > now || IsResting(*state, now)) {
        continue;
      }
      const double usable_slots = UsableSlots(*state);
      all_slots += usable_slots;
      if (state->info.region != m_options.region) {
        continue;
      }
      slots += usable_slots;
      load += Occupancy(*state, now);
    }
    if (all_slots == 0) {
      continue;
    }
    const auto it = m_spill.try_emplace(service, m_options.spill).first;
    // The load is also unknown while there are no requests.
    if ((now < m_warm_up_end || load == 0) && m_hosts > 0) {
      it->second.SetInitialShare(slots / all_slots,
                                 static_cast<double>(m_region_hosts) / m_hosts);
      continue;
    }
    it->second.Update(slots > 0 ? load / slots : 1, slots, now);
  }
}

double TargetSelector::SpilloverShare(const ServiceId& service) const {
  const auto it = m_spill.find(service);
  return it == m_spill.end() ? 0 : it->second.share();
}

}  // namespace applestand
