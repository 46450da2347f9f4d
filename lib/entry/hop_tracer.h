#ifndef LIB_ENTRY_HOP_TRACER_H_
#define LIB_ENTRY_HOP_TRACER_H_

#include <string>
#include <utility>
#include <vector>

#include "lib/trace/span.h"
#include "lib/trace/trace_context.h"

namespace applestand {

/// A span that has started and not yet ended.
struct ActiveSpan {
  TraceContext context;
  /// All zero for the first span of a trace.
  SpanId parent;
  int64_t start_unix_ns = 0;
};

/// Starts and ends the spans of one process, each of which covers one hop of a
/// request. Not thread-safe; the recorder may be shared with other threads.
class HopTracer {
 public:
  /// `ids` and `recorder` must outlive this object.
  HopTracer(HostId host, TraceIdGenerator& ids, SpanRecorder& recorder)
      : m_host(std::move(host)), m_ids(ids), m_recorder(recorder) {}

  /// Starts a child of the span that `traceparent` (W3C trace context)
  /// identifies, or a new trace if it is malformed or empty.
  ActiveSpan StartSpan(const std::string& traceparent);

  /// Starts a child of another span of this process.
  ActiveSpan StartChildSpan(const ActiveSpan& parent);

  /// Ends a span and records it if its trace is sampled.
  void EndSpan(const ActiveSpan& span,
               const char* name,
               bool error,
               std::vector<std::pair<std::string, std::string>> attributes);

 private:
  ActiveSpan StartChildSpan(const TraceContext& parent);

  const HostId m_host;
  TraceIdGenerator& m_ids;
  SpanRecorder& m_recorder;
};

}  // namespace applestand

#endif  // LIB_ENTRY_HOP_TRACER_H_
