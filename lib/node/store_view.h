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

/// Turns the rows of the store into what a host serves by: the configuration,
/// the targets, the evacuated zones.
///
/// While the store was away, entries of living targets may have lapsed: such
/// removals take effect only once the targets had time to return.
///
/// Not thread-safe.
class StoreView {
 public:
  /// Preconditions: the references outlive this object.
  StoreView(const PlatformAdapter& adapter,
            TargetSelector& board,
            Duration target_return)
      : m_adapter(adapter), m_board(board), m_target_return(target_return) {}

  /// Takes in rows that have changed. Returns whether the configuration did.
  bool OnOperatorRows(const TableMirror& mirror,
                      const std::vector<std::string>& keys,
                      TimePoint now);
  void OnTargetRows(const TableMirror& mirror,
                    const std::vector<std::string>& keys,
                    TimePoint now);
  void OnStoreLost(TimePoint now) { m_lost_at = now; }
  void OnStoreRegained(TimePoint now);
  /// Carries out removals whose time has come; call about every 250 ms.
  void Tick(const TableMirror& targets, TimePoint now);

  /// Null until a configuration was read.
  const std::shared_ptr<const ServingConfig>& config() const {
    return m_config;
  }

 private:
  void TakeConfig(const MirrorRow& row);
  void TakeTarget(const std::string& key, const MirrorRow* row, TimePoint now);

  const PlatformAdapter& m_adapter;
  TargetSelector& m_board;
  const Duration m_target_return;
  std::shared_ptr<const ServingConfig> m_config;
  std::set<ZoneId> m_evacuated;
  // Set while the store is away; then the end of the time to return.
  std::optional<TimePoint> m_lost_at;
  std::optional<TimePoint> m_returned_by;
  std::set<std::string> m_lapsed;
};

}  // namespace applestand

#endif  // LIB_NODE_STORE_VIEW_H_
