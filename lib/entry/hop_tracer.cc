#include "lib/entry/hop_tracer.h"

#include <chrono>

namespace applestand {

namespace {

int64_t UnixNanos() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

}  // namespace

HopSpan HopTracer::Begin(const std::string& traceparent) {
  Reason reason;
  if (const auto parent = ParseTraceparent(traceparent, reason)) {
    return BeginBelow(*parent);
  }
  return {m_ids.NewTrace(), SpanId(), UnixNanos()};
}

HopSpan HopTracer::BeginBelow(const HopSpan& parent) {
  return BeginBelow(parent.context);
}

HopSpan HopTracer::BeginBelow(const TraceContext& parent) {
  return {m_ids.Child(parent), parent.span, UnixNanos()};
}

void HopTracer::End(
    const HopSpan& span,
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
