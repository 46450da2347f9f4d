#ifndef LIB_METRICS_METRICS_H_
#define LIB_METRICS_METRICS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/local_state/messages.h"

namespace applestand {

/// Serves the metrics of a process to Prometheus at GET /metrics. Thread-safe.
class MetricsServer {
 public:
  /// Listens on `address`, which has the form "IP:port". If `address` is empty,
  /// metrics are recorded but not served.
  explicit MetricsServer(const std::string& address);
  ~MetricsServer();
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

 private:
  friend class EntryMetrics;
  friend class ControlMetrics;
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// The metrics of an entry process. Thread-safe.
class EntryMetrics {
 public:
  /// `server` must outlive this object.
  explicit EntryMetrics(MetricsServer& server);
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  /// Records a response to a caller: whether the request ran, the HTTP status
  /// and the time from the request's arrival to the response.
  void RecordResponse(const ClientAccountId& account,
                      const ServiceId& service,
                      Ran ran,
                      int status,
                      Duration latency);

  /// Records that a request was refused and did not run. `type` is the type of
  /// the problem in the response.
  void RecordRefusal(const ClientAccountId& account, const std::string& type);

  /// Sets the allowed and free slots of each service and region, as known to
  /// this host.
  void SetLoads(const std::vector<RegionLoad>& loads);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// The metrics of a control process. Thread-safe.
class ControlMetrics {
 public:
  /// `server` must outlive this object.
  explicit ControlMetrics(MetricsServer& server);
  ~ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;

  struct Values {
    uint64_t config_version = 0;
    /// Age of the newest proof that the version is current.
    double config_age_seconds = 0;
    /// Number of contract shares that this host owns.
    size_t shares_owned = 0;
    /// Number of hosts that this host considers live.
    size_t live_hosts = 0;
  };
  void Set(const Values& values);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_METRICS_METRICS_H_
