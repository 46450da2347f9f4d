#ifndef LIB_TRACE_SPAN_EXPORTER_H_
#define LIB_TRACE_SPAN_EXPORTER_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/http/client.h"
#include "lib/trace/span.h"

namespace applestand {

/// Sends batches of spans to a tracing backend. Implementations are
/// thread-safe.
class SpanExporter {
 public:
  virtual ~SpanExporter() = default;

  /// Starts to send the spans and returns without waiting for the result. Spans
  /// that cannot be sent are dropped and counted.
  virtual void Export(std::vector<Span> spans) = 0;

  /// Return the number of spans that the backend accepted and the number that
  /// were dropped.
  virtual uint64_t exported() const = 0;
  virtual uint64_t dropped() const = 0;
};

/// Posts spans as OTLP/HTTP JSON to a collector. While `max_concurrent_batches`
/// batches are in flight, further batches are dropped, so that a slow collector
/// causes neither delays nor unbounded memory use.
///
/// The owner calls Export(recorder.Drain(n)) about once a second from its event
/// loop. The client must outlive the exporter. The exporter may be destroyed
/// while batches are in flight.
class HttpSpanExporter : public SpanExporter {
 public:
  struct Options {
    /// "IP:port" of the collector.
    std::string address;
    std::string path = "/v1/traces";
    std::string service_name = "applestand";
    Duration timeout = std::chrono::seconds(5);
    /// Maximum number of batches in flight.
    size_t max_concurrent_batches = 2;
  };

  HttpSpanExporter(Options options, HttpClient& client);

  void Export(std::vector<Span> spans) override;
  uint64_t exported() const override;
  uint64_t dropped() const override;

 private:
  struct Counters {
    std::atomic<size_t> in_flight{0};
    std::atomic<uint64_t> exported{0};
    std::atomic<uint64_t> dropped{0};
  };

  const Options m_options;
  HttpClient& m_client;
  /// Shared with the callbacks, which may outlive the exporter.
  std::shared_ptr<Counters> m_counters;
};

}  // namespace applestand

#endif  // LIB_TRACE_SPAN_EXPORTER_H_
