#include "lib/steering/target_board.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace applestand {

namespace {

// Service time assumed until one was seen.
constexpr double kAssumedServiceSeconds = 0.1;
// Weight of the newest answer in moving averages of times and failures.
constexpr double kAverageGain = 0.1;
constexpr double kFailureGain = 0.2;
// After this time without a report, other hosts' requests at a target are
// taken to be a third of what it reported last.
constexpr double kReportLifeSeconds = 0.5;
// What the region's hosts had under way counts for this long: several requests
// for it.
constexpr Duration kRegionLoadLife = std::chrono::seconds(1);
// How alike the loads of hosts of one region are at one target.
constexpr double kAlikePart = 0.6;
// A target that fails or is slow is tried again as the memory of it fades.
constexpr double kFailureLifeSeconds = 2.0;
constexpr double kSlowLifeSeconds = 4.0;
constexpr double kMaxSlowFactor = 20;
// How much an expected failure adds to a target's cost: one that fails every
// second time costs about what a cold run does.
constexpr double kFailureCost = 10;
// A cold object takes this much longer than one that was lately handled. The
// target forgets another object for it, which then takes longer in turn.
constexpr double kColdObjectFactor = 3.3;
constexpr double kColdRunCost = 2 * kColdObjectFactor;
// Targets that each object is kept warm at before others are taken.
constexpr size_t kCopies = 1;
// Cost of one rank more, so that hosts agree on an order of copies.
constexpr double kRankCost = 0.1;
// An object is taken to be warm for this long after it was last sent.
constexpr Duration kObjectWarmFor = std::chrono::seconds(30);
constexpr size_t kMaxObjects = 512;
// Extra time of a request to another region: about two ways of 20 to 35 ms.
constexpr double kRemoteSeconds = 0.05;
// Bodies from this size on stay within the zone where they can, for carrying
// them between zones is charged.
constexpr size_t kHeavyBodyBytes = 16384;
constexpr double kHeavyZoneSeconds = 0.03;
// A refused or silent target is left alone this long, doubling to the longest.
constexpr Duration kFirstClose = std::chrono::milliseconds(500);
constexpr Duration kLongestClose = std::chrono::seconds(8);
constexpr Duration kCloseAfterShed = std::chrono::milliseconds(60);
// Targets say when they are cold with a lag.
constexpr Duration kColdMargin = std::chrono::milliseconds(500);
// Part of the bound on requests to a cold target that is used.
constexpr double kColdUsedPart = 0.9;
// How much longer than the goal the expected time of an urgent request may be;
// each step of priority asks for more. A late answer is worth a part of one in
// time; a refusal is worth nothing, and most callers come back after it.
constexpr double kMostUrgentPatience = 2.5;
constexpr double kPatienceStep = 0.25;
constexpr double kLeastPatience = 1.5;
// A target that is expected to use up this part of the time left is no offer.
constexpr double kTimeLeftPart = 0.9;
// Retry-After of refusals, within what callers honour.
constexpr Duration kRetrySoon = std::chrono::milliseconds(50);
constexpr Duration kRetryLater = std::chrono::milliseconds(200);

// One more than the largest hash.
constexpr double kHashRange = 18446744073709551616.0;

uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t Mix(uint64_t a, uint64_t b) {
  const uint64_t both[2] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

double Fade(Duration age, double life_s) {
  return std::exp(-std::max(ToSeconds(age), 0.0) / life_s);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

const char* ToString(NoTargetReason reason) {
  switch (reason) {
    case NoTargetReason::kNone:
      return "no-target";
    case NoTargetReason::kClosed:
      return "targets-closed";
    case NoTargetReason::kBusy:
      return "targets-busy";
  }
  return "unknown";
}

void TargetBoard::Put(const SteeringTarget& target, TimePoint now) {
  const auto [it, added] = m_targets.try_emplace(target.id);
  State& state = it->second;
  if (added) {
    state.hash = HashOf(target.id.value());
    state.key = KeyOf(target.id);
    state.closed_until = now;
    state.cold_until = now;
    state.spare_cold_until = now;
    if (const auto removed = m_removed_at.find(target.id);
        removed != m_removed_at.end()) {
      state.spare_cold_until = removed->second + kColdWindow;
    }
    m_by_service[target.service].push_back(&state);
  } else {
    if (state.facts.service != target.service) {
      auto& old = m_by_service[state.facts.service];
      old.erase(std::remove(old.begin(), old.end(), &state), old.end());
      m_by_service[target.service].push_back(&state);
    }
    if (state.facts.incarnation != target.incarnation) {
      state.objects.clear();
      state.latency_s = 0;
      state.failure_rate = 0;
      state.unreachable = 0;
      state.closed_until = now;
    }
  }
  state.facts = target;
  state.cold_when_back = false;
  state.cold_until = now;
  if (target.cold_left > Duration::zero()) {
    state.cold_until = now + target.cold_left + kColdMargin;
  }
}

void TargetBoard::Remove(const TargetId& target, TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return;
  }
  auto& states = m_by_service[it->second.facts.service];
  states.erase(std::remove(states.begin(), states.end(), &it->second),
               states.end());
  m_targets.erase(it);
  m_removed_at[target] = now;
}

const SteeringTarget* TargetBoard::Find(const TargetId& target) const {
  const auto it = m_targets.find(target);
  return it == m_targets.end() ? nullptr : &it->second.facts;
}

void TargetBoard::SetEvacuated(const std::set<ZoneId>& zones, TimePoint now) {
  for (auto& [id, state] : m_targets) {
    const ZoneId& zone = state.facts.zone;
    if (m_evacuated.count(zone) != 0 && zones.count(zone) == 0) {
      const auto service = m_services.find(state.facts.service);
      if (service != m_services.end()) {
        state.cold_until =
            std::max(state.cold_until, now + service->second.cold_time);
      }
      state.objects.clear();
    }
  }
  m_evacuated = zones;
}

bool TargetBoard::Evacuated(const State& state) const {
  return m_evacuated.count(state.facts.zone) != 0;
}

bool TargetBoard::InHomes(const State& state, const TargetQuery& query) const {
  return !query.homes || std::find(query.homes->begin(), query.homes->end(),
                                   state.facts.region) != query.homes->end();
}

bool TargetBoard::ColdAllows(State& state, TimePoint now) const {
  if (state.cold_until <= now) {
    return true;
  }
  if (m_hosts == 0 || now < m_spare_cold_until ||
      now < state.spare_cold_until) {
    return false;
  }
  const auto service = m_services.find(state.facts.service);
  if (service == m_services.end() || service->second.cold_rate <= 0) {
    return true;
  }
  const double bound = (service->second.cold_rate * m_options.cold_excess +
                        m_options.cold_slack) *
                       kColdUsedPart;
  const auto whole = static_cast<uint32_t>(bound);
  if (whole >= m_hosts) {
    return state.cold_sent.Count(now) < whole / m_hosts;
  }
  // More hosts than requests: each target is left to some of the hosts.
  const uint32_t place =
      static_cast<uint32_t>((m_own_rank + state.hash) % m_hosts);
  return place < whole && state.cold_sent.Count(now) < 1;
}

double TargetBoard::Occupancy(const State& state, TimePoint now) const {
  const double others =
      state.reported
          ? state.others * Fade(now - state.reported_at, kReportLifeSeconds)
          : 0;
  if (m_region_load_at != TimePoint::min() &&
      now - m_region_load_at < kRegionLoadLife) {
    return state.in_flight +
           std::max(others, static_cast<double>(state.region_others));
  }
  // Objects' requests reach a target from all hosts of the region alike: where
  // this host has several under way, so have they.
  const double alike =
      state.in_flight > 1 && state.facts.region == m_options.region
          ? kAlikePart * (state.in_flight - 1) * (m_region_hosts - 1)
          : 0;
  return state.in_flight + std::max(others, alike);
}

TargetCounts TargetBoard::InFlight() const {
  TargetCounts counts;
  for (const auto& [id, state] : m_targets) {
    if (state.in_flight > 0) {
      counts[state.key] = state.in_flight;
    }
  }
  return counts;
}

void TargetBoard::SetRegionLoad(const TargetCounts& totals,
                                const TargetCounts& own,
                                TimePoint now) {
  m_region_load_at = now;
  for (auto& [id, state] : m_targets) {
    const auto total = totals.find(state.key);
    const auto mine = own.find(state.key);
    const uint32_t all = total == totals.end() ? 0 : total->second;
    const uint32_t of_own = mine == own.end() ? 0 : mine->second;
    state.region_others = all > of_own ? all - of_own : 0;
  }
}

double TargetBoard::ServiceSeconds(const ServiceId& service) const {
  const auto it = m_service_s.find(service);
  return it == m_service_s.end() ? kAssumedServiceSeconds : it->second;
}

double TargetBoard::SlowFactor(const State& state,
                               double service_s,
                               TimePoint now) const {
  if (state.latency_s <= service_s) {
    return 1;
  }
  const double factor = std::min(state.latency_s / service_s, kMaxSlowFactor);
  return 1 + (factor - 1) * Fade(now - state.answered_at, kSlowLifeSeconds);
}

double TargetBoard::FailureRate(const State& state, TimePoint now) const {
  return state.failure_rate * Fade(now - state.failed_at, kFailureLifeSeconds);
}

void TargetBoard::Rate(Candidate& candidate,
                       const TargetQuery& query,
                       size_t rank,
                       TimePoint now) const {
  const State& state = *candidate.state;
  const double service_s = ServiceSeconds(query.service);
  const double slots = std::max(state.facts.slots, 1U);
  const double occupancy = Occupancy(state, now);
  candidate.queue = std::max(0.0, occupancy + 1 - slots);
  const double busy = service_s * SlowFactor(state, service_s, now) *
                      (1 + candidate.queue / slots);
  double object_factor = 1;
  double rank_cost = 0;
  if (query.object) {
    const auto sent = state.objects.find(*query.object);
    const bool warm =
        sent != state.objects.end() && now - sent->second < kObjectWarmFor;
    if (!warm) {
      // A copy's first request is slow, but makes later ones fast.
      object_factor = rank < kCopies ? 1 + kRankCost * static_cast<double>(rank)
                                     : kColdRunCost;
    }
    rank_cost = kRankCost * service_s * static_cast<double>(rank);
  } else {
    rank_cost = kRankCost * service_s * occupancy / slots;
  }
  double extra_s = 0;
  if (state.facts.region != m_options.region) {
    extra_s = kRemoteSeconds;
  } else if (state.facts.zone != m_options.zone &&
             query.body_bytes >= kHeavyBodyBytes) {
    extra_s = kHeavyZoneSeconds;
  }
  candidate.expected_s = busy + extra_s;
  candidate.cost_s =
      busy * object_factor * (1 + kFailureCost * FailureRate(state, now)) +
      rank_cost + extra_s;
}

std::vector<TargetBoard::Candidate> TargetBoard::Candidates(
    const TargetQuery& query,
    bool remote,
    bool& any,
    TimePoint now) {
  std::vector<Candidate> out;
  const auto states = m_by_service.find(query.service);
  if (states == m_by_service.end()) {
    return out;
  }
  for (State* state : states->second) {
    const bool is_remote = state->facts.region != m_options.region;
    if (is_remote != remote || state->facts.leaving || Evacuated(*state) ||
        !InHomes(*state, query) || query.tried.count(state->facts.id) != 0) {
      continue;
    }
    any = true;
    Candidate candidate;
    candidate.state = state;
    candidate.rank_hash = Mix(query.object.value_or(0), state->hash);
    out.push_back(candidate);
  }
  // Ranks count closed targets too, so that a short closure moves no object
  // that is at another target.
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return a.rank_hash > b.rank_hash;
  });
  for (size_t rank = 0; rank < out.size(); ++rank) {
    Rate(out[rank], query, rank, now);
  }
  out.erase(std::remove_if(out.begin(), out.end(),
                           [&](const Candidate& candidate) {
                             return candidate.state->closed_until > now ||
                                    !ColdAllows(*candidate.state, now);
                           }),
            out.end());
  return out;
}

