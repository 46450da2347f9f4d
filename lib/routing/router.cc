#include "lib/routing/router.h"

#include <xxhash.h>

#include <algorithm>

namespace applestand {

namespace {

bool IsTried(const RouteQuery& query, const HostId& host) {
  return std::find(query.tried.begin(), query.tried.end(), host) !=
         query.tried.end();
}

}  // namespace

void Router::SetHomes(HomeMap homes) {
  m_homes = std::move(homes);
}

void Router::OnReport(const CapacityReport& report, TimePoint now) {
  HostReports& host = m_host_reports[report.from];
  const bool is_new = host.incarnation < report.incarnation ||
                      (host.incarnation == report.incarnation &&
                       host.sequence < report.sequence);
  if (!is_new) {
    return;
  }
  host.incarnation = report.incarnation;
  host.sequence = report.sequence;
  host.unresponsive_until = now;
  for (const ServiceCapacity& capacity : report.services) {
    host.services[capacity.service] = Reported{capacity, now, 0};
  }
}

std::optional<RouteChoice> Router::Choose(RouteQuery& query,
                                          TimePoint now,
                                          RouteRefusal& refusal) {
  if (query.tried.size() >= m_policy.max_attempts) {
    refusal = {RetryAfter(query, now), "too many refusals"};
    return std::nullopt;
  }
  DecideShift(query, now);
  if (!query.shifted_to.empty()) {
    if (auto choice = ChooseRemote(query, query.shifted_to, now)) {
      return choice;
    }
  }
  const bool lost = IsLocalCapacityLost(query.service, now);
  if (lost && query.may_fail_over) {
    if (auto choice = ChooseAnyRemote(query, now)) {
      return choice;
    }
  }
  const Estimates local = EstimatesOf(query, m_local, now);
  const Estimate* best = PickLocal(local, query.service);
  if (best != nullptr && (best->spare > 0 || !MayLeaveRegion(query, *best))) {
    return CommitChoice(query.service, best->home->host, m_local);
  }
  // If the region has lost all capacity, requests leave it only as failover,
  // which limits their rate.
  if (!lost && (best != nullptr || !query.tried.empty())) {
    if (auto choice = ChooseAnyRemote(query, now)) {
      return choice;
    }
  }
  if (best != nullptr && (!lost || query.tried.empty())) {
    return CommitChoice(query.service, best->home->host, m_local);
  }
  refusal = {RetryAfter(query, now), "no home host has room"};
  return std::nullopt;
}

void Router::OnAttemptEnd(const ServiceId& service,
                          const RouteChoice& choice,
                          AttemptEnd end,
                          TimePoint now) {
  if (choice.remote) {
    m_grants.Release(choice.home, service);
  }
  if (end == AttemptEnd::kNoResponse) {
    m_host_reports[choice.home].unresponsive_until =
        now + m_policy.unresponsive_pause;
  }
}

uint32_t Router::SpareSlots(const ServiceId& service,
                            const RegionId& region,
                            TimePoint now) const {
  uint32_t spare = 0;
  for (const ServiceHome& home : m_homes.HomeHostsOf(service, region)) {
    spare += EstimateOf(home, service, now).spare;
  }
  return spare;
}

uint32_t Router::SeedOf(const HostId& host) {
  const std::string& text = host.value();
  return XXH32(text.data(), text.size(), 0);
}

void Router::DecideShift(RouteQuery& query, TimePoint now) {
  const bool lost = IsLocalCapacityLost(query.service, now);
  m_shares.SetLocalCapacityLost(query.service, lost, now);
  if (query.shift_decided) {
    return;
  }
  query.shift_decided = true;
  query.shifted_to = m_shares.TryShift(query.service, query.request_hash);
  query.may_fail_over =
      lost && m_shares.TryFailOver(query.service, query.request_hash);
}

bool Router::IsLocalCapacityLost(const ServiceId& service,
                                 TimePoint now) const {
  const auto& homes = m_homes.HomeHostsOf(service, m_local);
  return std::none_of(homes.begin(), homes.end(), [&](const ServiceHome& home) {
    return EstimateOf(home, service, now).usable;
  });
}

Router::Estimates Router::EstimatesOf(const RouteQuery& query,
                                      const RegionId& region,
                                      TimePoint now) const {
  Estimates estimates;
  for (const ServiceHome& home : m_homes.HomeHostsOf(query.service, region)) {
    if (IsTried(query, home.host)) {
      continue;
    }
    const Estimate estimate = EstimateOf(home, query.service, now);
    if (!estimate.unresponsive) {
      estimates.push_back(estimate);
    }
  }
  return estimates;
}

Router::Estimate Router::EstimateOf(const ServiceHome& home,
                                    const ServiceId& service,
                                    TimePoint now) const {
  Estimate estimate;
  estimate.home = &home;
  // Without a report, assume that the host's targets are in slow start: one
  // slot each.
  estimate.spare = home.targets;
  const auto host = m_host_reports.find(home.host);
  if (host == m_host_reports.end()) {
    return estimate;
  }
  estimate.unresponsive = host->second.unresponsive_until > now;
  estimate.usable = !estimate.unresponsive;
  const auto found = host->second.services.find(service);
  if (found == host->second.services.end()) {
    return estimate;
  }
  const Reported& reported = found->second;
  if (now - reported.at < m_policy.report_lifetime) {
    estimate.spare = reported.capacity.spare;
    estimate.wait = reported.capacity.wait;
    estimate.usable = !estimate.unresponsive && reported.capacity.allowed > 0;
  }
  estimate.spare -= std::min(estimate.spare, reported.sent);
  return estimate;
}

const Router::Estimate* Router::PickLocal(const Estimates& estimates,
                                          const ServiceId& service) {
  uint32_t spare = 0;
  for (const Estimate& estimate : estimates) {
    if (estimate.home->host == m_self && estimate.spare > 0) {
      return &estimate;
    }
    spare += estimate.spare;
  }
  return spare > 0 ? PickBySpare(estimates, spare)
                   : PickByWait(estimates, service);
}

const Router::Estimate* Router::PickBySpare(const Estimates& estimates,
                                            uint32_t spare) {
  auto drawn = static_cast<uint32_t>(m_random() % spare);
  for (const Estimate& estimate : estimates) {
    if (drawn < estimate.spare) {
      return &estimate;
    }
    drawn -= estimate.spare;
  }
  return nullptr;
}

const Router::Estimate* Router::PickByWait(const Estimates& estimates,
                                           const ServiceId& service) {
  // Power of two choices: all hosts see the same reports, so always choosing
  // the least wait would send all requests to the same host.
  const Estimate* first = DrawUsable(estimates);
  const Estimate* second = DrawUsable(estimates);
  if (first == nullptr || first == second) {
    return first;
  }
  const auto sent_to = [&](const Estimate& estimate) {
    const auto host = m_host_reports.find(estimate.home->host);
    if (host == m_host_reports.end()) {
      return 0U;
    }
    const auto reported = host->second.services.find(service);
    return reported == host->second.services.end() ? 0U : reported->second.sent;
  };
  const auto key = [&](const Estimate& estimate) {
    return std::make_pair(estimate.wait, sent_to(estimate));
  };
  return key(*second) < key(*first) ? second : first;
}

const Router::Estimate* Router::DrawUsable(const Estimates& estimates) {
  if (estimates.empty()) {
    return nullptr;
  }
  const size_t count = estimates.size();
  const size_t drawn = m_random() % count;
  for (size_t i = 0; i < count; ++i) {
    const Estimate& estimate = estimates[(drawn + i) % count];
    if (estimate.usable) {
      return &estimate;
    }
  }
  // No host is usable. A home host whose targets are all closed can still
  // return the best retry time.
  return &estimates[drawn];
}

bool Router::MayLeaveRegion(const RouteQuery& query,
                            const Estimate& best) const {
  return query.body_bytes <= m_policy.large_body_bytes &&
         best.wait > m_policy.overflow_wait;
}

std::optional<RouteChoice> Router::ChooseRemote(const RouteQuery& query,
                                                const RegionId& region,
                                                TimePoint now) {
  const Estimates estimates = EstimatesOf(query, region, now);
  const Estimate* best = nullptr;
  uint32_t most_free = 0;
  for (const Estimate& estimate : estimates) {
    const HostId& host = estimate.home->host;
    const uint32_t free = m_grants.FreeSlots(host, query.service, now);
    if (free > most_free) {
      best = &estimate;
      most_free = free;
    }
  }
  if (best == nullptr) {
    RecordGrantDemand(query, estimates, now);
    return std::nullopt;
  }
  const HostId host = best->home->host;
  if (!m_grants.TryAcquire(host, query.service, query.body_bytes, now)) {
    return std::nullopt;
  }
  return CommitChoice(query.service, host, region);
}

std::optional<RouteChoice> Router::ChooseAnyRemote(const RouteQuery& query,
                                                   TimePoint now) {
  std::vector<std::pair<uint32_t, RegionId>> regions;
  for (const RegionId& region : m_homes.RegionsOf(query.service)) {
    if (region != m_local && region != query.shifted_to) {
      regions.emplace_back(SpareSlots(query.service, region, now), region);
    }
  }
  std::sort(regions.begin(), regions.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (const auto& [spare, region] : regions) {
    if (auto choice = ChooseRemote(query, region, now)) {
      return choice;
    }
  }
  return std::nullopt;
}

void Router::RecordGrantDemand(const RouteQuery& query,
                               const Estimates& estimates,
                               TimePoint now) {
  uint32_t spare = 0;
  for (const Estimate& estimate : estimates) {
    spare += estimate.spare;
  }
  const Estimate* candidate =
      spare > 0 ? PickBySpare(estimates, spare) : nullptr;
  if (candidate != nullptr) {
    m_grants.RecordDemand(candidate->home->host, query.service,
                          query.body_bytes, now);
  }
}

RouteChoice Router::CommitChoice(const ServiceId& service,
                                 const HostId& home,
                                 const RegionId& region) {
  ++m_host_reports[home].services[service].sent;
  return {home, region, region != m_local};
}

Duration Router::RetryAfter(const RouteQuery& query, TimePoint now) const {
  Duration retry_after = m_policy.default_retry_after;
  for (const ServiceHome& home : m_homes.HomeHostsOf(query.service, m_local)) {
    const Estimate estimate = EstimateOf(home, query.service, now);
    if (estimate.usable && estimate.wait > Duration::zero()) {
      retry_after = std::min(retry_after, estimate.wait);
    }
  }
  return retry_after;
}

}  // namespace applestand
