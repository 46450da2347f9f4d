#include "lib/node/node.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
// Time in which a new host hears of the other hosts and the targets.
constexpr Duration kBeginTime = std::chrono::seconds(3);
// A new host takes callers once it can serve them, and in any case after the
// longer time, so that they are told why not.
constexpr Duration kBeginPeriod = std::chrono::milliseconds(10);
constexpr Duration kLongestBegin = std::chrono::milliseconds(1500);
constexpr Duration kListenAgain = std::chrono::seconds(1);
constexpr Duration kFlushPeriod = std::chrono::milliseconds(200);
// Part of the time in which a withdrawn key may work that is used; the rest is
// for clocks that run differently.
constexpr double kKeyFreshnessPart = 0.96;
// Parts of the bound on retries that are used; the rest is for hosts that come
// and go.
constexpr double kRetryRatioPart = 0.75;
constexpr double kRetrySlackPart = 0.75;
// Memory of a host that bodies under way may take.
constexpr size_t kBodyMemoryPart = 4;
// Time for which callers keep the answer to a look-up, where bounds allow.
constexpr Duration kLookupTtl = std::chrono::seconds(2);
constexpr size_t kMaxLookupAddresses = 64;
// After a stop began: callers learn of other hosts within the first time, idle
// connections are closed after it, and the rest of the grace is for requests.
constexpr Duration kKeepIdleFor = std::chrono::milliseconds(2500);
constexpr Duration kTakeRequestsFor = std::chrono::milliseconds(3200);
constexpr Duration kStayFor = std::chrono::milliseconds(4200);
// Retry-After of a host that is leaving: others serve at once.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds(10);
constexpr Duration kExitBeforeKill = std::chrono::milliseconds(600);
// Requests between hosts hold a table at most.
constexpr size_t kMaxFleetBytes = size_t{16} << 20;
constexpr size_t kMaxSmallHead = 8192;

ListenerLimits SmallLimits(size_t max_body_bytes) {
  ListenerLimits limits;
  limits.request.max_head_bytes = kMaxSmallHead;
  limits.request.max_body_bytes = max_body_bytes;
  return limits;
}

ListenerLimits CallerListenerLimits(const CallerLimits& from) {
  ListenerLimits limits;
  limits.request.max_head_bytes = from.max_head_bytes;
  limits.request.max_body_bytes = from.max_body_bytes;
  limits.request_timeout = from.head_timeout * 4;
  // Callers reuse connections until shortly before the limit.
  limits.idle_timeout = from.idle_timeout + std::chrono::seconds(1);
  return limits;
}

HostInfo SelfOf(const NodeSettings& settings, Incarnation incarnation) {
  HostInfo self;
  self.id = settings.host;
  self.incarnation = incarnation;
  self.region = settings.region;
  self.zone = settings.zone;
  self.front_address = settings.callers_address;
  self.control_address = settings.fleet_address;
  self.cpu_cores = settings.power;
  return self;
}

SelectorOptions BoardOptionsOf(const NodeSettings& settings) {
  SelectorOptions options;
  options.region = settings.region;
  options.zone = settings.zone;
  options.cold_excess = settings.bounds.cold_excess;
  options.cold_slack = settings.bounds.cold_slack;
  return options;
}

ShareBounds ShareBoundsOf(const NodeBounds& bounds) {
  return {bounds.limit_window, bounds.limit_excess, bounds.limit_slack};
}

