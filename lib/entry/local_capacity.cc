#include "lib/entry/local_capacity.h"

#include <algorithm>

namespace applestand {

void LocalCapacity::OnReport(const CapacityReport& report) {
  auto& allowed = m_allowed[report.from];
  allowed.clear();
  for (const ServiceCapacity& capacity : report.services) {
    allowed[capacity.service] = capacity.allowed;
  }
}

bool LocalCapacity::IsLost(const ServiceId& service) const {
  const auto& homes = m_homes.HomesOf(service, m_region);
  return std::all_of(
      homes.begin(), homes.end(), [this, &service](const ServiceHome& home) {
        const auto host = m_allowed.find(home.host);
        if (host == m_allowed.end()) {
          return false;
        }
        const auto allowed = host->second.find(service);
        return allowed != host->second.end() && allowed->second == 0;
      });
}

}  // namespace applestand
