#include "lib/node/store_view.h"

#include "lib/log/log.h"

namespace applestand {

bool StoreView::OnOperatorRows(const TableMirror& mirror,
                               const std::vector<std::string>& keys,
                               TimePoint now) {
  const auto before = m_config;
  bool zones_changed = false;
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror.Find(key);
    const OperatorRow classified = m_adapter.ClassifyOperatorRow(key);
    if (classified.kind == OperatorRow::Kind::kConfig && row != nullptr) {
      ApplyConfigRow(*row);
    } else if (classified.kind == OperatorRow::Kind::kEvacuation) {
      zones_changed = true;
      if (row != nullptr) {
        m_evacuated_zones.insert(classified.zone);
      } else {
        m_evacuated_zones.erase(classified.zone);
      }
    }
  }
  if (zones_changed) {
    std::string zones;
    for (const ZoneId& zone : m_evacuated_zones) {
      zones += (zones.empty() ? "" : ",") + zone.value();
    }
    LogEvent(Event::kZonesEvacuated,
             {{"zones", zones}, {"store_version", mirror.version()}});
    m_selector.SetEvacuatedZones(m_evacuated_zones, now);
  }
  return m_config != before;
}

void StoreView::ApplyConfigRow(const MirrorRow& row) {
  Reason reason;
  const auto config = m_adapter.DecodeConfig(row.value, reason);
  if (!config) {
    LogEvent(Event::kRowMalformed, {{"row", row.key}, {"reason", reason.text}});
    return;
  }
  if (m_config != nullptr && config->version < m_config->version) {
    return;
  }
  m_config = std::make_shared<const ServingConfig>(*config);
  m_selector.SetServices(m_config->services);
  LogEvent(Event::kConfigApplied, {{"version", m_config->version},
                                   {"store_version", row.version},
                                   {"bytes", row.value.size()},
                                   {"accounts", m_config->accounts.size()},
                                   {"keys", m_config->keys.size()}});
}

void StoreView::OnTargetRows(const TableMirror& mirror,
                             const std::vector<std::string>& keys,
                             TimePoint now) {
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror.Find(key);
    if (row == nullptr && (m_store_lost_at || m_defer_removals_until)) {
      m_deferred_removals.insert(key);
      continue;
    }
    m_deferred_removals.erase(key);
    ApplyTargetRow(key, row, now);
  }
}

void StoreView::ApplyTargetRow(const std::string& key,
                               const MirrorRow* row,
                               TimePoint now) {
  const TargetId id(key);
  const SteeringTarget* known = m_selector.Find(id);
  if (row == nullptr) {
    LogEvent(Event::kTargetRemoved,
             {{"target", key},
              {"reason", "row-removed"},
              {"leaving", known != nullptr && known->draining}});
    if (known != nullptr && !known->draining) {
      m_observer.OnTargetEnded(*known);
    }
    m_selector.Remove(id, now);
    return;
  }
  Reason reason;
  const auto target = m_adapter.DecodeTarget(key, row->value, reason);
  if (!target) {
    LogEvent(Event::kRowMalformed, {{"row", key}, {"reason", reason.text}});
    m_selector.Remove(id, now);
    return;
  }
  LogEvent(Event::kTargetKnown, {{"target", key},
                                 {"service", target->service},
                                 {"zone", target->zone},
                                 {"address", target->address},
                                 {"leaving", target->draining},
                                 {"cold_ms", ToMillis(target->cold_left)},
                                 {"store_version", row->version}});
  if (known != nullptr && known->incarnation != target->incarnation) {
    m_observer.OnTargetEnded(*known);
  }
  m_selector.Update(*target, now);
}

void StoreView::OnStoreRegained(TimePoint now) {
  m_store_lost_at.reset();
  m_defer_removals_until = now + m_target_reregistration_time;
}

void StoreView::Tick(const TableMirror& targets, TimePoint now) {
  if (!m_defer_removals_until || now < *m_defer_removals_until) {
    return;
  }
  m_defer_removals_until.reset();
  for (const std::string& key : m_deferred_removals) {
    ApplyTargetRow(key, targets.Find(key), now);
  }
  m_deferred_removals.clear();
}

}  // namespace applestand
