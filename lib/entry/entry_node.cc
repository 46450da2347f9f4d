#include "lib/entry/entry_node.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kLimitTick = std::chrono::milliseconds(25);
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kUsageTick = std::chrono::seconds(1);
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
                     PeerCaller& caller,
                     HttpClient& client,
                     TableService& table,
                     ObjectStore& objects,
                     TraceIds& trace_ids,
                     SpanRecorder& spans,
                     EntryMetrics& metrics)
    : m_settings(settings),
      m_loop(loop),
      m_caller(caller),
      m_metrics(metrics),
      m_tracer(settings.host, trace_ids, spans),
      m_follower(
          FollowerOptions(settings),
          loop,
          caller,
          [this](LocalStateFetch& fetch) { FillFetch(fetch); },
          [this](const LocalStateReply& reply) { OnLocalState(reply); }),
      m_authorizer(m_follower.config()),
      m_filter(m_follower.config()),
      m_limits(settings.host, incarnation, loop, caller),
      m_claims(settings.host, incarnation, clock, loop, table, objects),
      m_quarantine(QuarantineOptions()),
      m_grants(settings.host,
               incarnation,
               settings.region,
               CapacityGrantHolderPolicy()),
      m_shares(settings.region, FailoverPolicy()),
      m_router(settings.host,
               settings.region,
               RouterPolicy(),
               m_grants,
               m_shares),
      m_capacity(settings.region),
      m_home(
          {settings.host, settings.region, incarnation,
           settings.link_bytes_per_second},
          loop,
          client,
          m_tracer,
          m_quarantine,
          [this](const TargetId& target) { m_leaving_targets.insert(target); }),
      m_usage(settings.host, incarnation, clock, loop, table),
      m_flows{settings.host, settings.region, loop,     caller,
              m_follower,    m_authorizer,    m_filter, m_limits,
              m_claims,      m_quarantine,    m_router, m_home,
              m_tracer,      metrics,         m_usage,  m_budgets} {}

void EntryNode::Start() {
  m_follower.Start();
  m_loop.RunEvery(kLimitTick, [this] { m_limits.Tick(); });
  m_loop.RunEvery(kTick, [this] { Tick(); });
  m_loop.RunEvery(kUsageTick, [this] { m_usage.Tick(); });
  m_loop.RunEvery(kReportPeriod, [this] { ReportCapacity(); });
}

void EntryNode::OnHttp(HttpRequest request, HttpReply reply) {
  auto flow = std::make_shared<RequestFlow>(m_flows, std::move(request),
                                            std::move(reply));
  m_loop.Post([flow] { flow->Start(); });
}

void EntryNode::FillFetch(LocalStateFetch& fetch) const {
  fetch.is_entry = true;
  fetch.leaving = m_leaving;
  fetch.grant = m_limits.grant();
  fetch.leaving_targets.assign(m_leaving_targets.begin(),
                               m_leaving_targets.end());
  for (const ServiceId& service : m_services) {
    for (const RegionLoad& load : m_capacity.Loads(service, m_loop.Now())) {
      fetch.loads.push_back(load);
    }
  }
}

void EntryNode::OnLocalState(const LocalStateReply& reply) {
  const ConfigState& config = m_follower.config();
  m_limits.SetConfig(config);
  m_limits.SetHosts(m_follower.live_hosts());
  m_limits.ApplyGrant(reply.grant);
  m_shares.OnConfig(config, m_loop.Now());
  UpdateHomes();
}

void EntryNode::UpdateHomes() {
  const ConfigState& config = m_follower.config();
  std::vector<HostId> hosts;
  std::vector<LiveHost> live;
  std::vector<RegionId> regions;
  for (const HostRecord& host : m_follower.live_hosts()) {
    hosts.push_back(host.host);
    live.push_back({host.host, host.region});
    regions.push_back(host.region);
  }
  const std::vector<TargetId>& leaving = m_follower.leaving_targets();
  if (m_homes_made && config.version == m_home_version &&
      hosts == m_home_hosts && leaving == m_home_leaving) {
    return;
  }
  m_homes_made = true;
  m_home_version = config.version;
  m_home_hosts = hosts;
  m_home_leaving = leaving;
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
  HomeMap homes(targets, live);
  m_home.SetHomes(homes, regions);
  m_capacity.SetHomes(homes);
  m_router.SetHomes(std::move(homes));
}

void EntryNode::Tick() {
  m_home.Tick();
  m_shares.Tick(m_loop.Now());
  OnReport(m_home.Report());
  NoteLostServices();
  SendGrantRequests();
  SendQuarantineNotices();
}

void EntryNode::NoteLostServices() {
  for (const ServiceId& service : m_services) {
    m_shares.SetLocalCapacityLost(service, m_capacity.IsLocalLost(service),
                                  m_loop.Now());
  }
}

void EntryNode::OnReport(const CapacityReport& report) {
  m_router.OnReport(report, m_loop.Now());
  m_capacity.OnReport(report, m_loop.Now());
}

void EntryNode::ReportCapacity() {
  for (const ServiceId& service : m_services) {
    m_metrics.SetLoads(m_capacity.Loads(service, m_loop.Now()));
  }
  CallPeers(MessageKind::kCapacityReport, Encode(m_home.Report()));
}

void EntryNode::SendGrantRequests() {
  for (const auto& outgoing : m_grants.DueRequests(m_loop.Now())) {
    const std::string address = AddressOf(outgoing.to);
    if (address.empty()) {
      continue;
    }
    m_caller.Call(address, MessageKind::kGrant, Encode(outgoing.request),
                  kPeerTimeout, [this](const RpcResult& result) {
                    Reason reason;
                    const auto reply =
                        Decode<GrantReply>(result.payload, reason);
                    if (result.ran == Ran::kRan && reply) {
                      m_grants.OnReply(*reply, m_loop.Now());
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
}

void EntryNode::CallPeers(MessageKind kind, const std::string& payload) {
  for (const HostRecord& host : m_follower.live_hosts()) {
    if (host.host != m_settings.host) {
      m_caller.Call(host.entry_address, kind, payload, kPeerTimeout,
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
      reply(m_limits.OnLoanRequest(payload));
      return;
    case MessageKind::kCapacityReport:
      if (const auto report = Decode<CapacityReport>(payload, reason)) {
        OnReport(*report);
      }
      break;
    case MessageKind::kGrant:
      if (const auto request = Decode<GrantRequest>(payload, reason)) {
        const auto grant = m_home.OnGrantRequest(*request);
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
    ForwardReply refusal;
    refusal.reason = reason.text;
    reply(Encode(refusal));
    return;
  }
  m_home.Run(std::move(*request),
             [reply = std::move(reply)](const ForwardReply& answer) {
               reply(Encode(answer));
             });
}

void EntryNode::BeginStop() {
  m_loop.Post([this] {
    m_leaving = true;
    m_usage.BeginStop();
  });
}

bool EntryNode::Idle() const {
  return m_home.open() == 0 && m_claims.Idle() && m_usage.Idle();
}

}  // namespace applestand
