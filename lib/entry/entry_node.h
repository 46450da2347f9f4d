#ifndef LIB_ENTRY_ENTRY_NODE_H_
#define LIB_ENTRY_ENTRY_NODE_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/entry/capacity_view.h"
#include "lib/entry/request_flow.h"
#include "lib/headroom/capacity_grant_holder.h"
#include "lib/moves/traffic_shares.h"
#include "lib/rpc/server.h"
#include "lib/settings/host_settings.h"

namespace applestand {

/// The entry process of one host. Accepts callers' requests, and acts as the
/// home host of targets, that is, as the only host that admits requests to
/// them. Runs on one event loop. OnHttp, OnCall and BeginStop may be called
/// from any thread, the other methods only from the loop.
class EntryNode {
 public:
  /// Precondition: `incarnation` was never used by this host before. The
  /// references, except `settings`, must outlive this object.
  EntryNode(const HostSettings& settings,
            Incarnation incarnation,
            const Clock& clock,
            EventLoop& loop,
            PeerClient& peer_client,
            HttpClient& client,
            AttemptIdGenerator& attempt_ids,
            TableService& table,
            ObjectStore& objects,
            TraceIdGenerator& trace_ids,
            SpanRecorder& spans,
            EntryMetrics& metrics);

  /// Starts the periodic work. Must be called once.
  void Start();

  /// Handles a caller's request. Thread-safe.
  void OnHttp(HttpRequest request, HttpReply reply);

  /// Handles an RPC from another process. Thread-safe.
  void OnCall(MessageKind kind, std::string payload, const RpcReply& reply);

  /// Begins a graceful shutdown: from now on, the control process is told that
  /// this host is leaving, and usage totals are written immediately.
  /// Thread-safe.
  void BeginStop();

  /// Returns whether no request is open at this home host and all claims and
  /// usage totals are stored.
  bool Idle() const;

 private:
  /// Adds the state of this process to a fetch from the control process.
  void FillFetch(LocalStateFetch& fetch) const;
  void OnLocalState(const LocalStateReply& reply);
  /// Rebuilds the home map if one of its inputs changed.
  void UpdateHomeMap();
  void Tick();
  void ReportCapacity();
  void SendGrantRequests();
  void SendQuarantineNotices();
  /// Starts or ends failover of the services whose local capacity was lost or
  /// restored.
  void UpdateLostServices();
  void OnReport(const CapacityReport& report);
  void CallPeers(MessageKind kind, const std::string& payload);
  /// Returns an empty string if the host is not live.
  std::string AddressOf(const HostId& host) const;
  void Dispatch(MessageKind kind, const std::string& payload, RpcReply reply);
  void OnForward(const std::string& payload, RpcReply reply);

  const HostSettings m_settings;
  EventLoop& m_loop;
  PeerClient& m_peer_client;
  EntryMetrics& m_metrics;
  HopTracer m_tracer;
  StateFollower m_follower;
  Authorizer m_authorizer;
  HeaderFilter m_filter;
  LimitService m_limit_service;
  ClaimService m_claim_service;
  Quarantine m_quarantine;
  CapacityGrantHolder m_grant_holder;
  TrafficShares m_traffic_shares;
  Router m_router;
  CapacityView m_capacity_view;
  HomeService m_home_service;
  UsageService m_usage_service;
  std::map<ServiceId, RetryBudget> m_retry_budgets;
  RequestFlowContext m_flow_context;
  std::set<TargetId> m_leaving_targets;
  // Inputs of the current home map.
  ConfigVersion m_home_map_version;
  std::vector<HostId> m_home_map_hosts;
  std::vector<TargetId> m_home_map_leaving_targets;
  std::set<ServiceId> m_services;
  bool m_home_map_built = false;
  bool m_stopping = false;
};

}  // namespace applestand

#endif  // LIB_ENTRY_ENTRY_NODE_H_
