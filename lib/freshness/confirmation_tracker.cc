#include "lib/freshness/confirmation_tracker.h"

#include <algorithm>

namespace applestand {

void ConfirmationTracker::OnApplied(const HostId& host,
                                    bool in_store_region,
                                    ConfigVersion version) {
  Applied& applied = m_applied[host];
  applied.in_store_region = in_store_region;
  applied.version = std::max(applied.version, version);
}

bool ConfirmationTracker::IsAccepted(ConfigVersion version) const {
  const auto counts = [version](const auto& entry) {
    return entry.second.in_store_region && entry.second.version >= version;
  };
  const auto count = std::count_if(m_applied.begin(), m_applied.end(), counts);
  return count >= static_cast<int64_t>(m_quorum.confirm);
}

std::vector<HostId> ConfirmationTracker::ConfirmedBy(
    ConfigVersion version) const {
  std::vector<HostId> hosts;
  for (const auto& [host, applied] : m_applied) {
    if (applied.version >= version) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void ConfirmationTracker::Forget(const HostId& host) {
  m_applied.erase(host);
}

}  // namespace applestand
