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

/// Serves a process's metrics to Prometheus at GET /metrics.
/// Thread safety: everything may be called from any thread.
class MetricsServer {
 public:
  /// Listens on "IP:port"; with an empty address nothing is served, and
  /// metrics are kept all the same.
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

/// What an entry process measures. Thread-safe.
class EntryMetrics {
 public:
  /// `server` must outlive this object.
  explicit EntryMetrics(MetricsServer& server);
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  /// A caller has got an answer: its verdict, status and latency.
  void OnAnswer(const ClientAccountId& account,
                const ServiceId& service,
                Ran ran,
                int status,
                Duration latency);

  /// A request was not run; `type` is the problem's type.
  void OnRefused(const ClientAccountId& account, const std::string& type);

  /// Slots of regions, as known here.
  void SetLoads(const std::vector<RegionLoad>& loads);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// What a control process measures. Thread-safe.
class ControlMetrics {
 public:
  /// `server` must outlive this object.
  explicit ControlMetrics(MetricsServer& server);
  ~ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;

  struct Values {
    uint64_t config_version = 0;
    double config_age_seconds = 0;
    size_t seats_owned = 0;
    size_t live_hosts = 0;
  };
  void Set(const Values& values);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_METRICS_METRICS_H_
