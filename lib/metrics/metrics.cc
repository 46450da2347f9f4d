#include "lib/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace applestand {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Registry;

/// Upper bounds of the buckets in seconds.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
}

prometheus::Gauge& MakeGauge(Registry& registry,
                             const char* name,
                             const char* help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

class MetricsServer::Impl {
 public:
  explicit Impl(const std::string& address)
      : m_registry(std::make_shared<Registry>()) {
    if (!address.empty()) {
      m_exposer = std::make_unique<prometheus::Exposer>(address, 1);
      m_exposer->RegisterCollectable(m_registry);
    }
  }

  Registry& registry() { return *m_registry; }

 private:
  std::shared_ptr<Registry> m_registry;
  std::unique_ptr<prometheus::Exposer> m_exposer;
};

MetricsServer::MetricsServer(const std::string& address)
    : m_impl(std::make_unique<Impl>(address)) {}

MetricsServer::~MetricsServer() = default;

class EntryMetrics::Impl {
 public:
  explicit Impl(Registry& registry)
      : responses(BuildCounter()
                      .Name("applestand_answers_total")
                      .Help("Answers to callers, by account and verdict")
                      .Register(registry)),
        refusals(BuildCounter()
                     .Name("applestand_refusals_total")
                     .Help("Requests that were not run, by account and reason")
                     .Register(registry)),
        latency(BuildHistogram()
                    .Name("applestand_request_seconds")
                    .Help("Time from a request's arrival to its answer")
                    .Register(registry)),
        spare(BuildGauge()
                  .Name("applestand_spare_slots")
                  .Help("Slots of targets that are free, by region")
                  .Register(registry)),
        allowed(BuildGauge()
                    .Name("applestand_usable_slots")
                    .Help("Slots of targets that may be in use, by region")
                    .Register(registry)) {}

  prometheus::Family<prometheus::Counter>& responses;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Histogram>& latency;
  prometheus::Family<prometheus::Gauge>& spare;
  prometheus::Family<prometheus::Gauge>& allowed;
};

EntryMetrics::EntryMetrics(MetricsServer& server)
    : m_impl(std::make_unique<Impl>(server.m_impl->registry())) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::RecordResponse(const ClientAccountId& account,
                                  const ServiceId& service,
                                  Ran ran,
                                  int status,
                                  Duration latency) {
  const std::string status_class = std::to_string(status / 100) + "xx";
  m_impl->responses
      .Add({{"account", account.value()},
            {"ran", ToString(ran)},
            {"status", status_class}})
      .Increment();
  m_impl->latency.Add({{"service", service.value()}}, LatencyBuckets())
      .Observe(ToSeconds(latency));
}

void EntryMetrics::RecordRefusal(const ClientAccountId& account,
                                 const std::string& type) {
  m_impl->refusals.Add({{"account", account.value()}, {"reason", type}})
      .Increment();
}

void EntryMetrics::SetLoads(const std::vector<RegionLoad>& loads) {
  for (const RegionLoad& load : loads) {
    const prometheus::Labels labels = {{"service", load.service.value()},
                                       {"region", load.region.value()}};
    m_impl->spare.Add(labels).Set(load.spare);
    m_impl->allowed.Add(labels).Set(load.allowed);
  }
}

class ControlMetrics::Impl {
 public:
  explicit Impl(Registry& registry)
      : version(MakeGauge(registry,
                          "applestand_config_version",
                          "Configuration version in force")),
        age(MakeGauge(registry,
                      "applestand_config_age_seconds",
                      "Age of the newest proof that the version is current")),
        shares(MakeGauge(registry,
                         "applestand_seats_owned",
                         "Shares of every contract that this host owns")),
        hosts(MakeGauge(registry,
                        "applestand_live_hosts",
                        "Hosts that this host believes to be live")) {}

  prometheus::Gauge& version;
  prometheus::Gauge& age;
  prometheus::Gauge& shares;
  prometheus::Gauge& hosts;
};

ControlMetrics::ControlMetrics(MetricsServer& server)
    : m_impl(std::make_unique<Impl>(server.m_impl->registry())) {}

ControlMetrics::~ControlMetrics() = default;

void ControlMetrics::Set(const Values& values) {
  m_impl->version.Set(static_cast<double>(values.config_version));
  m_impl->age.Set(values.config_age_seconds);
  m_impl->shares.Set(static_cast<double>(values.shares_owned));
  m_impl->hosts.Set(static_cast<double>(values.live_hosts));
}

}  // namespace applestand
