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

/// Name of the W3C Trace Context header.
constexpr const char* kTraceparentHeader = "traceparent";

/// 16 bytes that name a trace; all zero: none.
struct TraceId {
  std::array<uint8_t, 16> bytes{};
};
/// 8 bytes that name a span; all zero: none.
struct SpanId {
  std::array<uint8_t, 8> bytes{};
};

bool operator==(const TraceId& a, const TraceId& b);
bool operator==(const SpanId& a, const SpanId& b);

/// Lower-case hexadecimal form. Thread-safe.
std::string ToHex(const TraceId& id);
std::string ToHex(const SpanId& id);

/// The position of one request in its trace.
struct TraceContext {
  TraceId trace;
  /// The caller's span when received, the own span when sent.
  SpanId span;
  bool sampled = false;
};

/// Parses a `traceparent` header as W3C Trace Context level 1 demands: version
/// 00 exactly, higher versions by their first four fields, never ff; lower-case
/// hexadecimal; ids not all zero. Nothing, with the reason, otherwise; the
/// owner then starts a new trace. Thread-safe.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(
    std::string_view header,
    Reason& reason);

/// Version 00 header value. Thread-safe.
std::string FormatTraceparent(const TraceContext& context);

/// Makes ids and decides which traces are sampled.
/// Thread safety: none; one per thread or event loop.
class TraceIds {
 public:
  /// `ratio` of new traces are sampled, by their trace id, so that every host
  /// with the same ratio decides alike. Precondition: 0 <= ratio <= 1.
  TraceIds(uint64_t seed, double ratio);

  TraceContext NewTrace();
  SpanId NewSpan();

  /// The context for a hop below `parent`: same trace and sampling, new span.
  TraceContext Child(const TraceContext& parent);

 private:
  std::mt19937_64 m_random;
  const double m_ratio;
};

}  // namespace applestand

#endif  // LIB_TRACE_TRACE_CONTEXT_H_
