#include "lib/steering/target_rate_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace applestand {

namespace {

// Fraction of the bound that is used. The rest covers requests that take longer
// to arrive than others.
constexpr double kUsedFraction = 0.9;
// Probes of the hosts without a part of a limit, over all these hosts: the
// number for which each window leaves room, and the time between two of them.
constexpr double kProbesInWindow = 3;
constexpr Duration kProbeSpacing = std::chrono::seconds(2);
// Minimum time between two probes of one host.
constexpr Duration kMinProbePeriod = std::chrono::seconds(10);
// A host's part may be used at once for this time.
constexpr double kMaxBurstSeconds = 1;
// The number of hosts is reduced only when it has been smaller for this long.
constexpr Duration kCountHold = std::chrono::seconds(4);
// A target that comes back within this time after its removal keeps its limit.
constexpr Duration kRemovedLifetime = std::chrono::seconds(30);

uint64_t HashId(const std::string& id) {
  return XXH3_64bits(id.data(), id.size());
}

std::optional<size_t> RankOf(const HostId& host,
                             const std::vector<HostId>& hosts) {
  const auto it = std::find(hosts.begin(), hosts.end(), host);
  return it == hosts.end()
             ? std::nullopt
             : std::optional(static_cast<size_t>(it - hosts.begin()));
}

}  // namespace

void TargetRateLimits::Sharers::Update(size_t live,
                                       std::optional<size_t> rank,
                                       TimePoint now) {
  own_rank = rank;
  if (live >= count || now - count_seen_at >= kCountHold) {
    count = live;
    count_seen_at = now;
  }
}

std::optional<TargetRateLimits::Change> TargetRateLimits::OnResponse(
    const TargetId& target,
    const RegionId& region,
    std::optional<double> requests_per_s,
    TimePoint sent,
    TimePoint now) {
  const auto it = m_limits.find(target);
  if (!requests_per_s) {
    if (it == m_limits.end() || sent < it->second.named_at) {
      return std::nullopt;
    }
    const Change change{it->second.requests_per_s, std::nullopt};
    m_limits.erase(it);
    return change;
  }
  if (it == m_limits.end()) {
    Limit& limit = m_limits[target];
    limit.region = region;
    limit.requests_per_s = *requests_per_s;
    limit.named_at = now;
    // Starts without tokens, because of the requests sent so far.
    limit.filled_at = now;
    // Hosts that learn of the limit at the same time probe at different times.
    const double fraction = std::ldexp(
        static_cast<double>(HashId(m_self.value() + "/" + target.value())),
        -64);
    limit.next_probe_at = now + std::chrono::duration_cast<Duration>(
                                    ProbePeriod() * (0.5 + fraction));
    return Change{std::nullopt, requests_per_s};
  }
  Limit& limit = it->second;
  limit.named_at = now;
  limit.removed_at.reset();
  if (limit.requests_per_s == *requests_per_s) {
    return std::nullopt;
  }
  const Change change{limit.requests_per_s, requests_per_s};
  // Adds the tokens of the time until now at the former rate.
  (void)Allows(target, now);
  limit.requests_per_s = *requests_per_s;
  return change;
}

void TargetRateLimits::OnRemoved(const TargetId& target, TimePoint now) {
  if (const auto it = m_limits.find(target); it != m_limits.end()) {
    it->second.removed_at = now;
  }
}

void TargetRateLimits::SetHosts(const HostsByRegion& hosts, TimePoint now) {
  std::vector<HostId> all;
  for (const auto& [region, in_region] : hosts) {
    m_by_region[region].Update(in_region.size(), RankOf(m_self, in_region),
                               now);
    all.insert(all.end(), in_region.begin(), in_region.end());
  }
  for (auto& [region, sharers] : m_by_region) {
    if (hosts.count(region) == 0) {
      sharers.Update(0, std::nullopt, now);
    }
  }
  std::sort(all.begin(), all.end());
  m_all.Update(all.size(), RankOf(m_self, all), now);
  for (auto it = m_limits.begin(); it != m_limits.end();) {
    const auto& removed_at = it->second.removed_at;
    it = removed_at && now - *removed_at >= kRemovedLifetime
             ? m_limits.erase(it)
             : std::next(it);
  }
}

std::optional<TargetRateLimits::Part> TargetRateLimits::ComputePart(
    const TargetId& target,
    const Limit& limit) const {
  const auto in_region = m_by_region.find(limit.region);
  const Sharers& sharers =
      in_region != m_by_region.end() && in_region->second.count > 0
          ? in_region->second
          : m_all;
  if (!sharers.own_rank || sharers.count == 0) {
    return std::nullopt;
  }
  // What the bound allows at once beyond the limit's rate. Each host that has a
  // part of the limit needs a burst of at least one request.
  const double bursts =
      (limit.requests_per_s * m_bounds.excess * ToSeconds(m_bounds.window) +
       m_bounds.slack) *
          kUsedFraction -
      kProbesInWindow;
  const size_t parts =
      std::min(sharers.count, static_cast<size_t>(std::max(bursts, 0.0)));
  // Each target of a region has other hosts without a part.
  if ((*sharers.own_rank + HashId(target.value())) % sharers.count >= parts) {
    return std::nullopt;
  }
  const auto divisor = static_cast<double>(parts);
  Part part;
  part.requests_per_s = limit.requests_per_s / divisor;
  part.burst = std::min(bursts / divisor,
                        std::max(1.0, part.requests_per_s * kMaxBurstSeconds));
  return part;
}

Duration TargetRateLimits::ProbePeriod() const {
  return std::max(kMinProbePeriod,
                  kProbeSpacing * static_cast<int64_t>(m_all.count));
}

void TargetRateLimits::Fill(Limit& limit,
                            const Part& part,
                            TimePoint now) const {
  limit.tokens = std::min(
      limit.tokens + part.requests_per_s * ToSeconds(now - limit.filled_at),
      part.burst);
  limit.filled_at = now;
}

std::optional<double> TargetRateLimits::RequestsPerSecond(
    const TargetId& target) const {
  const auto it = m_limits.find(target);
  return it == m_limits.end() ? std::nullopt
                              : std::optional(it->second.requests_per_s);
}

bool TargetRateLimits::Allows(const TargetId& target, TimePoint now) {
  const auto it = m_limits.find(target);
  if (it == m_limits.end()) {
    return true;
  }
  Limit& limit = it->second;
  const auto part = ComputePart(target, limit);
  if (!part) {
    limit.tokens = 0;
    limit.filled_at = now;
    return now >= limit.next_probe_at;
  }
  Fill(limit, *part, now);
  return limit.tokens >= 1;
}

void TargetRateLimits::OnSent(const TargetId& target, TimePoint now) {
  const auto it = m_limits.find(target);
  if (it == m_limits.end()) {
    return;
  }
  Limit& limit = it->second;
  if (const auto part = ComputePart(target, limit)) {
    Fill(limit, *part, now);
    limit.tokens -= 1;
  }
  limit.next_probe_at = now + ProbePeriod();
}

}  // namespace applestand
