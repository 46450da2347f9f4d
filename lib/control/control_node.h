#ifndef LIB_CONTROL_CONTROL_NODE_H_
#define LIB_CONTROL_CONTROL_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/control/config_sync.h"
#include "lib/control/contract_share_service.h"
#include "lib/control/move_service.h"
#include "lib/local_state/live_hosts_publisher.h"
#include "lib/local_state/messages.h"
#include "lib/membership/membership.h"
#include "lib/rpc/peer_client.h"
#include "lib/rpc/server.h"
#include "lib/settings/host_settings.h"
#include "lib/table_store/host_list.h"

namespace applestand {

/// The services of the platform that a control process uses.
struct PlatformServices {
  TableService& table;
  ObjectStore& objects;
  HostList& hosts;
};

/// The control process of one host: keeps the host's configuration, the
/// membership of hosts and the host's contract shares, advances planned moves
/// of traffic, and serves these to the other processes of the host.
///
/// Single-threaded: all methods are called on the thread of the event loop,
/// except OnCall, which may be called from any thread.
class ControlNode {
 public:
  /// The references, except `settings`, must outlive this object.
  ControlNode(const HostSettings& settings,
              Incarnation incarnation,
              const Clock& clock,
              EventLoop& loop,
              PeerClient& caller,
              PlatformServices platform);

  /// Starts the periodic tasks. Must be called once, on the loop's thread or
  /// before EventLoop::Run.
  void Start();

  /// Handles a call from another process. `reply` runs on the loop, with an
  /// empty payload if the kind is not supported or `payload` is malformed.
  void OnCall(MessageKind kind, std::string payload, const RpcReply& reply);

  /// Marks this host as leaving for its peers and in the platform's host list,
  /// and starts to release its contract shares. Idempotent.
  void Leave();

  /// Calls Leave, then runs `done` on the loop once the contract shares are
  /// released or the timeout for this has passed.
  void BeginStop(std::function<void()> done);

  ConfigSync& config() { return m_config; }
  Membership& membership() { return m_membership; }
  const ContractShareService& shares() const { return m_shares; }

 private:
  void Tick();
  void SendHeartbeats();
  void ReadHostList();
  void OnHostList(std::vector<ListedHost> hosts);
  void Register();
  void LogPeerChanges();
  void FinishStopIfDue();
  std::string Dispatch(MessageKind kind, const std::string& payload);
  std::string OnHeartbeat(const std::string& payload);
  std::string OnLocalState(const std::string& payload);

  const HostSettings m_settings;
  EventLoop& m_loop;
  PeerClient& m_caller;
  HostList& m_host_list;
  LiveHostsPublisher m_live_hosts;
  Membership m_membership;
  ConfigSync m_config;
  ContractShareService m_shares;
  MoveService m_moves;
  std::map<HostId, HostCondition> m_last_conditions;
  std::function<void()> m_on_stopped;
  TimePoint m_stop_deadline;
  Worker m_host_list_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_CONTROL_NODE_H_
