#include "lib/trace/trace_context.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

namespace {

// Layout of version 00: "vv-" 32 digits "-" 16 digits "-" "ff".
constexpr size_t kTraceAt = 3;
constexpr size_t kSpanAt = 36;
constexpr size_t kFlagsAt = 53;
constexpr size_t kVersion0Size = 55;
constexpr uint8_t kSampledFlag = 1;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return -1;
}

/// Reads two digits for each byte of `bytes`. Precondition: `text` is that
/// long.
template <size_t N>
bool ReadHex(std::string_view text, std::array<uint8_t, N>& bytes) {
  for (size_t i = 0; i < N; ++i) {
    const int high = HexDigit(text[2 * i]);
    const int low = HexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return true;
}

template <size_t N>
std::string WriteHex(const std::array<uint8_t, N>& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (const uint8_t byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

template <size_t N>
bool AllZero(const std::array<uint8_t, N>& bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](uint8_t byte) { return byte == 0; });
}

template <size_t N>
void FillRandom(std::mt19937_64& random, std::array<uint8_t, N>& bytes) {
  do {
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(random());
    }
  } while (AllZero(bytes));
}

bool HasSeparators(std::string_view header) {
  return header[kTraceAt - 1] == '-' && header[kSpanAt - 1] == '-' &&
         header[kFlagsAt - 1] == '-';
}

}  // namespace

bool operator==(const TraceId& a, const TraceId& b) {
  return a.bytes == b.bytes;
}

bool operator==(const SpanId& a, const SpanId& b) {
  return a.bytes == b.bytes;
}

std::string ToHex(const TraceId& id) {
  return WriteHex(id.bytes);
}

std::string ToHex(const SpanId& id) {
  return WriteHex(id.bytes);
}

std::optional<TraceContext> ParseTraceparent(std::string_view header,
                                             Reason& reason) {
  std::array<uint8_t, 1> version{};
  std::array<uint8_t, 1> flags{};
  TraceContext context;
  if (header.size() < kVersion0Size || !HasSeparators(header)) {
    reason.text = "traceparent is cut or lacks separators";
    return std::nullopt;
  }
  if (!ReadHex(header, version) ||
      !ReadHex(header.substr(kTraceAt), context.trace.bytes) ||
      !ReadHex(header.substr(kSpanAt), context.span.bytes) ||
      !ReadHex(header.substr(kFlagsAt), flags)) {
    reason.text = "traceparent has other than lower-case hexadecimal digits";
    return std::nullopt;
  }
  const bool longer = header.size() > kVersion0Size;
  if (version[0] == 0xff || (version[0] == 0 && longer) ||
      (longer && header[kVersion0Size] != '-')) {
    reason.text = "traceparent has an invalid version or length";
    return std::nullopt;
  }
  if (AllZero(context.trace.bytes) || AllZero(context.span.bytes)) {
    reason.text = "traceparent has an id of zeros";
    return std::nullopt;
  }
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + ToHex(context.trace) + "-" + ToHex(context.span) +
         (context.sampled ? "-01" : "-00");
}

TraceIds::TraceIds(uint64_t seed, double ratio)
    : m_random(seed), m_ratio(ratio) {
  assert(ratio >= 0 && ratio <= 1 && "a ratio lies between 0 and 1");
}

TraceContext TraceIds::NewTrace() {
  TraceContext context;
  FillRandom(m_random, context.trace.bytes);
  context.span = NewSpan();
  // The last seven bytes are the random part that W3C level 2 names.
  constexpr size_t kRandomAt = 9;
  uint64_t value = 0;
  for (size_t i = kRandomAt; i < context.trace.bytes.size(); ++i) {
    value = value << 8 | context.trace.bytes[i];
  }
  context.sampled = std::ldexp(static_cast<double>(value), -56) < m_ratio;
  return context;
}

SpanId TraceIds::NewSpan() {
  SpanId span;
  FillRandom(m_random, span.bytes);
  return span;
}

TraceContext TraceIds::Child(const TraceContext& parent) {
  return {parent.trace, NewSpan(), parent.sampled};
}

}  // namespace applestand
