#ifndef LIB_NODE_NODE_H_
#define LIB_NODE_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/fleet_node.h"
#include "lib/fleet/store_write_queue.h"
#include "lib/node/era_settlement.h"
#include "lib/node/node_settings.h"
#include "lib/node/steered_request.h"
#include "lib/node/stop_schedule.h"
#include "lib/node/store_view.h"

namespace applestand {

/// Runs all services of one host: callers' requests, lookups, the exchange with
/// other hosts, readiness checks and metrics. Not thread-safe; must only be
/// used on the reactor's thread.
class Node : public SteeringContext,
             public FleetObserver,
             public TargetObserver {
 public:
  /// All references must outlive this object. Throws std::runtime_error if an
  /// address other than that for callers cannot be listened on; see Start().
  Node(Reactor& reactor,
       HttpClientPool& http_client,
       MetadataStore& store,
       const PlatformAdapter& adapter,
       const NodeSettings& settings,
       Incarnation incarnation);
  ~Node() override;

  /// Joins the fleet and accepts callers as soon as this host can serve them.
  /// If the address for callers cannot be listened on, logs the error and
  /// retries.
  void Start();
  /// Directs callers to other hosts, finishes open requests and then calls
  /// `done`, in any case before NodeBounds::stop_grace ends. Further calls have
  /// no effect.
  void Stop(std::function<void()> done);
  /// Applies the settings that may change while the process runs: the bounds on
  /// withdrawn keys, retry slack, lookups and the time to stop.
  void Reload(const NodeSettings& settings);

  Reactor& reactor() override { return m_reactor; }
  TimePoint Now() const override { return m_reactor.Now(); }
  ServingState Serving() const override;
  ServingState ServingAt(ConfigVersion version, Duration age) const override;
  const PlatformAdapter& adapter() const override { return m_adapter; }
  HttpClientPool& http_client() override { return m_http_client; }
  TargetSelector& selector() override { return m_selector; }
  ServiceSplit& split() override { return m_split; }
  IdleTimeoutEstimator& idle_timeout_estimator() override {
    return m_idle_timeout_estimator;
  }
  RegionService& region() override { return m_region; }
  QuarantineService& quarantine() override { return m_quarantine; }
  ReachabilityService& reachability() override { return m_reachability; }
  RequestRelay& relay() override { return m_relay; }
  RetryBudget& RetryBudgetFor(const ServiceId& service) override;
  NodeMetrics& metrics() override { return m_metrics; }
  ByteBudget& failed_response_budget() override {
    return m_failed_response_budget;
  }
  Duration max_key_age() const override;
  bool CanPassOn(TimePoint deadline) const override;

  void OnRowsChanged(StoreTable table,
                     const std::vector<std::string>& keys) override;
  void OnStoreRegained() override;
  void OnStoreLost(const std::string& error) override;
  void OnStoreRestored() override;
  void OnSourceChanged(const HostId& source,
                       const std::string& reason) override;
  void OnTargetEnded(const SteeringTarget& target) override {
    m_quarantine.OnTargetEnded(target);
  }

 private:
  // Number of remembered requests at which those that have ended are forgotten.
  static constexpr size_t kMinCleanupSize = 64;

  class CallerHandler;
  class LookupHandler;
  class ReadinessHandler;
  class MetricsHandler;
  class FleetHandler;

  /// Starts to listen for callers if this host can serve them, or if
  /// kMaxStartDelay has passed.
  void AcceptCallersWhenReady();
  /// Returns whether a configuration is known that is not older than that of a
  /// peer was when this host started, and has not been older than that of a
  /// peer for long.
  bool HasCurrentConfig() const;
  /// Finds out whether the store's rows may lack what operators have last
  /// written. As hub, keeps the row that tells hosts which start later.
  void UpdateSettlement(TimePoint now);
  /// Keeps since when peers have had a newer configuration than this host.
  void CheckConfigLag(TimePoint now);
  void Tick();
  void ApplyConfig();
  /// Updates the number of hosts among which limits are divided.
  void UpdateCountedHosts();
  /// Returns this host's share of the retry slack, in retries.
  double RetryBudgetCapacity() const;
  std::vector<std::string> LookupAddresses(const LookupQuery& query) const;
  NodeMetrics::Gauges CollectGauges() const;
  NodeMetrics::Memory CollectMemory() const;
  /// Carries out the steps of Stop() that are due.
  void AdvanceStop(TimePoint now);
  /// Starts a request and remembers it until its response.
  void StartRequest(const std::shared_ptr<SteeredRequest>& request);
  /// Responds to all requests that have no response yet.
  void EndOpenRequests();

  Reactor& m_reactor;
  HttpClientPool& m_http_client;
  const PlatformAdapter& m_adapter;
  NodeSettings m_settings;
  NodeMetrics m_metrics;
  TargetSelector m_selector;
  ReachabilityService m_reachability;
  QuarantineService m_quarantine;
  StoreView m_store_view;
  EraSettlement m_settlement;
  StoreWriteQueue m_era_writes;
  // When the settled era was last queued to be written.
  TimePoint m_era_queued_at = TimePoint::min();
  // Set while requests with keys are refused because the store may have lost
  // the latest configuration.
  std::optional<TimePoint> m_unsettled_since;
  ServiceSplit m_split;
  IdleTimeoutEstimator m_idle_timeout_estimator;
  std::map<ServiceId, RetryBudget> m_budgets;
  // Hosts among which limits are divided; 0 if unknown.
  uint32_t m_counted_hosts = 0;
  ByteBudget m_request_budget;
  ByteBudget m_service_budget;
  ByteBudget m_failed_response_budget;
  FleetNode m_fleet;
  RegionService m_region;
  RequestRelay m_relay;
  std::unique_ptr<CallerHandler> m_caller_handler;
  std::unique_ptr<LookupHandler> m_lookup_handler;
  std::unique_ptr<ReadinessHandler> m_readiness_handler;
  std::unique_ptr<MetricsHandler> m_metrics_handler;
  std::unique_ptr<FleetHandler> m_fleet_handler;
  std::unique_ptr<HttpListener> m_caller_listener;
  std::unique_ptr<HttpListener> m_readiness_listener;
  std::unique_ptr<HttpListener> m_lookup_listener;
  std::unique_ptr<HttpListener> m_fleet_listener;
  std::unique_ptr<HttpListener> m_metrics_listener;
  // Includes requests that have ended since the last cleanup.
  std::vector<std::weak_ptr<SteeredRequest>> m_started_requests;
  size_t m_cleanup_size = kMinCleanupSize;
  // Set while this host stops.
  std::optional<StopSchedule> m_stop;
  std::function<void()> m_on_stopped;
  TimePoint m_started_at;
  bool m_has_had_current_config = false;
  // Set while peers are known to have a newer configuration.
  std::optional<TimePoint> m_config_behind_since;
  Timer m_accept_timer;
  Timer m_tick_timer;
  Timer m_dropped_lines_timer;
  // Writes log lines as soon as possible, because those that are still buffered
  // are lost if the process is killed.
  WaitHook m_log_writer;
};

}  // namespace applestand

#endif  // LIB_NODE_NODE_H_