std::variant<TargetChoice, NoTarget> TargetBoard::Choose(
    const TargetQuery& query,
    TimePoint now) {
  bool any = false;
  std::vector<Candidate> candidates = Candidates(query, false, any, now);
  const bool no_local = !any;
  // Whole objects leave the region, so that they are warm elsewhere.
  const double place =
      static_cast<double>(Mix(query.object.value_or(m_draws++), 0)) /
      kHashRange;
  if (no_local || place < SpillOf(query.service)) {
    std::vector<Candidate> remote = Candidates(query, true, any, now);
    if (!remote.empty()) {
      candidates = std::move(remote);
    }
  }
  if (candidates.empty()) {
    return NoTarget{any ? NoTargetReason::kClosed : NoTargetReason::kNone,
                    kRetryLater};
  }
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return a.cost_s < b.cost_s;
                       });
  const double patience = std::max(
      kLeastPatience, kMostUrgentPatience - kPatienceStep * query.priority);
  const double limit_s = std::min(ToSeconds(query.goal_left) * patience,
                                  ToSeconds(query.time_left) * kTimeLeftPart);
  const bool queues = best->queue > 0;
  if ((queues && best->expected_s > limit_s) ||
      best->expected_s > ToSeconds(query.time_left)) {
    const double wait_s = std::max(best->expected_s - limit_s, 0.0);
    return NoTarget{NoTargetReason::kBusy,
                    std::max(kRetrySoon, FromSeconds(wait_s))};
  }
  const SteeringTarget& facts = best->state->facts;
  return TargetChoice{facts.id, facts.address, FromSeconds(best->expected_s),
                      facts.region != m_options.region};
}

