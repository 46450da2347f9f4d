#ifndef LIB_NODE_NODE_H_
#define LIB_NODE_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib/fleet/fleet_node.h"
#include "lib/node/node_settings.h"
#include "lib/node/steered_request.h"
#include "lib/node/store_view.h"

namespace applestand {

/// Everything that one host runs: callers' requests, look-ups, its part in the
/// fleet, metrics. Not thread-safe: lives on one reactor.
class Node : public SteeringContext, public FleetObserver {
 public:
  /// Preconditions: the references outlive this object. Throws
  /// std::runtime_error where an address cannot be listened on.
  Node(Reactor& reactor,
       HttpClientPool& caller,
       MetadataStore& store,
       const PlatformAdapter& adapter,
       const NodeSettings& settings,
       Incarnation incarnation);
  ~Node() override;

  /// Joins the fleet and serves.
  void Start();
  /// Takes no more callers, finishes what is under way, then calls `done`.
  void Stop(std::function<void()> done);
  /// Applies settings that may change while the process runs.
  void Reload(const NodeSettings& settings);

  Reactor& reactor() override { return m_reactor; }
  TimePoint Now() const override { return m_reactor.Now(); }
  ServingState Serving() const override;
  const PlatformAdapter& adapter() const override { return m_adapter; }
  HttpClientPool& caller() override { return m_caller; }
  TargetSelector& board() override { return m_board; }
  ServiceSplit& split() override { return m_split; }
  IdleTimeoutEstimator& idle_watch() override { return m_idle_watch; }
  RegionService& region() override { return m_region; }
  RetryBudget& BudgetOf(const ServiceId& service) override;
  NodeMetrics& metrics() override { return m_metrics; }
  Duration key_freshness() const override;

  void OnRowsChanged(StoreTable table,
                     const std::vector<std::string>& keys) override;
  void OnStoreRegained() override;
  void OnStoreLost(const std::string& error) override;
  void OnSourceChanged(const HostId& source, const std::string& why) override;

 private:
  class Callers;
  class Lookups;
  class Ready;
  class Metrics;
  class FleetCalls;

  void TakeCallersOnceAble();
  void Tick();
  void ApplyConfig();
  void ShareOut();
  double RetryCapacity() const;
  std::vector<std::string> AddressesFor(const LookupQuery& query) const;
  NodeMetrics::Gauges Gauges() const;
  void StepStop(TimePoint now);

  Reactor& m_reactor;
  HttpClientPool& m_caller;
  const PlatformAdapter& m_adapter;
  NodeSettings m_settings;
  NodeMetrics m_metrics;
  TargetSelector m_board;
  StoreView m_view;
  ServiceSplit m_split;
  IdleTimeoutEstimator m_idle_watch;
  std::map<ServiceId, RetryBudget> m_budgets;
  uint32_t m_counted = 0;
  ByteBudget m_bytes;
  FleetNode m_fleet;
  RegionService m_region;
  std::unique_ptr<Callers> m_callers_handler;
  std::unique_ptr<Lookups> m_lookups_handler;
  std::unique_ptr<Ready> m_ready_handler;
  std::unique_ptr<Metrics> m_metrics_handler;
  std::unique_ptr<FleetCalls> m_fleet_handler;
  std::unique_ptr<HttpListener> m_callers;
  std::unique_ptr<HttpListener> m_ready;
  std::unique_ptr<HttpListener> m_lookups;
  std::unique_ptr<HttpListener> m_fleet_listener;
  std::unique_ptr<HttpListener> m_metrics_listener;
  bool m_stopping = false;
  // Requests that come now would not be finished before the end.
  bool m_refusing = false;
  TimePoint m_stop_began;
  std::function<void()> m_done;
  TimePoint m_started;
  Timer m_begin;
  Timer m_tick;
  Timer m_flush;
};

}  // namespace applestand

#endif  // LIB_NODE_NODE_H_
