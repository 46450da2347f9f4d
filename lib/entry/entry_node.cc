#include "lib/entry/entry_node.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kLimitTickPeriod = std::chrono::milliseconds(25);
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kUsageTickPeriod = std::chrono::seconds(1);
constexpr Duration kReportPeriod = std::chrono::milliseconds(200);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(800);

StateFollower::Options FollowerOptions(const HostSettings& settings) {
  StateFollower::Options options;
  options.control_address = settings.control_rpc;
  options.freshness.max_evidence_age = settings.freshness_limit;
  options.freshness.quorum = ComputeQuorumSizes(settings.platform_region_hosts);
  return options;
}

}  // namespace

EntryNode::EntryNode(const HostSettings& settings,
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
                     EntryMetrics& metrics)
    : m_settings(settings),
      m_loop(loop),
      m_peer_client(peer_client),
      m_metrics(metrics),
      m_tracer(settings.host, trace_ids, spans),
      m_follower(
          FollowerOptions(settings),
          loop,
          peer_client,
          [this](LocalStateFetch& fetch) { FillFetch(fetch); },
          [this](const LocalStateReply& reply) { OnLocalState(reply); }),
      m_authorizer(m_follower.config()),
      m_filter(m_follower.config()),
      m_limit_service(settings.host, incarnation, loop, peer_client),
      m_claim_service(settings.host, incarnation, clock, loop, table, objects),
      m_quarantine(QuarantineOptions()),
      m_grant_holder(settings.host,
                     incarnation,
                     settings.region,
                     CapacityGrantHolderPolicy()),
      m_traffic_shares(settings.region, FailoverPolicy()),
      m_router(settings.host,
               settings.region,
               RouterPolicy(),
               m_grant_holder,
               m_traffic_shares),
      m_capacity_view(settings.region),
      m_home_service(
          {settings.host, settings.region, incarnation,
           settings.link_bytes_per_second},
          loop,
          client,
          attempt_ids,
          m_tracer,
          m_quarantine,
          [this](const TargetId& target) { m_leaving_targets.insert(target); }),
      m_usage_service(settings.host, incarnation, clock, loop, table),
      m_flow_context{settings.host,  settings.region, loop,
                     peer_client,    m_follower,      m_authorizer,
                     m_filter,       m_limit_service, m_claim_service,
                     m_quarantine,   m_router,        m_home_service,
                     m_tracer,       metrics,         m_usage_service,
                     m_retry_budgets} {}

void EntryNode::Start() {
  m_follower.Start();
  m_loop.RunEvery(kLimitTickPeriod, [this] { m_limit_service.Tick(); });
  m_loop.RunEvery(kTickPeriod, [this] { Tick(); });
  m_loop.RunEvery(kUsageTickPeriod, [this] { m_usage_service.Tick(); });
  m_loop.RunEvery(kReportPeriod, [this] { ReportCapacity(); });
}

void EntryNode::OnHttp(HttpRequest request, HttpReply reply) {
  auto flow = std::make_shared<RequestFlow>(m_flow_context, std::move(request),
                                            std::move(reply));
  m_loop.Post([flow] { flow->Start(); });
}

void EntryNode::FillFetch(LocalStateFetch& fetch) const {
  fetch.is_entry = true;
  fetch.leaving = m_stopping;
  fetch.grant = m_limit_service.grant();
  fetch.leaving_targets.assign(m_leaving_targets.begin(),
                               m_leaving_targets.end());
  for (const ServiceId& service : m_services) {
    for (const RegionLoad& load :
         m_capacity_view.RegionLoads(service, m_loop.Now())) {
      fetch.loads.push_back(load);
    }
  }
}

void EntryNode::OnLocalState(const LocalStateReply& reply) {
  const ConfigState& config = m_follower.config();
  m_limit_service.SetConfig(config);
  m_limit_service.SetHosts(m_follower.live_hosts());
  m_limit_service.ApplyGrant(reply.grant);
  m_traffic_shares.OnConfig(config, m_loop.Now());
  UpdateHomeMap();
}

void EntryNode::UpdateHomeMap() {
  const ConfigState& config = m_follower.config();
  std::vector<HostId> hosts;
  std::vector<LiveHost> live_hosts;
  std::vector<RegionId> regions;
  for (const HostRecord& host : m_follower.live_hosts()) {
    hosts.push_back(host.host);
    live_hosts.push_back({host.host, host.region});
    regions.push_back(host.region);
  }
  const std::vector<TargetId>& leaving = m_follower.leaving_targets();
  if (m_home_map_built && config.version == m_home_map_version &&
      hosts == m_home_map_hosts && leaving == m_home_map_leaving_targets) {
    return;
  }
  m_home_map_built = true;
  m_home_map_version = config.version;
  m_home_map_hosts = hosts;
  m_home_map_leaving_targets = leaving;
  std::map<TargetId, Target> targets = config.targets;
  for (const TargetId& target : leaving) {
    if (const auto it = targets.find(target); it != targets.end()) {
      it->second.leaving = true;
    }
  }
  m_services.clear();
  for (const auto& [id, target] : targets) {
    m_services.insert(target.service);
  }
  HomeMap home_map(targets, live_hosts);
  m_home_service.SetHomeMap(home_map, regions);
  m_capacity_view.SetHomeMap(home_map);
  m_router.SetHomes(std::move(home_map));
}

