#ifndef LIB_NODE_STORE_VIEW_H_
#define LIB_NODE_STORE_VIEW_H_

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/fleet/table_mirror.h"
#include "lib/node/platform_adapter.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// Receives notifications of changes of targets.
class TargetObserver {
 public:
  virtual ~TargetObserver() = default;
  /// The target ended or restarted without having drained. `target` is its last
  /// description, valid during the call.
  virtual void OnTargetEnded(const SteeringTarget& target) = 0;
};

/// Derives the state that a host serves requests with from the rows of the
/// store: the configuration, the targets and the evacuated zones.
///
/// While the store is unreachable, rows of live targets may expire. Removals of
/// targets during that time therefore take effect only after the targets had
/// time to register again. The same holds after the store has come back from an
/// older copy, in which the latest rows of targets and operators are missing:
/// until they had time to write again, no target is presumed gone or no longer
/// draining, and no zone is presumed taken back.
///
/// Not thread-safe.
class StoreView {
 public:
  /// All references must outlive this object. Removals are deferred for
  /// `target_reregistration_time` after the store is reachable again.
  StoreView(const PlatformAdapter& adapter,
            TargetSelector& selector,
            TargetObserver& observer,
            Duration target_reregistration_time)
      : m_adapter(adapter),
        m_selector(selector),
        m_observer(observer),
        m_target_reregistration_time(target_reregistration_time) {}

  /// Called when the rows with these keys of the operators' table were added,
  /// changed or removed. Returns whether the configuration has changed.
  bool OnOperatorRows(const TableMirror& mirror,
                      const std::vector<std::string>& keys,
                      TimePoint now);
  /// Called when the rows with these keys of the targets' table were added,
  /// changed or removed.
  void OnTargetRows(const TableMirror& mirror,
                    const std::vector<std::string>& keys,
                    TimePoint now);
  /// Called when the store has become unreachable.
  void OnStoreLost(TimePoint now) { m_store_lost_at = now; }
  /// Called when the store is reachable again.
  void OnStoreRegained(TimePoint now);
  /// Called when the store has come back from an older copy, before rows that
  /// were read since are passed on.
  void OnStoreRestored(TimePoint now);
  /// Applies deferred changes that are due. Must be called about every 250 ms.
  void Tick(const TableMirror& operators,
            const TableMirror& targets,
            TimePoint now);

  /// Null until a valid configuration has been read.
  const std::shared_ptr<const ServingConfig>& config() const {
    return m_config;
  }
  /// The configuration's row as it was last read with a change. May be older
  /// than config() after the store has come back from an older copy.
  struct ConfigRow {
    ConfigVersion config;
    StoreVersion written_at;
  };
  const ConfigRow& config_row() const { return m_config_row; }
  /// Returns an earlier configuration that was in effect until recently, or
  /// null if there is no such version.
  std::shared_ptr<const ServingConfig> FindRecentConfig(ConfigVersion version,
                                                        TimePoint now) const;

 private:
  /// `copy_age` is the age of this host's copy of the table.
  void ApplyConfigRow(const MirrorRow& row, Duration copy_age, TimePoint now);
  /// Returns whether the row may be an old one that the store came back with,
  /// from before the target announced that it drains.
  bool MayPrecedeDrain(const std::string& key, const MirrorRow& row) const;
  /// `row` is null if the target's row was removed.
  void ApplyTargetRow(const std::string& key,
                      const MirrorRow* row,
                      TimePoint now);

  const PlatformAdapter& m_adapter;
  TargetSelector& m_selector;
  TargetObserver& m_observer;
  const Duration m_target_reregistration_time;
  struct ReplacedConfig {
    std::shared_ptr<const ServingConfig> config;
    TimePoint replaced_at;
  };

  std::shared_ptr<const ServingConfig> m_config;
  ConfigRow m_config_row;
  // Earlier configurations, oldest first, for requests of hosts that have not
  // applied the latest one yet.
  std::deque<ReplacedConfig> m_replaced_configs;
  std::set<ZoneId> m_evacuated_zones;
  // Set while the store is unreachable.
  std::optional<TimePoint> m_store_lost_at;
  // Set after the store became reachable again, until the deferred removals are
  // applied.
  std::optional<TimePoint> m_defer_removals_until;
  // Set after the store came back from an older copy. Until then its rows may
  // be older than what is known.
  std::optional<TimePoint> m_restored_until;
  // Keys of the targets whose row is applied later.
  std::set<std::string> m_deferred_targets;
  // Keys of evacuations whose removal is applied later.
  std::set<std::string> m_deferred_evacuations;
};

}  // namespace applestand

#endif  // LIB_NODE_STORE_VIEW_H_
