#ifndef LIB_CONTROL_MOVE_SERVICE_H_
#define LIB_CONTROL_MOVE_SERVICE_H_

#include <map>
#include <utility>
#include <vector>

#include "lib/control/config_sync.h"
#include "lib/local_state/messages.h"
#include "lib/moves/move_advancer.h"

namespace applestand {

/// Headroom of regions as the entry process of this host sees it.
/// Single-threaded.
class RegionLoads : public HeadroomView {
 public:
  explicit RegionLoads(const EventLoop& loop) : m_loop(loop) {}

  void OnReport(const std::vector<RegionLoad>& loads);

  /// Room is there where the slots that the shifted part of the traffic uses
  /// now fit into the destination's spare slots less a reserve. Without a
  /// recent report there is none.
  bool HasRoom(const ServiceId& service,
               const RegionId& from,
               const RegionId& to,
               uint32_t permille) const override;

 private:
  const EventLoop& m_loop;
  TimePoint m_at;
  std::map<std::pair<ServiceId, RegionId>, RegionLoad> m_loads;
};

/// Advances planned moves by changes to the configuration.
/// Single-threaded: lives on one event loop.
class MoveService {
 public:
  MoveService(EventLoop& loop, ConfigSync& config);

  /// Proposes the steps that are due. Call about once a second.
  void Tick();

  void OnReport(const std::vector<RegionLoad>& loads) {
    m_loads.OnReport(loads);
  }

 private:
  void Propose(const MoveStep& step);

  EventLoop& m_loop;
  ConfigSync& m_config;
  RegionLoads m_loads;
  MoveAdvancer m_advancer;
  // Steps that are being written, so that none is proposed twice at a time.
  bool m_writing = false;
};

}  // namespace applestand

#endif  // LIB_CONTROL_MOVE_SERVICE_H_
