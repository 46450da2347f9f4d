#ifndef LIB_CONTROL_CONTROL_NODE_H_
#define LIB_CONTROL_CONTROL_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/control/config_sync.h"
#include "lib/control/move_service.h"
#include "lib/control/seat_service.h"
#include "lib/local_state/messages.h"
#include "lib/membership/membership.h"
#include "lib/rpc/peer_caller.h"
#include "lib/rpc/server.h"
#include "lib/settings/host_settings.h"
#include "lib/table_store/host_list.h"

namespace applestand {

/// The platform's services.
struct Platform {
  TableService& table;
  ObjectStore& objects;
  HostList& hosts;
};

/// The control process of one host: configuration, membership and seats.
/// Single-threaded: lives on one event loop; OnCall may be called from any
/// thread.
class ControlNode {
 public:
  ControlNode(const HostSettings& settings,
              Incarnation incarnation,
              const Clock& clock,
              EventLoop& loop,
              PeerCaller& caller,
              Platform platform);

  /// Starts the periodic work. Call once, on the loop's thread or before Run.
  void Start();

  /// Handles a call from another process.
  void OnCall(MessageKind kind, std::string payload, const RpcReply& reply);

  /// Tells peers that this host leaves and releases its seats. Idempotent.
  void Leave();

  /// Leaves, then runs `done` once the seats are released.
  void BeginStop(std::function<void()> done);

  ConfigSync& config() { return m_config; }
  Membership& membership() { return m_membership; }
  const SeatService& seats() const { return m_seats; }

 private:
  void Tick();
  void SendHeartbeats();
  void ReadHostList();
  void OnHostList(std::vector<ListedHost> hosts);
  void Register();
  void NotePeers();
  void CheckStopped();
  std::string Dispatch(MessageKind kind, const std::string& payload);
  std::string OnHeartbeat(const std::string& payload);
  std::string OnLocalState(const std::string& payload);

  const HostSettings m_settings;
  EventLoop& m_loop;
  PeerCaller& m_caller;
  HostList& m_host_list;
  const TimePoint m_started;
  Membership m_membership;
  ConfigSync m_config;
  SeatService m_seats;
  MoveService m_moves;
  std::map<HostId, HostCondition> m_conditions;
  std::function<void()> m_on_stopped;
  TimePoint m_stop_by;
  Worker m_list_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_CONTROL_NODE_H_
