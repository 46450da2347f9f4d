#ifndef LIB_NODE_NODE_METRICS_H_
#define LIB_NODE_NODE_METRICS_H_

#include <memory>
#include <string>

#include "lib/base/clock.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// What a host measures, as text for Prometheus. Not thread-safe.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /// A caller got a target's answer.
  void OnServed(int status, Duration latency);
  /// A caller got an answer of this host's own, for `reason`, a constant.
  void OnOwnAnswer(int status, const char* reason);
  void OnAttempt(AttemptOutcome end, Duration took);
  void OnCallerGone();

  struct Gauges {
    double config_version = 0;
    double config_age_seconds = 0;
    double live_hosts = 0;
    double counted_hosts = 0;
    double targets = 0;
    double open_requests = 0;
    double opened_connections = 0;
    double is_hub = 0;
  };
  /// All metrics in the text format.
  std::string Text(const Gauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

const char* ToString(AttemptOutcome end);

}  // namespace applestand

#endif  // LIB_NODE_NODE_METRICS_H_
