#include "lib/node/node.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"
#include "lib/node/node_handlers.h"

namespace applestand {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
// Time within which a new host discovers the other hosts and the targets.
constexpr Duration kWarmUpTime = std::chrono::seconds(3);
// A new host checks with this period whether it can serve callers. It accepts
// them after kMaxStartDelay in any case, so that they are told why it cannot.
constexpr Duration kReadinessCheckPeriod = std::chrono::milliseconds(10);
constexpr Duration kMaxStartDelay = std::chrono::milliseconds(1500);
constexpr Duration kListenRetryPeriod = std::chrono::seconds(1);
constexpr Duration kDroppedLinesReportPeriod = std::chrono::milliseconds(200);
// After the store has come back from an older copy, operators have written
// again as soon as targets have registered again, and hosts have read it this
// much later.
constexpr Duration kRewriteMargin = std::chrono::seconds(1);
// Minimum time between writes of the settled era.
constexpr Duration kEraWritePeriod = std::chrono::seconds(2);
// Fraction of NodeBounds::key_withdrawal that is used; the rest allows for
// clocks that run at different rates.
constexpr double kKeyAgeFraction = 0.96;
// Fractions of the bound on retries that are used; the rest allows for hosts
// that join and leave.
constexpr double kRetryRatioFraction = 0.75;
constexpr double kRetrySlackFraction = 0.75;
// Requests in flight take at most the host's memory divided by this.
constexpr size_t kRequestMemoryDivisor = 4;
// Checks, lookups and reads of metrics take at most this, so that requests in
// flight leave them some.
constexpr size_t kServiceMemoryDivisor = 64;
// Responses of targets that failed, while others are tried, take at most this.
constexpr size_t kFailedResponseMemoryDivisor = 16;
constexpr size_t kMaxLookupAddresses = 64;
// A host that knows for longer than this of a newer configuration, and has not
// got it, serves no requests. In normal operation a change takes less than a
// second to reach all hosts.
constexpr Duration kMaxConfigLag = std::chrono::milliseconds(2000);
// A request between hosts holds at most one table.
constexpr size_t kMaxFleetBodyBytes = size_t{16} << 20;
constexpr size_t kMaxInternalHeadBytes = 8192;

ListenerLimits InternalListenerLimits(size_t max_body_bytes) {
  ListenerLimits limits;
  limits.request.max_head_bytes = kMaxInternalHeadBytes;
  limits.request.max_body_bytes = max_body_bytes;
  return limits;
}

ListenerLimits CallerListenerLimits(const CallerLimits& caller_limits) {
  ListenerLimits limits;
  limits.request.max_head_bytes = caller_limits.max_head_bytes;
  limits.request.max_body_bytes = caller_limits.max_body_bytes;
  limits.request_timeout = caller_limits.head_timeout * 4;
  // Callers reuse connections until shortly before their idle timeout, so the
  // listener keeps them open longer.
  limits.idle_timeout = caller_limits.idle_timeout + std::chrono::seconds(1);
  return limits;
}

HostInfo MakeSelfInfo(const NodeSettings& settings, Incarnation incarnation) {
  HostInfo self;
  self.id = settings.host;
  self.incarnation = incarnation;
  self.region = settings.region;
  self.zone = settings.zone;
  self.front_address = settings.callers_address;
  self.control_address = settings.advertised_fleet_address.empty()
                             ? settings.fleet_address
                             : settings.advertised_fleet_address;
  self.cpu_cores = settings.cpu_cores;
  return self;
}

SelectorOptions MakeSelectorOptions(const NodeSettings& settings) {
  SelectorOptions options;
  options.self = settings.host;
  options.region = settings.region;
  options.zone = settings.zone;
  options.cold_excess = settings.bounds.cold_excess;
  options.cold_slack = settings.bounds.cold_slack;
  return options;
}

ShareBounds MakeShareBounds(const NodeBounds& bounds) {
  return {bounds.limit_window, bounds.limit_excess, bounds.limit_slack};
}

FleetOptions MakeFleetOptions(const NodeSettings& settings) {
  FleetOptions options;
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

Node::Node(Reactor& reactor,
           HttpClientPool& http_client,
           MetadataStore& store,
           const PlatformAdapter& adapter,
           const NodeSettings& settings,
           Incarnation incarnation)
    : m_reactor(reactor),
      m_http_client(http_client),
      m_adapter(adapter),
      m_settings(settings),
      m_selector(MakeSelectorOptions(settings)),
      m_reachability(reactor, http_client, adapter, m_selector),
      m_quarantine(reactor, store),
      m_store_view(adapter,
                   m_selector,
                   *this,
                   settings.bounds.target_reregistration_time),
      m_settlement(settings.bounds.target_reregistration_time + kRewriteMargin),
      m_era_writes(reactor, store),
      m_request_budget(settings.memory_bytes / kRequestMemoryDivisor),
      m_service_budget(settings.memory_bytes / kServiceMemoryDivisor),
      m_failed_response_budget(settings.memory_bytes /
                               kFailedResponseMemoryDivisor),
      m_fleet(reactor,
              http_client,
              store,
              MakeFleetOptions(settings),
              MakeSelfInfo(settings, incarnation),
              *this),
      m_region(reactor,
               http_client,
               m_fleet.membership(),
               m_selector,
               MakeShareBounds(settings.bounds)),
      m_relay(reactor, http_client, m_fleet.membership()),
      m_caller_handler(std::make_unique<CallerHandler>(*this)),
      m_lookup_handler(std::make_unique<LookupHandler>(*this)),
      m_readiness_handler(std::make_unique<ReadinessHandler>(*this)),
      m_metrics_handler(std::make_unique<MetricsHandler>(*this)),
      m_fleet_handler(std::make_unique<FleetHandler>(*this)),
      m_accept_timer(reactor),
      m_tick_timer(reactor),
      m_dropped_lines_timer(reactor),
      m_log_writer(reactor, [] { WriteLog(); }) {
  const auto listen = [&](const std::string& address,
                          const ListenerLimits& limits, ByteBudget& budget,
                          RequestHandler& handler) {
    return std::make_unique<HttpListener>(reactor, address, limits, budget,
                                          handler);
  };
  m_caller_listener =
      listen(settings.callers_address, CallerListenerLimits(CallerLimits()),
             m_request_budget, *m_caller_handler);
  m_readiness_listener =
      listen(settings.ready_address, InternalListenerLimits(0),
             m_service_budget, *m_readiness_handler);
  m_lookup_listener = listen(settings.lookup_address, InternalListenerLimits(0),
                             m_service_budget, *m_lookup_handler);
  m_fleet_listener =
      listen(settings.fleet_address, InternalListenerLimits(kMaxFleetBodyBytes),
             m_request_budget, *m_fleet_handler);
  if (!settings.metrics_address.empty()) {
    m_metrics_listener =
        listen(settings.metrics_address, InternalListenerLimits(0),
               m_service_budget, *m_metrics_handler);
  }
  for (const auto* listener : {&m_readiness_listener, &m_lookup_listener,
                               &m_fleet_listener, &m_metrics_listener}) {
    if (*listener != nullptr) {
      (*listener)->Listen();
    }
  }
}

Node::~Node() = default;

void Node::Start() {
  m_fleet.Start();
  m_region.Start();
  m_tick_timer.StartRepeating(kTickPeriod, [this] { Tick(); });
  m_dropped_lines_timer.StartRepeating(kDroppedLinesReportPeriod,
                                       [] { FlushLog(); });
  // Requests sent by an earlier incarnation of this host may still count
  // towards the limits of cold targets.
  m_selector.BlockColdTargetsUntil(m_reactor.Now() + kColdWindow);
  m_selector.SetWarmUpEnd(m_reactor.Now() + kWarmUpTime);
  m_started_at = m_reactor.Now();
  m_accept_timer.StartRepeating(kReadinessCheckPeriod,
                                [this] { AcceptCallersWhenReady(); });
}

void Node::AcceptCallersWhenReady() {
  const TimePoint now = m_reactor.Now();
  UpdateSettlement(now);
  const bool peers_asked = m_fleet.membership().CountedHosts(now) <= 1 ||
                           m_fleet.has_heard_from_peer();
  const bool can_serve = HasCurrentConfig() && peers_asked &&
                         m_fleet.membership().ShareValid(now) &&
                         // Tells which requests are quarantined.
                         m_fleet.mirror(StoreTable::kHosts).loaded();
  m_has_had_current_config |= can_serve;
  if (!can_serve && now - m_started_at < kMaxStartDelay) {
    return;
  }
  m_accept_timer.Cancel();
  UpdateCountedHosts();
  try {
    m_caller_listener->Listen();
  } catch (const std::exception& error) {
    LogEvent(Event::kStartFailed, {{"reason", error.what()}});
    m_accept_timer.StartRepeating(kListenRetryPeriod,
                                  [this] { AcceptCallersWhenReady(); });
  }
}

bool Node::HasCurrentConfig() const {
  const auto& config = m_store_view.config();
  // Later configurations may reach a peer first.
  const bool is_behind_for_long =
      m_config_behind_since &&
      m_reactor.Now() - *m_config_behind_since > kMaxConfigLag;
  return config != nullptr &&
         (m_has_had_current_config
              ? !is_behind_for_long
              : config->version >= m_fleet.newest_config());
}

void Node::UpdateSettlement(TimePoint now) {
  const TableMirror& operators = m_fleet.mirror(StoreTable::kOperator);
  const TableMirror& hosts = m_fleet.mirror(StoreTable::kHosts);
  if (!operators.loaded()) {
    return;
  }
  EraSettlement::Observation seen;
  seen.operators = operators.version();
  seen.config_written_at = m_store_view.config_row().written_at;
  seen.store_is_behind =
      m_store_view.config_row().config < m_fleet.newest_config();
  seen.hosts_loaded = hosts.loaded();
  if (const MirrorRow* row = hosts.Find(kSettledEraKey)) {
    seen.settled_row = ParseEraRow(row->value);
  }
  seen.peers_known_era = m_fleet.peers_known_era();
  m_settlement.Update(seen, now);
  m_fleet.SetKnownEra(m_settlement.KnownEra());
  if (m_settlement.is_unsettled() && !m_unsettled_since) {
    m_unsettled_since = now;
    LogEvent(Event::kConfigStale,
             {{"reason", "store-restored"},
              {"era", m_settlement.era()},
              {"settled_era", seen.settled_row.value_or(StoreEra())},
              {"version", m_store_view.config_row().config},
              {"wait_ms", ToMillis(m_settlement.PresumedAt() - now)}});
  } else if (m_settlement.IsKnown() && m_unsettled_since) {
    LogEvent(Event::kConfigFresh,
             {{"reason", m_settlement.known_by()},
              {"era", m_settlement.era()},
              {"version", m_store_view.config_row().config},
              {"waited_ms", ToMillis(now - *m_unsettled_since)}});
    m_unsettled_since.reset();
  }
  const auto era = m_settlement.EraToWrite();
  if (era && m_fleet.membership().IsHub() &&
      (m_era_queued_at == TimePoint::min() ||
       now - m_era_queued_at >= kEraWritePeriod)) {
    m_era_queued_at = now;
    m_era_writes.Add(kSettledEraKey, FormatEra(*era));
  }
}

void Node::CheckConfigLag(TimePoint now) {
  const auto& config = m_store_view.config();
  if (config == nullptr || config->version >= m_fleet.newest_config()) {
    m_config_behind_since.reset();
  } else if (!m_config_behind_since) {
    m_config_behind_since = now;
    LogEvent(Event::kConfigBehind, {{"version", config->version},
                                    {"newest", m_fleet.newest_config()}});
  }
}

ServingState Node::Serving() const {
  ServingState serving;
  if (HasCurrentConfig()) {
    serving.config = m_store_view.config();
  }
  serving.current_at = m_fleet.mirror(StoreTable::kOperator).current_at();
  serving.share_valid = m_fleet.membership().ShareValid(m_reactor.Now());
  if (!m_settlement.IsKnown()) {
    serving.incomplete_until = m_settlement.PresumedAt();
  }
  return serving;
}

ServingState Node::ServingAt(ConfigVersion version, Duration age) const {
  ServingState serving = Serving();
  if (serving.config != nullptr && serving.config->version != version) {
    serving.config = m_store_view.FindRecentConfig(version, m_reactor.Now());
    // Later changes are not in that configuration.
    serving.current_at = m_reactor.Now() - age;
  }
  return serving;
}

Duration Node::max_key_age() const {
  return std::chrono::duration_cast<Duration>(m_settings.bounds.key_withdrawal *
                                              kKeyAgeFraction);
}

double Node::RetryBudgetCapacity() const {
  return std::max(1.0, m_settings.bounds.retry_slack * kRetrySlackFraction /
                           std::max(m_counted_hosts, 1U));
}

RetryBudget& Node::RetryBudgetFor(const ServiceId& service) {
  RetryBudget::Options options;
  options.retries_per_success =
      m_settings.bounds.retry_ratio * kRetryRatioFraction;
  options.capacity = RetryBudgetCapacity();
  // Starts empty, so that a restarted host does not grant its share twice.
  options.initial = 0;
  return m_budgets.try_emplace(service, options).first->second;
}

void Node::OnRowsChanged(StoreTable table,
                         const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  switch (table) {
    case StoreTable::kOperator:
      if (m_store_view.OnOperatorRows(m_fleet.mirror(table), keys, now)) {
        ApplyConfig();
      }
      UpdateSettlement(now);
      break;
    case StoreTable::kTargets:
      m_store_view.OnTargetRows(m_fleet.mirror(table), keys, now);
      break;
    case StoreTable::kHosts:
      UpdateCountedHosts();
      m_quarantine.OnHostRows(m_fleet.mirror(table), keys);
      UpdateSettlement(now);
      break;
  }
}

void Node::ApplyConfig() {
  const ServingConfig& config = *m_store_view.config();
  m_fleet.OnConfigApplied(config.version);
  CheckConfigLag(m_reactor.Now());
  m_region.SetAccounts(m_store_view.config());
  m_reachability.SetConfig(m_store_view.config());
  m_caller_listener->SetLimits(CallerListenerLimits(config.limits));
}

void Node::UpdateCountedHosts() {
  const TimePoint now = m_reactor.Now();
  const uint32_t counted_hosts = m_fleet.membership().CountedHosts(now);
  if (counted_hosts == m_counted_hosts) {
    return;
  }
  LogEvent(Event::kShareChanged,
           {{"hosts", counted_hosts}, {"before", m_counted_hosts}});
  m_counted_hosts = counted_hosts;
  m_region.SetHosts(counted_hosts);
  if (counted_hosts == 0) {
    return;
  }
  m_selector.SetHosts(
      counted_hosts, static_cast<uint32_t>(
                         std::hash<HostId>()(m_settings.host) % counted_hosts));
  for (auto& [service, budget] : m_budgets) {
    budget.SetCapacity(RetryBudgetCapacity());
  }
}

void Node::OnStoreRegained() {
  LogEvent(Event::kStoreAvailable);
  m_store_view.OnStoreRegained(m_reactor.Now());
}

void Node::OnStoreLost(const std::string& error) {
  LogEvent(Event::kStoreUnavailable, {{"reason", error}});
  m_store_view.OnStoreLost(m_reactor.Now());
}

void Node::OnStoreRestored() {
  m_metrics.OnStoreRestored();
  m_quarantine.OnStoreRestored();
  m_store_view.OnStoreRestored(m_reactor.Now());
}

void Node::OnSourceChanged(const HostId& source, const std::string& reason) {
  LogEvent(Event::kSourceChanged, {{"source", source}, {"reason", reason}});
}

void Node::Tick() {
  const TimePoint now = m_reactor.Now();
  const std::vector<HostInfo> live = m_fleet.membership().LiveHosts(now);
  HostsByRegion by_region;
  for (const HostInfo& host : live) {
    by_region[host.region].push_back(host.id);
  }
  m_selector.SetRegionHosts(std::max(
      static_cast<uint32_t>(by_region[m_settings.region].size()), uint32_t{1}));
  m_selector.SetLiveHosts(by_region, now);
  m_selector.Tick(now);
  m_store_view.Tick(m_fleet.mirror(StoreTable::kOperator),
                    m_fleet.mirror(StoreTable::kTargets), now);
  UpdateCountedHosts();
  CheckConfigLag(now);
  UpdateSettlement(now);
  m_has_had_current_config |=
      HasCurrentConfig() && m_fleet.has_heard_from_peer();
  if (m_fleet.membership().IsHub()) {
    m_quarantine.Tick(m_fleet.mirror(StoreTable::kHosts));
  }
  if (m_stop) {
    AdvanceStop(now);
  }
}

std::vector<std::string> Node::LookupAddresses(const LookupQuery& query) const {
  // Hosts of the caller's region, or all hosts if that region has no live one.
  std::vector<HostInfo> live = m_fleet.membership().LiveHosts(m_reactor.Now());
  const auto in_region = [&query](const HostInfo& host) {
    return query.region && host.region == *query.region;
  };
  const auto first_other =
      std::stable_partition(live.begin(), live.end(), in_region);
  if (first_other != live.begin()) {
    live.erase(first_other, live.end());
  }
  std::vector<std::string> addresses;
  for (const HostInfo& host : live) {
    if (addresses.size() < kMaxLookupAddresses) {
      addresses.push_back(host.front_address);
    }
  }
  return addresses;
}

NodeMetrics::Gauges Node::CollectGauges() const {
  const TimePoint now = m_reactor.Now();
  NodeMetrics::Gauges gauges;
  if (m_store_view.config() != nullptr) {
    gauges.config_version =
        static_cast<double>(m_store_view.config()->version.value());
    gauges.config_age_seconds =
        ToSeconds(now - m_fleet.mirror(StoreTable::kOperator).current_at());
  }
  gauges.live_hosts =
      static_cast<double>(m_fleet.membership().LiveHosts(now).size());
  gauges.counted_hosts = m_counted_hosts;
  gauges.targets = static_cast<double>(m_selector.size());
  gauges.target_links_lost = m_reachability.lost() ? 1 : 0;
  gauges.limited_targets = static_cast<double>(m_selector.limited_targets());
  gauges.resting_targets = static_cast<double>(m_selector.CountResting(now));
  gauges.open_requests =
      static_cast<double>(m_caller_listener->open_requests());
  gauges.opened_connections =
      static_cast<double>(m_http_client.opened_connections());
  gauges.suspect_requests = static_cast<double>(m_quarantine.suspects());
  gauges.quarantines = static_cast<double>(m_quarantine.quarantined_total());
  gauges.is_hub = m_fleet.membership().IsHub() ? 1 : 0;
  gauges.memory = CollectMemory();
  return gauges;
}

NodeMetrics::Memory Node::CollectMemory() const {
  NodeMetrics::Memory memory;
  memory.resident = static_cast<double>(ResidentMemory());
  memory.requests = static_cast<double>(m_request_budget.held());
  memory.waiting_requests = static_cast<double>(
      m_caller_listener->waiting_bytes() + m_fleet_listener->waiting_bytes());
  memory.service_requests = static_cast<double>(m_service_budget.held());
  memory.responses = static_cast<double>(m_http_client.response_memory());
  memory.failed_responses =
      static_cast<double>(m_failed_response_budget.held());
  memory.unsent = static_cast<double>(m_reactor.write_backlog().held_bytes());
  return memory;
}

void Node::Reload(const NodeSettings& settings) {
  m_settings.bounds = settings.bounds;
  if (m_stop) {
    m_stop.emplace(m_stop->started(), m_settings.bounds.stop_grace);
  }
  for (auto& [service, budget] : m_budgets) {
    budget.SetCapacity(RetryBudgetCapacity());
  }
}

bool Node::CanPassOn(TimePoint deadline) const {
  return !m_stop || m_stop->CanPassOn(deadline);
}

void Node::Stop(std::function<void()> done) {
  if (m_stop) {
    return;
  }
  LogEvent(Event::kStopping,
           {{"open_requests", m_caller_listener->open_requests()},
            {"grace_ms", ToMillis(m_settings.bounds.stop_grace)}});
  m_stop.emplace(m_reactor.Now(), m_settings.bounds.stop_grace);
  m_on_stopped = std::move(done);
  m_caller_listener->CloseAfterResponses();
  m_region.Close();
  m_fleet.Leave();
}

void Node::StartRequest(const std::shared_ptr<SteeredRequest>& request) {
  if (m_started_requests.size() >= m_cleanup_size) {
    const auto ended = [](const std::weak_ptr<SteeredRequest>& started) {
      return started.expired();
    };
    m_started_requests.erase(std::remove_if(m_started_requests.begin(),
                                            m_started_requests.end(), ended),
                             m_started_requests.end());
    m_cleanup_size = std::max(kMinCleanupSize, 2 * m_started_requests.size());
  }
  m_started_requests.push_back(request);
  request->Start();
}

void Node::EndOpenRequests() {
  for (const auto& started : std::exchange(m_started_requests, {})) {
    if (const auto request = started.lock()) {
      request->EndBecauseOfExit();
    }
  }
}

void Node::AdvanceStop(TimePoint now) {
  if (m_stop->ShouldCloseIdle(now)) {
    m_caller_listener->CloseIdle();
  }
  if (m_stop->ShouldStopAccepting(now)) {
    m_caller_listener->StopAccepting();
  }
  const size_t relayed_requests = m_fleet_handler->CountOpenRelayedRequests();
  if (!m_stop->ShouldExit(now,
                          relayed_requests > 0 ||
                              m_caller_listener->has_unanswered_requests() ||
                              m_caller_listener->has_undelivered_responses())) {
    return;
  }
  if (m_caller_listener->open_requests() + relayed_requests > 0) {
    LogEvent(Event::kStopTimedOut,
             {{"open_requests", m_caller_listener->open_requests()},
              {"relayed_requests", relayed_requests}});
    EndOpenRequests();
  }
  if (m_on_stopped) {
    std::exchange(m_on_stopped, nullptr)();
  }
}

}  // namespace applestand
