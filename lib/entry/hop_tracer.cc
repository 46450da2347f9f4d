#include "lib/entry/hop_tracer.h"

#include <chrono>

namespace applestand {

namespace {

int64_t UnixNanos() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

}  // namespace

ActiveSpan HopTracer::StartSpan(const std::string& traceparent) {
  Reason reason;
  if (const auto parent = ParseTraceparent(traceparent, reason)) {
    return StartChildSpan(*parent);
  }
  return {m_ids.NewTrace(), SpanId(), UnixNanos()};
}

ActiveSpan HopTracer::StartChildSpan(const ActiveSpan& parent) {
  return StartChildSpan(parent.context);
}

ActiveSpan HopTracer::StartChildSpan(const TraceContext& parent) {
  return {m_ids.Child(parent), parent.span, UnixNanos()};
}

void HopTracer::EndSpan(
    const ActiveSpan& span,
    const char* name,
    bool error,
    std::vector<std::pair<std::string, std::string>> attributes) {
  if (!span.context.sampled) {
    return;
  }
  m_recorder.Record({span.context.trace, span.context.span, span.parent, name,
                     m_host, span.start_unix_ns, UnixNanos(),
                     std::move(attributes), error});
}

}  // namespace applestand
