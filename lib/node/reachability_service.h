#ifndef LIB_NODE_REACHABILITY_SERVICE_H_
#define LIB_NODE_REACHABILITY_SERVICE_H_

#include <map>
#include <memory>

#include "lib/node/platform_adapter.h"
#include "lib/relay/http_client_pool.h"
#include "lib/steering/target_reachability.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// Finds out whether this host has lost its links to all targets: by the
/// outcomes of attempts and, where these raise a suspicion, by probes on new
/// connections. Not thread-safe.
class ReachabilityService {
 public:
  /// All references must outlive this object.
  ReachabilityService(Reactor& reactor,
                      HttpClientPool& http_client,
                      const PlatformAdapter& adapter,
                      TargetSelector& selector);

  /// Must be called for each new configuration, which names the paths of
  /// probes.
  void SetConfig(std::shared_ptr<const ServingConfig> config) {
    m_config = std::move(config);
  }
  /// Called when an attempt that was begun at `begun` has ended.
  void OnAttemptEnd(const SteeringTarget& target,
                    TimePoint begun,
                    const CallResult& result);
  /// Returns whether this host can open no connection to any target.
  bool lost() const { return m_reachability.lost(); }

 private:
  void OnCallEnd(const TargetId& target,
                 const ZoneId& zone,
                 TimePoint begun,
                 const CallResult& result);
  /// Starts to probe if there is a suspicion.
  void ProbeIfSuspicious();
  void Probe();
  /// Called when a probe has ended. `sent_to` is the target as it was known
  /// when the probe was sent.
  void OnProbeEnd(const SteeringTarget& sent_to,
                  TimePoint begun,
                  const CallResult& result);
  void SendProbe(const ProbeCandidate& candidate);

  Reactor& m_reactor;
  HttpClientPool& m_http_client;
  const PlatformAdapter& m_adapter;
  TargetSelector& m_selector;
  std::shared_ptr<const ServingConfig> m_config;
  TargetReachability m_reachability;
  std::map<TargetId, std::unique_ptr<PendingCall>> m_probes;
  TimePoint m_lost_at;
  bool m_probing = false;
  Timer m_probe_timer;
};

}  // namespace applestand

#endif  // LIB_NODE_REACHABILITY_SERVICE_H_
