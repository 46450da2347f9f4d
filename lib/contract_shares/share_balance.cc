#include <algorithm>
#include <functional>

#include "lib/contract_shares/share_manager.h"

namespace applestand {

std::optional<size_t> ShareManager::FindShareToAcquire(
    TimePoint now,
    const std::vector<HostId>& live_hosts) const {
  if (m_stopping) {
    return std::nullopt;
  }
  const std::map<HostId, size_t> counts = CountShares(live_hosts, now);
  const size_t own = counts.at(m_self);
  const bool has_fewest =
      std::all_of(counts.begin(), counts.end(),
                  [&](const auto& entry) { return own <= entry.second; });
  // Each host starts its search at a different share, so that hosts rarely
  // compete for the same one.
  const size_t start = std::hash<HostId>()(m_self) % m_shares.size();
  for (size_t i = 0; i < m_shares.size(); ++i) {
    const size_t index = (start + i) % m_shares.size();
    const Share& share = m_shares[index];
    if (!IsFree(share, now)) {
      continue;
    }
    const bool yield_period_over =
        share.free_since && now - *share.free_since >= m_options.yield_interval;
    if (has_fewest || yield_period_over) {
      return index;
    }
  }
  return std::nullopt;
}

void ShareManager::RevokeSurplus(TimePoint now,
                                 const std::vector<HostId>& live_hosts) {
  if (m_stopping || (m_next_revoke && now < *m_next_revoke)) {
    return;
  }
  for (const Share& share : m_shares) {
    if (!share.known || IsFree(share, now)) {
      return;
    }
  }
  const std::map<HostId, size_t> counts = CountShares(live_hosts, now);
  size_t fewest = m_shares.size();
  for (const auto& [host, count] : counts) {
    fewest = std::min(fewest, count);
  }
  const size_t own = counts.at(m_self);
  if (own < fewest + 2) {
    return;
  }
  // Hosts are ranked by the number of their shares, ties by host id. Only as
  // many of the first ones revoke a share as there are hosts with the fewest.
  size_t hosts_with_fewest = 0;
  size_t hosts_before_self = 0;
  for (const auto& [host, count] : counts) {
    hosts_with_fewest += count == fewest ? 1 : 0;
    hosts_before_self += count > own || (count == own && host < m_self) ? 1 : 0;
  }
  if (hosts_before_self >= hosts_with_fewest) {
    return;
  }
  const auto owned = std::find_if(
      m_shares.begin(), m_shares.end(),
      [](const Share& share) { return share.ownership == Ownership::kOwned; });
  if (owned != m_shares.end()) {
    Revoke(*owned);
    m_next_revoke = now + m_options.lease;
  }
}

std::map<HostId, size_t> ShareManager::CountShares(
    const std::vector<HostId>& live_hosts,
    TimePoint now) const {
  std::map<HostId, size_t> counts;
  for (const HostId& host : live_hosts) {
    counts[host] = 0;
  }
  counts[m_self] = OwnedCount(now);
  for (const Share& share : m_shares) {
    if (share.ownership != Ownership::kNone || !share.row ||
        IsFree(share, now)) {
      continue;
    }
    const auto holder = counts.find(share.row->host);
    if (holder != counts.end() && holder->first != m_self) {
      ++holder->second;
    }
  }
  return counts;
}

}  // namespace applestand
