#ifndef LIB_CONTROL_MOVE_SERVICE_H_
#define LIB_CONTROL_MOVE_SERVICE_H_

#include <map>
#include <utility>
#include <vector>

#include "lib/control/config_sync.h"
#include "lib/local_state/messages.h"
#include "lib/moves/move_advancer.h"

namespace applestand {

/// Headroom of regions, from the reports of this host's entry process.
/// Single-threaded.
class ReportedHeadroom : public HeadroomView {
 public:
  explicit ReportedHeadroom(const EventLoop& loop) : m_loop(loop) {}

  /// Replaces the loads of the previous report.
  void OnReport(const std::vector<RegionLoad>& loads);

  /// Returns true if the slots that the shifted fraction of the traffic uses
  /// now fit into the spare slots of `to` less a reserve. Returns false if
  /// there is no recent report or it has no load for `to`.
  bool HasRoom(const ServiceId& service,
               const RegionId& from,
               const RegionId& to,
               uint32_t permille) const override;

 private:
  const EventLoop& m_loop;
  TimePoint m_reported_at;
  std::map<std::pair<ServiceId, RegionId>, RegionLoad> m_loads;
};

/// Advances planned moves of traffic by appending changes to the configuration.
/// Single-threaded: all methods are called on the thread of the event loop.
class MoveService {
 public:
  /// The references must outlive this object.
  MoveService(EventLoop& loop, ConfigSync& config);

  /// Proposes the first step that is due, unless an earlier one is still being
  /// appended. Must be called about once a second.
  void Tick();

  void OnReport(const std::vector<RegionLoad>& loads) {
    m_headroom.OnReport(loads);
  }

 private:
  void Propose(const MoveStep& step);

  EventLoop& m_loop;
  ConfigSync& m_config;
  ReportedHeadroom m_headroom;
  MoveAdvancer m_advancer;
  // True while a step is being appended, so that no step is proposed twice
  // concurrently.
  bool m_append_pending = false;
};

}  // namespace applestand

#endif  // LIB_CONTROL_MOVE_SERVICE_H_
