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

/// One hop of one request.
struct Span {
  TraceId trace;
  SpanId id;
  /// All zero for the first span of a trace.
  SpanId parent;
  /// What was done, for example "forward"; few distinct values.
  std::string name;
  HostId host;
  /// Wall-clock times, in nanoseconds since 1970.
  int64_t start_unix_ns = 0;
  int64_t end_unix_ns = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  bool error = false;
};

/// Holds ended spans until they are exported. Bounded: when full, new spans are
/// dropped and counted. Never blocks for long. Thread-safe.
class SpanRecorder {
 public:
  explicit SpanRecorder(size_t capacity);

  /// Keeps the span. The owner calls it for spans of sampled traces only.
  void Record(Span span);

  /// Removes and returns up to `limit` spans, oldest first.
  [[nodiscard]] std::vector<Span> Drain(size_t limit);

  uint64_t dropped() const;

 private:
  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::deque<Span> m_spans;
  uint64_t m_dropped = 0;
};

/// Encodes spans as an OTLP/HTTP JSON ExportTraceServiceRequest, one resource
/// per host. Thread-safe.
std::string EncodeOtlpJson(const std::vector<Span>& spans,
                           const std::string& service_name);

}  // namespace applestand

#endif  // LIB_TRACE_SPAN_H_
