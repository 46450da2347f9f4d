#include "lib/node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace applestand {

namespace {

// In seconds, from the delay of a hop within a zone to the longest time budgets
// of callers.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

}  // namespace

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kError:
      return "error";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kLost:
      return "lost";
    case AttemptOutcome::kMisdirected:
      return "misdirected";
    case AttemptOutcome::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

class NodeMetrics::Impl {
 public:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& responses =
      prometheus::BuildCounter()
          .Name("applestand_answers_total")
          .Help("Answers to callers, by origin, status and reason")
          .Register(registry);
  prometheus::Histogram& response_time =
      prometheus::BuildHistogram()
          .Name("applestand_answer_seconds")
          .Help("Time from a whole request to a target's answer")
          .Register(registry)
          .Add({}, kLatencyBounds);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("applestand_attempts_total")
          .Help("Attempts at targets, by their end")
          .Register(registry);
  prometheus::Histogram& attempt_time =
      prometheus::BuildHistogram()
          .Name("applestand_attempt_seconds")
          .Help("Time that targets took to answer")
          .Register(registry)
          .Add({}, kLatencyBounds);
  prometheus::Counter& caller_disconnects =
      prometheus::BuildCounter()
          .Name("applestand_callers_gone_total")
          .Help("Callers that left before they were answered")
          .Register(registry)
          .Add({});

  prometheus::Counter& store_restores =
      prometheus::BuildCounter()
          .Name("applestand_store_restores_total")
          .Help("Times that the store came back from an older copy")
          .Register(registry)
          .Add({});

  void SetMemory(const Memory& memory) {
    SetGauge("process_resident_memory_bytes", "Resident memory of the process",
             memory.resident);
    auto& family = prometheus::BuildGauge()
                       .Name("applestand_memory_bytes")
                       .Help("Memory that is held, by what it holds")
                       .Register(registry);
    const std::pair<const char*, double> parts[] = {
        {"requests", memory.requests},
        {"waiting-requests", memory.waiting_requests},
        {"service-requests", memory.service_requests},
        {"responses", memory.responses},
        {"failed-responses", memory.failed_responses},
        {"unsent", memory.unsent}};
    for (const auto& [part, bytes] : parts) {
      family.Add({{"part", part}}).Set(bytes);
    }
  }

  void SetGauge(const char* name, const char* help, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Set(value);
  }
};

NodeMetrics::NodeMetrics() : m_impl(std::make_unique<Impl>()) {}
NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::OnTargetResponse(int status, Duration latency) {
  m_impl->responses
      .Add({{"origin", "target"}, {"status", std::to_string(status)}})
      .Increment();
  m_impl->response_time.Observe(ToSeconds(latency));
}

void NodeMetrics::OnRelayedResponse(int status, Duration latency) {
  m_impl->responses
      .Add({{"origin", "other-host"}, {"status", std::to_string(status)}})
      .Increment();
  m_impl->response_time.Observe(ToSeconds(latency));
}

void NodeMetrics::OnLocalResponse(int status, const char* reason) {
  m_impl->responses
      .Add({{"origin", "host"},
            {"status", std::to_string(status)},
            {"reason", reason}})
      .Increment();
}

void NodeMetrics::OnAttempt(AttemptOutcome outcome, Duration took) {
  m_impl->attempts.Add({{"end", ToString(outcome)}}).Increment();
  if (outcome == AttemptOutcome::kAnswered) {
    m_impl->attempt_time.Observe(ToSeconds(took));
  }
}

void NodeMetrics::OnCallerDisconnect() {
  m_impl->caller_disconnects.Increment();
}

void NodeMetrics::OnStoreRestored() {
  m_impl->store_restores.Increment();
}

std::string NodeMetrics::Text(const Gauges& gauges) {
  m_impl->SetGauge("applestand_config_version", "Configuration in force",
                   gauges.config_version);
  m_impl->SetGauge("applestand_config_age_seconds",
                   "Time since the configuration was known to be the newest",
                   gauges.config_age_seconds);
  m_impl->SetGauge("applestand_live_hosts", "Hosts that take callers",
                   gauges.live_hosts);
  m_impl->SetGauge("applestand_counted_hosts",
                   "Hosts over which limits are divided", gauges.counted_hosts);
  m_impl->SetGauge("applestand_targets", "Known targets", gauges.targets);
  m_impl->SetGauge("applestand_open_requests", "Requests under way",
                   gauges.open_requests);
  m_impl->SetGauge("applestand_opened_connections",
                   "Connections opened since the start",
                   gauges.opened_connections);
  m_impl->SetGauge("applestand_limited_targets",
                   "Targets that have named a limit on their requests",
                   gauges.limited_targets);
  m_impl->SetGauge("applestand_resting_targets",
                   "Targets that have asked this host for a rest",
                   gauges.resting_targets);
  m_impl->SetGauge("applestand_target_links_lost",
                   "1 if no connection to any target can be opened",
                   gauges.target_links_lost);
  m_impl->SetGauge("applestand_suspect_requests",
                   "Requests suspected of crashing targets",
                   gauges.suspect_requests);
  m_impl->SetGauge("applestand_quarantines",
                   "Quarantines of requests since the start",
                   gauges.quarantines);
  m_impl->SetGauge("applestand_is_hub", "1 where this host reads the store",
                   gauges.is_hub);
  m_impl->SetMemory(gauges.memory);
  return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}  // namespace applestand
