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
    const OperatorRow meaning = m_adapter.ClassifyOperatorRow(key);
    if (meaning.kind == OperatorRow::Kind::kConfig && row != nullptr) {
      TakeConfig(*row);
    } else if (meaning.kind == OperatorRow::Kind::kEvacuation) {
      zones_changed = true;
      if (row != nullptr) {
        m_evacuated.insert(meaning.zone);
      } else {
        m_evacuated.erase(meaning.zone);
      }
    }
  }
  if (zones_changed) {
    std::string zones;
    for (const ZoneId& zone : m_evacuated) {
      zones += (zones.empty() ? "" : ",") + zone.value();
    }
    LogEvent(Event::kZonesEvacuated,
             {{"zones", zones}, {"store_version", mirror.version()}});
    m_board.SetEvacuatedZones(m_evacuated, now);
  }
  return m_config != before;
}

void StoreView::TakeConfig(const MirrorRow& row) {
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
  m_board.SetServices(m_config->services);
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
    if (row == nullptr && (m_lost_at || m_returned_by)) {
      m_lapsed.insert(key);
      continue;
    }
    m_lapsed.erase(key);
    TakeTarget(key, row, now);
  }
}

void StoreView::TakeTarget(const std::string& key,
                           const MirrorRow* row,
                           TimePoint now) {
  const TargetId id(key);
  if (row == nullptr) {
    LogEvent(Event::kTargetRemoved,
             {{"target", key}, {"reason", "row-removed"}});
    m_board.Remove(id, now);
    return;
  }
  Reason reason;
  const auto target = m_adapter.DecodeTarget(key, row->value, reason);
  if (!target) {
    LogEvent(Event::kRowMalformed, {{"row", key}, {"reason", reason.text}});
    m_board.Remove(id, now);
    return;
  }
  LogEvent(Event::kTargetKnown, {{"target", key},
                                 {"service", target->service},
                                 {"zone", target->zone},
                                 {"address", target->address},
                                 {"leaving", target->draining},
                                 {"cold_ms", ToMillis(target->cold_left)},
                                 {"store_version", row->version}});
  m_board.Update(*target, now);
}

void StoreView::OnStoreRegained(TimePoint now) {
  m_lost_at.reset();
  m_returned_by = now + m_target_return;
}

void StoreView::Tick(const TableMirror& targets, TimePoint now) {
  if (!m_returned_by || now < *m_returned_by) {
    return;
  }
  m_returned_by.reset();
  for (const std::string& key : m_lapsed) {
    TakeTarget(key, targets.Find(key), now);
  }
  m_lapsed.clear();
}

}  // namespace applestand