void EntryNode::Tick() {
  m_home_service.Tick();
  m_traffic_shares.Tick(m_loop.Now());
  OnReport(m_home_service.MakeReport());
  UpdateLostServices();
  SendGrantRequests();
  SendQuarantineNotices();
}

void EntryNode::UpdateLostServices() {
  for (const ServiceId& service : m_services) {
    m_traffic_shares.SetLocalCapacityLost(
        service, m_capacity_view.IsLocalCapacityLost(service), m_loop.Now());
  }
}

void EntryNode::OnReport(const CapacityReport& report) {
  m_router.OnReport(report, m_loop.Now());
  m_capacity_view.OnReport(report, m_loop.Now());
}

void EntryNode::ReportCapacity() {
  for (const ServiceId& service : m_services) {
    m_metrics.SetLoads(m_capacity_view.RegionLoads(service, m_loop.Now()));
  }
  CallPeers(MessageKind::kCapacityReport, Encode(m_home_service.MakeReport()));
}

void EntryNode::SendGrantRequests() {
  for (const auto& outgoing : m_grant_holder.DueRequests(m_loop.Now())) {
    const std::string address = AddressOf(outgoing.to);
    if (address.empty()) {
      continue;
    }
    m_peer_client.Call(address, MessageKind::kGrant, Encode(outgoing.request),
                       kPeerTimeout, [this](const RpcResult& result) {
                         Reason reason;
                         const auto reply =
                             Decode<GrantReply>(result.payload, reason);
                         if (result.ran == Ran::kRan && reply) {
                           m_grant_holder.OnReply(*reply, m_loop.Now());
                         }
                       });
  }
}

void EntryNode::SendQuarantineNotices() {
  for (const QuarantineNotice& notice : m_quarantine.TakeNotices()) {
    if (notice.kind == QuarantineNoticeKind::kQuarantined) {
      LogEvent(Event::kRequestQuarantined,
               {{"account", notice.fingerprint.account}});
    }
    CallPeers(MessageKind::kQuarantineNotice, Encode(notice));
  }
  for (const Fingerprint& fingerprint : m_quarantine.TakeExcused()) {
    LogEvent(Event::kRequestExcused, {{"account", fingerprint.account}});
  }
}

void EntryNode::CallPeers(MessageKind kind, const std::string& payload) {
  for (const HostRecord& host : m_follower.live_hosts()) {
    if (host.host != m_settings.host) {
      m_peer_client.Call(host.entry_address, kind, payload, kPeerTimeout,
                         [](const RpcResult&) {});
    }
  }
}

std::string EntryNode::AddressOf(const HostId& host) const {
  for (const HostRecord& record : m_follower.live_hosts()) {
    if (record.host == host) {
      return record.entry_address;
    }
  }
  return "";
}

void EntryNode::OnCall(MessageKind kind,
                       std::string payload,
                       const RpcReply& reply) {
  m_loop.Post([this, kind, payload = std::move(payload), reply] {
    Dispatch(kind, payload, reply);
  });
}

void EntryNode::Dispatch(MessageKind kind,
                         const std::string& payload,
                         RpcReply reply) {
  Reason reason;
  switch (kind) {
    case MessageKind::kForward:
      OnForward(payload, std::move(reply));
      return;
    case MessageKind::kLoan:
      reply(m_limit_service.OnLoanRequest(payload));
      return;
    case MessageKind::kCapacityReport:
      if (const auto report = Decode<CapacityReport>(payload, reason)) {
        OnReport(*report);
      }
      break;
    case MessageKind::kGrant:
      if (const auto request = Decode<GrantRequest>(payload, reason)) {
        const auto grant = m_home_service.OnGrantRequest(*request);
        reply(grant ? Encode(*grant) : std::string());
        return;
      }
      break;
    case MessageKind::kQuarantineNotice:
      if (const auto notice = Decode<QuarantineNotice>(payload, reason)) {
        m_quarantine.OnNotice(*notice, m_loop.Now());
      }
      break;
    default:
      reason.text = "unknown kind";
      break;
  }
  if (!reason.text.empty()) {
    LogEvent(Event::kBadMessage,
             {{"kind", static_cast<int>(kind)}, {"reason", reason.text}});
  }
  reply("");
}

void EntryNode::OnForward(const std::string& payload, RpcReply reply) {
  Reason reason;
  auto request = Decode<ForwardRequest>(payload, reason);
  if (!request) {
    LogEvent(Event::kBadMessage, {{"reason", reason.text}});
    ForwardReply rejection;
    rejection.reason = reason.text;
    reply(Encode(rejection));
    return;
  }
  m_home_service.Run(std::move(*request),
                     [reply = std::move(reply)](const ForwardReply& response) {
                       reply(Encode(response));
                     });
}

void EntryNode::BeginStop() {
  m_loop.Post([this] {
    m_stopping = true;
    m_usage_service.BeginStop();
  });
}

bool EntryNode::Idle() const {
  return m_home_service.open_requests() == 0 && m_claim_service.Idle() &&
         m_usage_service.Idle();
}

}  // namespace applestand