FleetOptions FleetOptionsOf(const NodeSettings& settings) {
  FleetOptions options;
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

/// Serves callers' requests.
class Node::Callers : public RequestHandler {
 public:
  explicit Callers(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    const auto flow = std::make_shared<SteeredRequest>(m_node, exchange);
    if (m_node.m_refusing) {
      flow->RefuseUnseen("host-leaves", kRetryElsewhere);
      return;
    }
    flow->Start();
  }

 private:
  Node& m_node;
};

/// Tells callers which hosts to use.
class Node::Lookups : public RequestHandler {
 public:
  explicit Lookups(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    const auto query = m_node.m_adapter.ReadLookup(exchange->request());
    if (!query) {
      constexpr int kNotFound = 404;
      exchange->Respond(m_node.m_adapter.OwnAnswer(kNotFound, "no such call",
                                                   "", std::nullopt));
      return;
    }
    exchange->Respond(m_node.m_adapter.LookupAnswer(
        m_node.AddressesFor(*query),
        std::min(kLookupTtl, m_node.m_settings.bounds.max_lookup_ttl)));
  }

 private:
  Node& m_node;
};

/// Tells whether this host takes callers.
class Node::Ready : public RequestHandler {
 public:
  explicit Ready(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    if (!m_node.m_adapter.IsReadyCheck(exchange->request())) {
      exchange->Respond(m_node.m_adapter.OwnAnswer(kNotFound, "no such call",
                                                   "", std::nullopt));
      return;
    }
    const bool ready = !m_node.m_stopping && m_node.m_view.config() != nullptr;
    exchange->Respond(m_node.m_adapter.OwnAnswer(ready ? kOk : kUnavailable,
                                                 ready ? "ready" : "not ready",
                                                 "", std::nullopt));
  }

 private:
  Node& m_node;
};

class Node::Metrics : public RequestHandler {
 public:
  explicit Metrics(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = m_node.m_metrics.Text(m_node.Gauges());
    exchange->Respond(response);
  }

 private:
  Node& m_node;
};

/// Requests of other hosts.
class Node::FleetCalls : public RequestHandler {
 public:
  explicit FleetCalls(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    if (exchange->request().target == RegionService::kRegionPath) {
      m_node.m_region.OnRequest(exchange);
    } else {
      m_node.m_fleet.OnRequest(exchange);
    }
  }

 private:
  Node& m_node;
};

Node::Node(Reactor& reactor,
           HttpClientPool& caller,
           MetadataStore& store,
           const PlatformAdapter& adapter,
           const NodeSettings& settings,
           Incarnation incarnation)
    : m_reactor(reactor),
      m_caller(caller),
      m_adapter(adapter),
      m_settings(settings),
      m_board(BoardOptionsOf(settings)),
      m_view(adapter, m_board, settings.bounds.target_return),
      m_bytes(settings.memory_bytes / kBodyMemoryPart),
      m_fleet(reactor,
              caller,
              store,
              FleetOptionsOf(settings),
              SelfOf(settings, incarnation),
              *this),
      m_region(reactor,
               caller,
               m_fleet.membership(),
               m_board,
               ShareBoundsOf(settings.bounds)),
      m_callers_handler(std::make_unique<Callers>(*this)),
      m_lookups_handler(std::make_unique<Lookups>(*this)),
      m_ready_handler(std::make_unique<Ready>(*this)),
      m_metrics_handler(std::make_unique<Metrics>(*this)),
      m_fleet_handler(std::make_unique<FleetCalls>(*this)),
      m_begin(reactor),
      m_tick(reactor),
      m_flush(reactor) {
  const auto listen = [&](const std::string& address,
                          const ListenerLimits& limits,
                          RequestHandler& handler) {
    return std::make_unique<HttpListener>(reactor, address, limits, m_bytes,
                                          handler);
  };
  m_callers = listen(settings.callers_address,
                     CallerListenerLimits(CallerLimits()), *m_callers_handler);
  m_ready = listen(settings.ready_address, SmallLimits(0), *m_ready_handler);
  m_lookups =
      listen(settings.lookup_address, SmallLimits(0), *m_lookups_handler);
  m_fleet_listener = listen(settings.fleet_address, SmallLimits(kMaxFleetBytes),
                            *m_fleet_handler);
  if (!settings.metrics_address.empty()) {
    m_metrics_listener =
        listen(settings.metrics_address, SmallLimits(0), *m_metrics_handler);
  }
  for (const auto* listener :
       {&m_ready, &m_lookups, &m_fleet_listener, &m_metrics_listener}) {
    if (*listener != nullptr) {
      (*listener)->Listen();
    }
  }
}

Node::~Node() = default;

void Node::Start() {
  m_fleet.Start();
  m_region.Start();
  m_tick.StartRepeating(kTickPeriod, [this] { Tick(); });
  m_flush.StartRepeating(kFlushPeriod, [] { FlushLog(); });
  // Requests of an earlier run of this process may still count there.
  m_board.BlockColdTargetsUntil(m_reactor.Now() + kColdWindow);
  m_board.SetWarmUpEnd(m_reactor.Now() + kBeginTime);
  m_started = m_reactor.Now();
  m_begin.StartRepeating(kBeginPeriod, [this] { TakeCallersOnceAble(); });
}

void Node::TakeCallersOnceAble() {
  const TimePoint now = m_reactor.Now();
  const bool able =
      m_view.config() != nullptr && m_fleet.membership().ShareValid(now);
  if (!able && now - m_started < kLongestBegin) {
    return;
  }
  m_begin.Cancel();
  ShareOut();
  try {
    m_callers->Listen();
  } catch (const std::exception& error) {
    LogEvent(Event::kStartFailed, {{"reason", error.what()}});
    m_begin.StartRepeating(kListenAgain, [this] { TakeCallersOnceAble(); });
  }
}

ServingState Node::Serving() const {
  ServingState serving;
  serving.config = m_view.config();
  serving.current_at = m_fleet.mirror(StoreTable::kOperator).current_at();
  serving.share_valid = m_fleet.membership().ShareValid(m_reactor.Now());
  return serving;
}

Duration Node::key_freshness() const {
  return std::chrono::duration_cast<Duration>(m_settings.bounds.key_withdrawal *
                                              kKeyFreshnessPart);
}

double Node::RetryCapacity() const {
  return std::max(1.0, m_settings.bounds.retry_slack * kRetrySlackPart /
                           std::max(m_counted, 1U));
}

RetryBudget& Node::BudgetOf(const ServiceId& service) {
  RetryBudget::Options options;
  options.retries_per_success = m_settings.bounds.retry_ratio * kRetryRatioPart;
  options.capacity = RetryCapacity();
  // A host that is started again must not grant its part twice.
  options.initial = 0;
  return m_budgets.try_emplace(service, options).first->second;
}

void Node::OnRowsChanged(StoreTable table,
                         const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  switch (table) {
    case StoreTable::kOperator:
      if (m_view.OnOperatorRows(m_fleet.mirror(table), keys, now)) {
        ApplyConfig();
      }
      break;
    case StoreTable::kTargets:
      m_view.OnTargetRows(m_fleet.mirror(table), keys, now);
      break;
    case StoreTable::kHosts:
      ShareOut();
      break;
  }
}

void Node::ApplyConfig() {
  const ServingConfig& config = *m_view.config();
  m_region.SetAccounts(m_view.config());
  m_callers->SetLimits(CallerListenerLimits(config.limits));
}

void Node::ShareOut() {
  const TimePoint now = m_reactor.Now();
  const uint32_t counted = m_fleet.membership().CountedHosts(now);
  if (counted == m_counted) {
    return;
  }
  LogEvent(Event::kShareChanged, {{"hosts", counted}, {"before", m_counted}});
  m_counted = counted;
  m_region.SetHosts(counted);
  if (counted == 0) {
    return;
  }
  m_board.SetHosts(
      counted,
      static_cast<uint32_t>(std::hash<HostId>()(m_settings.host) % counted));
  for (auto& [service, budget] : m_budgets) {
    budget.SetCapacity(RetryCapacity());
  }
}

void Node::OnStoreRegained() {
  LogEvent(Event::kStoreAvailable);
  m_view.OnStoreRegained(m_reactor.Now());
}

void Node::OnStoreLost(const std::string& error) {
  LogEvent(Event::kStoreUnavailable, {{"reason", error}});
  m_view.OnStoreLost(m_reactor.Now());
}

void Node::OnSourceChanged(const HostId& source, const std::string& why) {
  LogEvent(Event::kSourceChanged, {{"source", source}, {"reason", why}});
}

void Node::Tick() {
  const TimePoint now = m_reactor.Now();
  const std::vector<HostInfo> live = m_fleet.membership().LiveHosts(now);
  const auto in_region =
      std::count_if(live.begin(), live.end(), [this](const HostInfo& host) {
        return host.region == m_settings.region;
      });
  m_board.SetRegionHosts(
      std::max(static_cast<uint32_t>(in_region), uint32_t{1}));
  m_board.Tick(now);
  m_view.Tick(m_fleet.mirror(StoreTable::kTargets), now);
  ShareOut();
  if (m_stopping) {
    StepStop(now);
  }
}

std::vector<std::string> Node::AddressesFor(const LookupQuery& query) const {
  // Hosts of the caller's region, or where none lives, all others.
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

NodeMetrics::Gauges Node::Gauges() const {
  const TimePoint now = m_reactor.Now();
  NodeMetrics::Gauges gauges;
  if (m_view.config() != nullptr) {
    gauges.config_version =
        static_cast<double>(m_view.config()->version.value());
    gauges.config_age_seconds =
        ToSeconds(now - m_fleet.mirror(StoreTable::kOperator).current_at());
  }
  gauges.live_hosts =
      static_cast<double>(m_fleet.membership().LiveHosts(now).size());
  gauges.counted_hosts = m_counted;
  gauges.targets = static_cast<double>(m_board.size());
  gauges.open_requests = static_cast<double>(m_callers->open_requests());
  gauges.opened_connections =
      static_cast<double>(m_caller.opened_connections());
  gauges.is_hub = m_fleet.membership().IsHub() ? 1 : 0;
  return gauges;
}

void Node::Reload(const NodeSettings& settings) {
  m_settings.bounds = settings.bounds;
  for (auto& [service, budget] : m_budgets) {
    budget.SetCapacity(RetryCapacity());
  }
}

void Node::Stop(std::function<void()> done) {
  if (m_stopping) {
    return;
  }
  LogEvent(Event::kStopping, {{"open_requests", m_callers->open_requests()}});
  m_stopping = true;
  m_stop_began = m_reactor.Now();
  m_done = std::move(done);
  m_callers->CloseAfterResponses();
  m_region.Close();
  m_fleet.Leave();
}

void Node::StepStop(TimePoint now) {
  const Duration since = now - m_stop_began;
  if (since >= kKeepIdleFor) {
    m_callers->CloseIdle();
  }
  if (since >= kTakeRequestsFor && !m_refusing) {
    m_refusing = true;
    m_callers->StopAccepting();
  }
  const bool finished = since >= kStayFor && m_callers->open_requests() == 0;
  const bool late = since >= m_settings.bounds.stop_grace - kExitBeforeKill;
  if (!finished && !late) {
    return;
  }
  if (m_callers->open_requests() > 0) {
    LogEvent(Event::kStopTimedOut,
             {{"open_requests", m_callers->open_requests()}});
  }
  if (m_done) {
    std::exchange(m_done, nullptr)();
  }
}

}  // namespace applestand
