#include "lib/entry/capacity_view.h"

#include <algorithm>

namespace applestand {

namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(2);

}  // namespace

void CapacityView::OnReport(const CapacityReport& report, TimePoint now) {
  HostReport& host_report = m_reports[report.from];
  host_report.received_at = now;
  host_report.services.clear();
  for (const ServiceCapacity& capacity : report.services) {
    host_report.services[capacity.service] = capacity;
  }
}

const ServiceCapacity* CapacityView::FindCapacity(
    const HostId& host,
    const ServiceId& service) const {
  const auto report = m_reports.find(host);
  if (report == m_reports.end()) {
    return nullptr;
  }
  const auto capacity = report->second.services.find(service);
  return capacity == report->second.services.end() ? nullptr
                                                   : &capacity->second;
}

bool CapacityView::IsLocalCapacityLost(const ServiceId& service) const {
  const auto& home_hosts = m_home_map.HomeHostsOf(service, m_local);
  return std::all_of(home_hosts.begin(), home_hosts.end(),
                     [this, &service](const ServiceHome& home) {
                       const auto* capacity = FindCapacity(home.host, service);
                       return capacity != nullptr && capacity->allowed == 0;
                     });
}

std::vector<RegionLoad> CapacityView::RegionLoads(const ServiceId& service,
                                                  TimePoint now) const {
  std::vector<RegionLoad> loads;
  for (const RegionId& region : m_home_map.RegionsOf(service)) {
    RegionLoad load;
    load.service = service;
    load.region = region;
    for (const ServiceHome& home : m_home_map.HomeHostsOf(service, region)) {
      const auto* capacity = FindCapacity(home.host, service);
      const bool recent =
          capacity != nullptr &&
          now - m_reports.at(home.host).received_at < kReportLifetime;
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
