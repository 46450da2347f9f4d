#ifndef LIB_ENTRY_HOP_TRACER_H_
#define LIB_ENTRY_HOP_TRACER_H_

#include <string>
#include <utility>
#include <vector>

#include "lib/trace/span.h"
#include "lib/trace/trace_context.h"

namespace applestand {

/// A span that has begun.
struct HopSpan {
  TraceContext context;
  SpanId parent;
  int64_t start_unix_ns = 0;
};

/// Begins and ends the spans of one process.
/// Single-threaded, apart from the recorder.
class HopTracer {
 public:
  HopTracer(HostId host, TraceIds& ids, SpanRecorder& recorder)
      : m_host(std::move(host)), m_ids(ids), m_recorder(recorder) {}

  /// Begins a span below the one that `traceparent` names; a malformed or
  /// empty one begins a new trace.
  HopSpan Begin(const std::string& traceparent);

  /// Begins a span below another one of this process.
  HopSpan BeginBelow(const HopSpan& parent);

  /// Ends a span and keeps it where its trace is sampled.
  void End(const HopSpan& span,
           const char* name,
           bool error,
           std::vector<std::pair<std::string, std::string>> attributes);

 private:
  HopSpan BeginBelow(const TraceContext& parent);

  const HostId m_host;
  TraceIds& m_ids;
  SpanRecorder& m_recorder;
};

}  // namespace applestand

#endif  // LIB_ENTRY_HOP_TRACER_H_
