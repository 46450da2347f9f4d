#ifndef LIB_NODE_NODE_METRICS_H_
#define LIB_NODE_NODE_METRICS_H_

#include <memory>
#include <string>

#include "lib/base/clock.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// The Prometheus metrics of a host. Not thread-safe.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /// Called when the response of a target was received for a caller, `latency`
  /// after the arrival of the caller's request.
  void OnTargetResponse(int status, Duration latency);
  /// Called when a caller gets a response that this host generated itself.
  /// `reason` is one of a fixed set of constants, as it becomes a label.
  void OnLocalResponse(int status, const char* reason);
  /// Called when the response of another host, to which the request was passed,
  /// is forwarded to a caller, `latency` after the arrival of the caller's
  /// request.
  void OnRelayedResponse(int status, Duration latency);
  /// Called when an attempt has ended, `took` after it was sent to a target.
  void OnAttempt(AttemptOutcome outcome, Duration took);
  /// Called when a caller disconnected before it got a response.
  void OnCallerDisconnect();

  /// Called when the store has come back from an older copy.
  void OnStoreRestored();

  /// Memory that parts of the host hold, in bytes.
  struct Memory {
    // Of the whole process.
    double resident = 0;
    // Requests in flight, and bytes of further ones that wait behind them.
    double requests = 0;
    double waiting_requests = 0;
    // Checks, lookups and reads of metrics in flight.
    double service_requests = 0;
    // Responses that are being received.
    double responses = 0;
    // Responses of targets that failed, while others are tried.
    double failed_responses = 0;
    // Data that peers have not read.
    double unsent = 0;
  };

  /// Values at the time of a call to Text().
  struct Gauges {
    double config_version = 0;
    double config_age_seconds = 0;
    double live_hosts = 0;
    // Hosts among which limits are divided.
    double counted_hosts = 0;
    double targets = 0;
    // Targets that have named a limit on their requests.
    double limited_targets = 0;
    double resting_targets = 0;
    // 1 if this host can open no connection to any target.
    double target_links_lost = 0;
    double open_requests = 0;
    double opened_connections = 0;
    // Requests suspected of crashing targets, including quarantined ones.
    double suspect_requests = 0;
    // Quarantines of requests since the start.
    double quarantines = 0;
    // 1 if this host is the hub, the host that reads the store for the others.
    double is_hub = 0;
    Memory memory;
  };
  /// Returns all metrics in the Prometheus text format.
  std::string Text(const Gauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Returns the name of the outcome in metrics and log lines.
const char* ToString(AttemptOutcome outcome);

}  // namespace applestand

#endif  // LIB_NODE_NODE_METRICS_H_
