#include "lib/steering/region_load_aggregator.h"

#include <xxhash.h>

namespace applestand {

namespace {

// A host that has not reported for this long has stopped, or reports to another
// host.
constexpr Duration kReportLifetime = std::chrono::seconds(1);
constexpr Duration kExpirePeriod = std::chrono::milliseconds(200);

}  // namespace

TargetIdHash HashTargetId(const TargetId& target) {
  return static_cast<TargetIdHash>(
      XXH3_64bits(target.value().data(), target.value().size()));
}

void RegionLoadAggregator::Subtract(const TargetCounts& counts) {
  for (const auto& [target, count] : counts) {
    const auto it = m_totals.find(target);
    it->second -= count;
    if (it->second == 0) {
      m_totals.erase(it);
    }
  }
}

void RegionLoadAggregator::OnReport(const HostId& host,
                                    const TargetCounts& counts,
                                    TimePoint now) {
  Report& report = m_reports[host];
  Subtract(report.counts);
  report.counts.clear();
  for (const auto& [target, count] : counts) {
    if (count > 0) {
      report.counts[target] = count;
      m_totals[target] += count;
    }
  }
  report.at = now;
}

const TargetCounts& RegionLoadAggregator::Totals(TimePoint now) {
  if (now - m_expired_at >= kExpirePeriod) {
    m_expired_at = now;
    for (auto it = m_reports.begin(); it != m_reports.end();) {
      if (now - it->second.at < kReportLifetime) {
        ++it;
        continue;
      }
      Subtract(it->second.counts);
      it = m_reports.erase(it);
    }
  }
  return m_totals;
}

}  // namespace applestand
