#include "lib/entry/capacity_view.h"

#include <algorithm>

namespace applestand {

namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(2);

}  // namespace

void CapacityView::OnReport(const CapacityReport& report, TimePoint now) {
  Reported& reported = m_reports[report.from];
  reported.at = now;
  reported.services.clear();
  for (const ServiceCapacity& capacity : report.services) {
    reported.services[capacity.service] = capacity;
  }
}

const ServiceCapacity* CapacityView::Find(const HostId& host,
                                          const ServiceId& service) const {
  const auto reported = m_reports.find(host);
  if (reported == m_reports.end()) {
    return nullptr;
  }
  const auto capacity = reported->second.services.find(service);
  return capacity == reported->second.services.end() ? nullptr
                                                     : &capacity->second;
}

bool CapacityView::IsLocalLost(const ServiceId& service) const {
  const auto& homes = m_homes.HomeHostsOf(service, m_local);
  return std::all_of(homes.begin(), homes.end(),
                     [this, &service](const ServiceHome& home) {
                       const auto* capacity = Find(home.host, service);
                       return capacity != nullptr && capacity->allowed == 0;
                     });
}

std::vector<RegionLoad> CapacityView::Loads(const ServiceId& service,
                                            TimePoint now) const {
  std::vector<RegionLoad> loads;
  for (const RegionId& region : m_homes.RegionsOf(service)) {
    RegionLoad load;
    load.service = service;
    load.region = region;
    for (const ServiceHome& home : m_homes.HomeHostsOf(service, region)) {
      const auto* capacity = Find(home.host, service);
      const bool recent = capacity != nullptr &&
                          now - m_reports.at(home.host).at < kReportLifetime;
      if (recent) {
        load.allowed += capacity->allowed;
        load.spare += capacity->spare;
      }
    }
    loads.push_back(load);
  }
  return loads;
}

}  // namespace applestand
