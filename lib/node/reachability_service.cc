#include "lib/node/reachability_service.h"

#include <utility>

#include "lib/log/log.h"
#include "lib/node/attempt_outcome.h"

namespace applestand {

namespace {

// How often it is checked whether a round of probes is due.
constexpr Duration kProbeCheckPeriod = std::chrono::milliseconds(50);
// Long enough for targets of other regions.
constexpr Duration kProbeConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1000);
// Stands in log lines in place of the id of a request.
constexpr const char* kProbe = "probe";

}  // namespace

ReachabilityService::ReachabilityService(Reactor& reactor,
                                         HttpClientPool& http_client,
                                         const PlatformAdapter& adapter,
                                         TargetSelector& selector)
    : m_reactor(reactor),
      m_http_client(http_client),
      m_adapter(adapter),
      m_selector(selector),
      m_probe_timer(reactor) {}

void ReachabilityService::OnAttemptEnd(const SteeringTarget& target,
                                       TimePoint begun,
                                       const CallResult& result) {
  if (result.opened_connection) {
    OnCallEnd(target.id, target.zone, begun, result);
  } else if (result.ran == Ran::kRan) {
    m_reachability.OnAnyResponse(target.id, m_reactor.Now());
  } else {
    m_reachability.OnNoResponse(target.id, begun, m_reactor.Now());
    ProbeIfSuspicious();
  }
}

void ReachabilityService::OnCallEnd(const TargetId& target,
                                    const ZoneId& zone,
                                    TimePoint begun,
                                    const CallResult& result) {
  const TimePoint now = m_reactor.Now();
  if (result.ran == Ran::kRan) {
    m_reachability.OnAnyResponse(target, now);
    if (m_reachability.OnResponse(begun)) {
      m_selector.ForgetUnreachable(now);
      LogEvent(Event::kTargetLinksBack,
               {{"target", target}, {"lost_ms", ToMillis(now - m_lost_at)}});
    }
    return;
  }
  // A target may be too busy to respond in time; only a connection that fails
  // tells of the link.
  if (result.ran == Ran::kMayHaveRun && !result.connection_failed) {
    return;
  }
  if (m_reachability.OnFailure(target, zone, begun,
                               m_selector.ProbeCandidates(now), now)) {
    m_lost_at = now;
    LogEvent(Event::kTargetLinksLost,
             {{"failed_targets", m_reachability.failed_targets()},
              {"last", target},
              {"error", result.error}});
  }
  ProbeIfSuspicious();
}

void ReachabilityService::ProbeIfSuspicious() {
  if (m_reachability.ShouldProbe() && !std::exchange(m_probing, true)) {
    m_probe_timer.StartRepeating(kProbeCheckPeriod, [this] { Probe(); });
  }
}

void ReachabilityService::Probe() {
  if (!m_reachability.ShouldProbe()) {
    m_probing = false;
    m_probe_timer.Cancel();
    return;
  }
  const TimePoint now = m_reactor.Now();
  for (const ProbeCandidate& candidate :
       m_reachability.ChooseProbes(m_selector.ProbeCandidates(now), now)) {
    SendProbe(candidate);
  }
}

void ReachabilityService::SendProbe(const ProbeCandidate& candidate) {
  if (m_config == nullptr || m_probes.count(candidate.target) != 0) {
    return;
  }
  const auto service = m_config->services.find(candidate.service);
  if (service == m_config->services.end() ||
      service->second.health_path.empty()) {
    return;
  }
  const SteeringTarget* target = m_selector.Find(candidate.target);
  if (target == nullptr) {
    return;
  }
  CallOptions options;
  options.connect_timeout = kProbeConnectTimeout;
  options.call_timeout = kProbeTimeout;
  options.new_connection = true;
  options.log_id = kProbe;
  // The response bears no id, so that the connection carries no request later.
  options.owner_of = [](const HttpResponse&) {
    return ResponseOwner::kUnknown;
  };
  m_probes[candidate.target] = m_http_client.Call(
      candidate.address,
      m_adapter.SerializeProbe(candidate.target, service->second.health_path),
      options,
      [this, sent_to = *target,
       begun = m_reactor.Now()](const CallResult& result) {
        m_probes.erase(sent_to.id);
        OnProbeEnd(sent_to, begun, result);
      });
}

void ReachabilityService::OnProbeEnd(const SteeringTarget& sent_to,
                                     TimePoint begun,
                                     const CallResult& result) {
  // Targets turn probes away as they do requests.
  const ResponseMetadata metadata =
      result.ran == Ran::kRan ? m_adapter.ReadResponseMetadata(result.response)
                              : ResponseMetadata();
  const auto rest = RequestedRest(result, metadata);
  if (rest && m_selector.OnRest(sent_to, begun, *rest, m_reactor.Now())) {
    LogEvent(Event::kTargetRests, {{"target", sent_to.id},
                                   {"rest_ms", ToMillis(*rest)},
                                   {"request", kProbe}});
  }
  if (metadata.leaving && !metadata.misdirected &&
      m_selector.OnLeaving(sent_to, begun, m_reactor.Now())) {
    LogEvent(Event::kTargetLeaves,
             {{"target", sent_to.id}, {"request", kProbe}});
  }
  OnCallEnd(sent_to.id, sent_to.zone, begun, result);
}

}  // namespace applestand
