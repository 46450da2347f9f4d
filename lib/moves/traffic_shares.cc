#include "lib/moves/traffic_shares.h"

#include <algorithm>

namespace applestand {

namespace {

constexpr uint32_t kFullPermille = 1000;
constexpr uint64_t kFailoverSalt = 0x5851f42d4c957f2d;

/// Maps a hash to [0, 1000). The hash is mixed first, so that the distribution
/// is even for poor hashes too.
uint32_t PermilleOf(uint64_t hash) {
  hash += 0x9e3779b97f4a7c15;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  hash ^= hash >> 31;
  return static_cast<uint32_t>(hash % kFullPermille);
}

}  // namespace

void TrafficShares::OnConfig(const ConfigState& config, TimePoint now) {
  SetGoals(config);
  if (!m_configured) {
    // A host that starts applies the current state of each move at once, as the
    // other hosts already do.
    m_configured = true;
    for (auto& [id, service] : m_services) {
      for (auto& [region, share] : service.moved) {
        share.current = share.goal;
      }
    }
  }
  Tick(now);
}

void TrafficShares::SetLocalCapacityLost(const ServiceId& service,
                                         bool lost,
                                         TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end() && !lost) {
    return;
  }
  ServiceShares& shares = m_services[service];
  shares.failover.step = m_policy.step_permille;
  shares.failover.interval = m_policy.step_interval;
  shares.failover.goal = lost ? kFullPermille : 0;
  shares.failover.Advance(now);
}

void TrafficShares::Tick(TimePoint now) {
  for (auto& [id, service] : m_services) {
    for (auto& [region, share] : service.moved) {
      share.Advance(now);
    }
    service.failover.Advance(now);
  }
}

std::vector<RegionShare> TrafficShares::SharesOf(
    const ServiceId& service) const {
  std::vector<RegionShare> shares;
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return shares;
  }
  uint32_t remaining = kFullPermille;
  for (const auto& [region, share] : found->second.moved) {
    const uint32_t permille = std::min(share.current, remaining);
    remaining -= permille;
    if (permille > 0) {
      shares.push_back({region, permille});
    }
  }
  return shares;
}

uint32_t TrafficShares::FailoverPermille(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0 : found->second.failover.current;
}

RegionId TrafficShares::TryShift(const ServiceId& service,
                                 uint64_t request_hash) {
  RegionId shifted_to;
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return shifted_to;
  }
  const uint32_t position = PermilleOf(request_hash);
  uint32_t begin = 0;
  for (auto& [region, share] : found->second.moved) {
    const uint32_t end = std::min(begin + share.current, kFullPermille);
    const bool selected = begin <= position && position < end;
    if (share.TryTake(selected)) {
      shifted_to = region;
    }
    begin = end;
  }
  return shifted_to;
}

bool TrafficShares::TryFailOver(const ServiceId& service,
                                uint64_t request_hash) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return false;
  }
  RateLimitedShare& failover = found->second.failover;
  // The salt makes this selection independent of the one by TryShift.
  return failover.TryTake(PermilleOf(request_hash ^ kFailoverSalt) <
                          failover.current);
}

void TrafficShares::SetGoals(const ConfigState& config) {
  for (auto& [id, service] : m_services) {
    for (auto& [region, share] : service.moved) {
      share.goal = 0;
    }
  }
  for (const auto& [id, move] : config.moves) {
    if (move.from == m_local && move.to != m_local) {
      AddMove(move);
    }
  }
}

void TrafficShares::AddMove(const Move& move) {
  RateLimitedShare& share = m_services[move.service].moved[move.to];
  share.goal = std::min(share.goal + move.current_permille, kFullPermille);
  share.step = move.step_permille;
  share.interval = move.step_interval;
}

void TrafficShares::RateLimitedShare::Advance(TimePoint now) {
  if (current == goal || (changed_before && now - changed_at < interval)) {
    return;
  }
  const uint32_t left = current < goal ? goal - current : current - goal;
  const uint32_t change = std::min(left, step);
  current = current < goal ? current + change : current - change;
  changed_at = now;
  changed_before = true;
}

bool TrafficShares::RateLimitedShare::TryTake(bool selected) {
  const double fraction = static_cast<double>(current) / kFullPermille;
  credit = std::min(credit + fraction, kCreditLimit);
  // A share of 1000 needs no limit, and rounding errors must not keep a request
  // here.
  if (!selected || (credit < 1 && current < kFullPermille)) {
    return false;
  }
  credit = std::max(credit - 1, 0.0);
  return true;
}

}  // namespace applestand
