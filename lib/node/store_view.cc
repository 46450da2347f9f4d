#include "lib/node/store_view.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Time and number for which replaced configurations are kept. Exceeds the time
// by which the copies of two hosts differ in normal operation.
constexpr Duration kReplacedConfigTime = std::chrono::milliseconds(2500);
constexpr size_t kMaxReplacedConfigs = 8;

}  // namespace

bool StoreView::OnOperatorRows(const TableMirror& mirror,
                               const std::vector<std::string>& keys,
                               TimePoint now) {
  const auto before = m_config;
  bool zones_changed = false;
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror.Find(key);
    const OperatorRow classified = m_adapter.ClassifyOperatorRow(key);
    if (classified.kind == OperatorRow::Kind::kConfig && row != nullptr) {
      ApplyConfigRow(*row, now - mirror.current_at(), now);
    } else if (classified.kind == OperatorRow::Kind::kEvacuation) {
      if (row == nullptr && m_restored_until) {
        m_deferred_evacuations.insert(key);
        continue;
      }
      m_deferred_evacuations.erase(key);
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

void StoreView::ApplyConfigRow(const MirrorRow& row,
                               Duration copy_age,
                               TimePoint now) {
  Reason reason;
  const auto config = m_adapter.DecodeConfig(row.value, reason);
  if (!config) {
    LogEvent(Event::kRowMalformed, {{"row", row.key}, {"reason", reason.text}});
    return;
  }
  m_config_row = {config->version, row.version};
  if (m_config != nullptr && config->version < m_config->version) {
    LogEvent(Event::kConfigIgnored, {{"version", config->version},
                                     {"in_effect", m_config->version},
                                     {"store_version", row.version},
                                     {"copy_age_ms", ToMillis(copy_age)}});
    return;
  }
  if (m_config != nullptr && config->version != m_config->version) {
    m_replaced_configs.push_back({m_config, now});
    if (m_replaced_configs.size() > kMaxReplacedConfigs) {
      m_replaced_configs.pop_front();
    }
  }
  m_config = std::make_shared<const ServingConfig>(*config);
  m_selector.SetServices(m_config->services);
  LogEvent(Event::kConfigApplied, {{"version", m_config->version},
                                   {"store_version", row.version},
                                   {"copy_age_ms", ToMillis(copy_age)},
                                   {"bytes", row.value.size()},
                                   {"accounts", m_config->accounts.size()},
                                   {"keys", m_config->keys.size()}});
}

std::shared_ptr<const ServingConfig> StoreView::FindRecentConfig(
    ConfigVersion version,
    TimePoint now) const {
  for (const ReplacedConfig& replaced : m_replaced_configs) {
    if (replaced.config->version == version &&
        now - replaced.replaced_at <= kReplacedConfigTime) {
      return replaced.config;
    }
  }
  return nullptr;
}

void StoreView::OnTargetRows(const TableMirror& mirror,
                             const std::vector<std::string>& keys,
                             TimePoint now) {
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror.Find(key);
    if (row == nullptr ? m_store_lost_at || m_defer_removals_until
                       : m_restored_until && MayPrecedeDrain(key, *row)) {
      m_deferred_targets.insert(key);
      continue;
    }
    m_deferred_targets.erase(key);
    ApplyTargetRow(key, row, now);
  }
}

void StoreView::ApplyTargetRow(const std::string& key,
                               const MirrorRow* row,
                               TimePoint now) {
  const TargetId id(key);
  const SteeringTarget* known = m_selector.Find(id);
  if (row == nullptr) {
    const bool leaving = known != nullptr && m_selector.IsLeaving(*known);
    LogEvent(
        Event::kTargetRemoved,
        {{"target", key}, {"reason", "row-removed"}, {"leaving", leaving}});
    if (known != nullptr && !leaving) {
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

bool StoreView::MayPrecedeDrain(const std::string& key,
                                const MirrorRow& row) const {
  const SteeringTarget* known = m_selector.Find(TargetId(key));
  if (known == nullptr || !known->draining) {
    return false;
  }
  Reason reason;
  const auto target = m_adapter.DecodeTarget(key, row.value, reason);
  return target && !target->draining &&
         target->incarnation == known->incarnation;
}

void StoreView::OnStoreRegained(TimePoint now) {
  m_store_lost_at.reset();
  m_defer_removals_until = now + m_target_reregistration_time;
}

void StoreView::OnStoreRestored(TimePoint now) {
  m_restored_until = now + m_target_reregistration_time;
  m_defer_removals_until =
      std::max(m_defer_removals_until.value_or(now), *m_restored_until);
}

void StoreView::Tick(const TableMirror& operators,
                     const TableMirror& targets,
                     TimePoint now) {
  while (!m_replaced_configs.empty() &&
         now - m_replaced_configs.front().replaced_at > kReplacedConfigTime) {
    m_replaced_configs.pop_front();
  }
  if (m_restored_until && now >= *m_restored_until) {
    m_restored_until.reset();
    const std::set<std::string> keys =
        std::exchange(m_deferred_evacuations, {});
    if (!keys.empty()) {
      (void)OnOperatorRows(operators, {keys.begin(), keys.end()}, now);
    }
  }
  if (m_defer_removals_until && now >= *m_defer_removals_until) {
    m_defer_removals_until.reset();
    for (const std::string& key : std::exchange(m_deferred_targets, {})) {
      ApplyTargetRow(key, targets.Find(key), now);
    }
  }
}

}  // namespace applestand
