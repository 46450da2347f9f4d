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

/// Sends batches of spans to where they are kept.
/// Thread safety: implementations may be called from any thread.
class SpanExporter {
 public:
  virtual ~SpanExporter() = default;

  /// Takes the spans and returns at once. Spans that cannot be sent are dropped
  /// and counted.
  virtual void Export(std::vector<Span> spans) = 0;

  virtual uint64_t exported() const = 0;
  virtual uint64_t dropped() const = 0;
};

/// Posts OTLP/HTTP JSON to a collector. While `max_open` batches are under way,
/// further ones are dropped, so a slow collector costs neither memory nor time.
///
/// The owner calls Export(recorder.Drain(n)) about once a second from its event
/// loop. The client must outlive the exporter; the exporter may be destroyed
/// while batches are under way.
class HttpSpanExporter : public SpanExporter {
 public:
  struct Options {
    /// "IP:port" of the collector.
    std::string address;
    std::string path = "/v1/traces";
    std::string service_name = "applestand";
    Duration timeout = std::chrono::seconds(5);
    size_t max_open = 2;
  };

  HttpSpanExporter(Options options, HttpClient& client);

  void Export(std::vector<Span> spans) override;
  uint64_t exported() const override;
  uint64_t dropped() const override;

 private:
  struct Counters {
    std::atomic<size_t> open{0};
    std::atomic<uint64_t> exported{0};
    std::atomic<uint64_t> dropped{0};
  };

  const Options m_options;
  HttpClient& m_client;
  /// Shared with callbacks that may outlive the exporter.
  std::shared_ptr<Counters> m_counters;
};

}  // namespace applestand

#endif  // LIB_TRACE_SPAN_EXPORTER_H_