void TargetBoard::OnSent(const TargetId& target,
                         const std::optional<uint64_t>& object,
                         TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return;
  }
  State& state = it->second;
  ++state.in_flight;
  if (state.cold_when_back) {
    state.cold_when_back = false;
    const auto service = m_services.find(state.facts.service);
    if (service != m_services.end()) {
      state.cold_until =
          std::max(state.cold_until, now + service->second.cold_time);
    }
  }
  if (state.cold_until > now) {
    state.cold_sent.Add(now);
  }
  if (object) {
    if (state.objects.size() >= kMaxObjects) {
      state.objects.clear();
    }
    state.objects[*object] = now;
  }
}

void TargetBoard::OnEnd(const TargetId& target,
                        AttemptOutcome end,
                        Duration took,
                        const std::optional<LoadReport>& report,
                        TimePoint now) {
  const auto it = m_targets.find(target);
  if (it == m_targets.end()) {
    return;
  }
  State& state = it->second;
  state.in_flight -= state.in_flight > 0 ? 1 : 0;
  if (report) {
    const double total = report->running + report->waiting;
    state.others = std::max(0.0, total - state.in_flight);
    state.reported = true;
    state.reported_at = now;
  }
  bool failed = false;
  switch (end) {
    case AttemptOutcome::kAnswered: {
      const double took_s = ToSeconds(took);
      state.latency_s += state.latency_s == 0
                             ? took_s
                             : kAverageGain * (took_s - state.latency_s);
      state.answered_at = now;
      state.unreachable = 0;
      double& service_s =
          m_service_s.try_emplace(state.facts.service, kAssumedServiceSeconds)
              .first->second;
      // Slow targets must not make slowness look usual.
      service_s +=
          kAverageGain / 4 * (std::min(took_s, 3 * service_s) - service_s);
      break;
    }
    case AttemptOutcome::kShed:
      state.closed_until = std::max(state.closed_until, now + kCloseAfterShed);
      failed = true;
      break;
    case AttemptOutcome::kError:
      failed = true;
      break;
    case AttemptOutcome::kLost:
      failed = true;
      state.answered_at = now;
      break;
    case AttemptOutcome::kMisdirected:
      state.closed_until = now + kLongestClose;
      break;
    case AttemptOutcome::kUnreachable: {
      failed = true;
      constexpr uint32_t kMaxDoublings = 4;
      const Duration close =
          kFirstClose * (1 << std::min(state.unreachable, kMaxDoublings));
      ++state.unreachable;
      state.closed_until = now + std::min(close, kLongestClose);
      state.cold_when_back = true;
      state.objects.clear();
      break;
    }
    case AttemptOutcome::kAbandoned:
      return;
  }
  const double rate = FailureRate(state, now);
  state.failure_rate = rate + kFailureGain * ((failed ? 1.0 : 0.0) - rate);
  state.failed_at = now;
}

