#ifndef LIB_TRACE_SPAN_H_
#define LIB_TRACE_SPAN_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "lib/base/ids.h"
#include "lib/trace/trace_context.h"

namespace applestand {

/// One step in the processing of a request by one host, as part of a trace.
struct Span {
  TraceId trace;
  SpanId id;
  /// All zeros for the first span of a trace.
  SpanId parent;
  /// The operation, for example "forward". Must have few distinct values.
  std::string name;
  HostId host;
  /// Wall-clock times in nanoseconds since the Unix epoch.
  int64_t start_unix_ns = 0;
  int64_t end_unix_ns = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  bool error = false;
};

/// Bounded buffer of finished spans that wait for export. If it is full, new
/// spans are dropped and counted. Blocks only for the short time that another
/// thread holds the lock. Thread-safe.
class SpanRecorder {
 public:
  /// Buffers at most `capacity` spans.
  explicit SpanRecorder(size_t capacity);

  /// Adds a finished span. Must be called only for spans of sampled traces.
  void Record(Span span);

  /// Removes and returns up to `max_spans` spans, oldest first.
  [[nodiscard]] std::vector<Span> Drain(size_t max_spans);

  /// Returns the number of spans dropped so far.
  uint64_t dropped() const;

 private:
  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::deque<Span> m_spans;
  uint64_t m_dropped = 0;
};

/// Encodes spans as an OTLP/HTTP JSON ExportTraceServiceRequest with one
/// resource per host. Invalid UTF-8 is replaced. Thread-safe.
std::string EncodeOtlpJson(const std::vector<Span>& spans,
                           const std::string& service_name);

}  // namespace applestand

#endif  // LIB_TRACE_SPAN_H_
