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

/// The entry process of one host: takes callers' requests and is home host to
/// targets. Single-threaded: lives on one event loop; OnHttp and OnCall may be
/// called from any thread.
class EntryNode {
 public:
  EntryNode(const HostSettings& settings,
            Incarnation incarnation,
            const Clock& clock,
            EventLoop& loop,
            PeerCaller& caller,
            HttpClient& client,
            TableService& table,
            ObjectStore& objects,
            TraceIds& trace_ids,
            SpanRecorder& spans,
            EntryMetrics& metrics);

  /// Starts the periodic work. Call once.
  void Start();

  /// Handles a caller's request.
  void OnHttp(HttpRequest request, HttpReply reply);

  /// Handles a call from another process.
  void OnCall(MessageKind kind, std::string payload, const RpcReply& reply);

  /// Tells the control process that this host leaves. Any thread.
  void BeginStop();

  /// Whether nothing that was taken on is left to do.
  bool Idle() const;

 private:
  void FillFetch(LocalStateFetch& fetch) const;
  void OnLocalState(const LocalStateReply& reply);
  void UpdateHomes();
  void Tick();
  void ReportCapacity();
  void SendGrantRequests();
  void SendQuarantineNotices();
  void NoteLostServices();
  void OnReport(const CapacityReport& report);
  void CallPeers(MessageKind kind, const std::string& payload);
  std::string AddressOf(const HostId& host) const;
  void Dispatch(MessageKind kind, const std::string& payload, RpcReply reply);
  void OnForward(const std::string& payload, RpcReply reply);

  const HostSettings m_settings;
  EventLoop& m_loop;
  PeerCaller& m_caller;
  EntryMetrics& m_metrics;
  HopTracer m_tracer;
  StateFollower m_follower;
  Authorizer m_authorizer;
  HeaderFilter m_filter;
  LimitService m_limits;
  ClaimService m_claims;
  Quarantine m_quarantine;
  CapacityGrantHolder m_grants;
  TrafficShares m_shares;
  Router m_router;
  CapacityView m_capacity;
  HomeService m_home;
  UsageService m_usage;
  std::map<ServiceId, RetryBudget> m_budgets;
  FlowContext m_flows;
  std::set<TargetId> m_leaving_targets;
  // What the home map was last made from.
  ConfigVersion m_home_version;
  std::vector<HostId> m_home_hosts;
  std::vector<TargetId> m_home_leaving;
  std::set<ServiceId> m_services;
  bool m_homes_made = false;
  bool m_leaving = false;
};

}  // namespace applestand

#endif  // LIB_ENTRY_ENTRY_NODE_H_