void TargetBoard::Tick(TimePoint now) {
  for (auto it = m_removed_at.begin(); it != m_removed_at.end();) {
    it =
        now - it->second < kColdWindow ? std::next(it) : m_removed_at.erase(it);
  }
  for (const auto& [service, states] : m_by_service) {
    double slots = 0;
    double all_slots = 0;
    double load = 0;
    for (const State* state : states) {
      if (state->facts.leaving || Evacuated(*state) ||
          state->closed_until > now) {
        continue;
      }
      all_slots += state->facts.slots;
      if (state->facts.region != m_options.region) {
        continue;
      }
      slots += state->facts.slots;
      load += Occupancy(*state, now);
    }
    if (all_slots == 0) {
      continue;
    }
    const auto it = m_spill.try_emplace(service, m_options.spill).first;
    // Without requests there is no load to go by, either.
    if ((now < m_begins_until || load == 0) && m_hosts > 0) {
      it->second.Begin(slots / all_slots,
                       static_cast<double>(m_region_hosts) / m_hosts);
      continue;
    }
    it->second.Update(slots > 0 ? load / slots : 1, slots, now);
  }
}

double TargetBoard::SpillOf(const ServiceId& service) const {
  const auto it = m_spill.find(service);
  return it == m_spill.end() ? 0 : it->second.share();
}

}  // namespace applestand
