#ifndef LIB_TRACE_TRACE_CONTEXT_H_
#define LIB_TRACE_TRACE_CONTEXT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "lib/base/verdict.h"

namespace applestand {

/// Name of the header that carries the trace context (W3C Trace Context).
constexpr const char* kTraceparentHeader = "traceparent";

/// Identifies a trace. All zeros means no trace.
struct TraceId {
  std::array<uint8_t, 16> bytes{};
};
/// Identifies a span. All zeros means no span.
struct SpanId {
  std::array<uint8_t, 8> bytes{};
};

bool operator==(const TraceId& a, const TraceId& b);
bool operator==(const SpanId& a, const SpanId& b);

/// Formats an id in lowercase hexadecimal digits. Thread-safe.
std::string ToHex(const TraceId& id);
std::string ToHex(const SpanId& id);

/// The position of one request in its trace.
struct TraceContext {
  TraceId trace;
  /// In a received context, the sender's span. In a context to be sent, the
  /// span of this host.
  SpanId span;
  bool sampled = false;
};

/// Parses the value of a `traceparent` header according to W3C Trace Context
/// level 1: Version 00 must match the format exactly. Of higher versions only
/// the first four fields are read. Version ff, uppercase digits and ids of all
/// zeros are invalid. If the header is invalid, returns std::nullopt and sets
/// `reason`; the owner then starts a new trace. Thread-safe.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(
    std::string_view header,
    Reason& reason);

/// Formats the value of a version 00 `traceparent` header. Thread-safe.
std::string FormatTraceparent(const TraceContext& context);

/// Generates random ids and decides which traces are sampled. Not thread-safe;
/// each thread or event loop needs its own.
class TraceIdGenerator {
 public:
  /// Samples the fraction `ratio` of new traces. The decision depends only on
  /// the trace id, so that all hosts with the same ratio make the same
  /// decision. Precondition: 0 <= ratio <= 1.
  TraceIdGenerator(uint64_t seed, double ratio);

  /// Returns the context of a new trace, with a new span and the sampling
  /// decision.
  TraceContext NewTrace();
  SpanId NewSpanId();

  /// Returns the context of a child span of `parent`: same trace and sampling
  /// decision, new span.
  TraceContext Child(const TraceContext& parent);

 private:
  std::mt19937_64 m_random;
  const double m_ratio;
};

}  // namespace applestand

#endif  // LIB_TRACE_TRACE_CONTEXT_H_
