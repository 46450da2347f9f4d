#ifndef LIB_NODE_STORE_VIEW_H_
#define LIB_NODE_STORE_VIEW_H_

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
/// time to register again.
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
  /// Applies deferred removals that are due. Must be called about every 250 ms.
  void Tick(const TableMirror& targets, TimePoint now);

  /// Null until a valid configuration has been read.
  const std::shared_ptr<const ServingConfig>& config() const {
    return m_config;
  }

 private:
  void ApplyConfigRow(const MirrorRow& row);
  /// `row` is null if the target's row was removed.
  void ApplyTargetRow(const std::string& key,
                      const MirrorRow* row,
                      TimePoint now);

  const PlatformAdapter& m_adapter;
  TargetSelector& m_selector;
  TargetObserver& m_observer;
  const Duration m_target_reregistration_time;
  std::shared_ptr<const ServingConfig> m_config;
  std::set<ZoneId> m_evacuated_zones;
  // Set while the store is unreachable.
  std::optional<TimePoint> m_store_lost_at;
  // Set after the store became reachable again, until the deferred removals are
  // applied.
  std::optional<TimePoint> m_defer_removals_until;
  // Keys of the targets whose removal is deferred.
  std::set<std::string> m_deferred_removals;
};

}  // namespace applestand

#endif  // LIB_NODE_STORE_VIEW_H_
