#include "lib/trace/trace_context.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

namespace {

// Layout of a version 00 header: 2 digits of version, "-", 32 digits of trace
// id, "-", 16 digits of parent span id, "-", 2 digits of flags.
constexpr size_t kTraceIdOffset = 3;
constexpr size_t kSpanIdOffset = 36;
constexpr size_t kFlagsOffset = 53;
constexpr size_t kVersion0Size = 55;
constexpr uint8_t kSampledFlag = 1;

// Returns the value of a lowercase hexadecimal digit, or -1.
int ParseHexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return -1;
}

/// Parses two digits of `text` for each byte of `bytes`. Returns false if a
/// character is not a lowercase hexadecimal digit. Precondition: `text` has at
/// least 2 * N characters.
template <size_t N>
bool ParseHex(std::string_view text, std::array<uint8_t, N>& bytes) {
  for (size_t i = 0; i < N; ++i) {
    const int high = ParseHexDigit(text[2 * i]);
    const int low = ParseHexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return true;
}

template <size_t N>
std::string FormatHex(const std::array<uint8_t, N>& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (const uint8_t byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

template <size_t N>
bool IsAllZero(const std::array<uint8_t, N>& bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](uint8_t byte) { return byte == 0; });
}

template <size_t N>
void FillWithNonZeroRandom(std::mt19937_64& random,
                           std::array<uint8_t, N>& bytes) {
  do {
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(random());
    }
  } while (IsAllZero(bytes));
}

bool HasSeparators(std::string_view header) {
  return header[kTraceIdOffset - 1] == '-' &&
         header[kSpanIdOffset - 1] == '-' && header[kFlagsOffset - 1] == '-';
}

}  // namespace

bool operator==(const TraceId& a, const TraceId& b) {
  return a.bytes == b.bytes;
}

bool operator==(const SpanId& a, const SpanId& b) {
  return a.bytes == b.bytes;
}

std::string ToHex(const TraceId& id) {
  return FormatHex(id.bytes);
}

std::string ToHex(const SpanId& id) {
  return FormatHex(id.bytes);
}

std::optional<TraceContext> ParseTraceparent(std::string_view header,
                                             Reason& reason) {
  std::array<uint8_t, 1> version{};
  std::array<uint8_t, 1> flags{};
  TraceContext context;
  if (header.size() < kVersion0Size || !HasSeparators(header)) {
    reason.text = "traceparent is too short or lacks separators";
    return std::nullopt;
  }
  if (!ParseHex(header, version) ||
      !ParseHex(header.substr(kTraceIdOffset), context.trace.bytes) ||
      !ParseHex(header.substr(kSpanIdOffset), context.span.bytes) ||
      !ParseHex(header.substr(kFlagsOffset), flags)) {
    reason.text =
        "traceparent contains characters other than lowercase hexadecimal "
        "digits";
    return std::nullopt;
  }
  const bool has_extra = header.size() > kVersion0Size;
  if (version[0] == 0xff || (version[0] == 0 && has_extra) ||
      (has_extra && header[kVersion0Size] != '-')) {
    reason.text = "traceparent has an invalid version or length";
    return std::nullopt;
  }
  if (IsAllZero(context.trace.bytes) || IsAllZero(context.span.bytes)) {
    reason.text = "traceparent has a trace id or parent id of all zeros";
    return std::nullopt;
  }
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + ToHex(context.trace) + "-" + ToHex(context.span) +
         (context.sampled ? "-01" : "-00");
}

TraceIdGenerator::TraceIdGenerator(uint64_t seed, double ratio)
    : m_random(seed), m_ratio(ratio) {
  assert(ratio >= 0 && ratio <= 1 && "a ratio lies between 0 and 1");
}

TraceContext TraceIdGenerator::NewTrace() {
  TraceContext context;
  FillWithNonZeroRandom(m_random, context.trace.bytes);
  context.span = NewSpanId();
  // Samples by the last seven bytes (56 bits), which are the random part of a
  // trace id according to W3C Trace Context level 2.
  constexpr size_t kRandomOffset = 9;
  uint64_t value = 0;
  for (size_t i = kRandomOffset; i < context.trace.bytes.size(); ++i) {
    value = value << 8 | context.trace.bytes[i];
  }
  context.sampled = std::ldexp(static_cast<double>(value), -56) < m_ratio;
  return context;
}

SpanId TraceIdGenerator::NewSpanId() {
  SpanId span;
  FillWithNonZeroRandom(m_random, span.bytes);
  return span;
}

TraceContext TraceIdGenerator::Child(const TraceContext& parent) {
  return {parent.trace, NewSpanId(), parent.sampled};
}

}  // namespace applestand
