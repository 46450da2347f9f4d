#include "lib/retry/deadline.h"

#include <algorithm>
#include <cstdint>

namespace applestand {

namespace {

constexpr size_t kMaxDigits = 9;

std::optional<std::chrono::milliseconds> ParseMillis(const std::string& text) {
  const bool all_digits = std::all_of(
      text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (text.empty() || text.size() > kMaxDigits || !all_digits) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::stol(text));
}

}  // namespace

std::optional<TimePoint> ComputeDeadline(const HttpRequest& request,
                                         Duration route_timeout,
                                         TimePoint now,
                                         Reason& reason) {
  const size_t count = CountHeaders(request.headers, kDeadlineHeader);
  if (count == 0) {
    return now + route_timeout;
  }
  const auto millis =
      ParseMillis(FindHeader(request.headers, kDeadlineHeader).value_or(""));
  if (!millis) {
    reason.text = "X-Deadline-Ms is not one number of 1 to 9 digits";
    return std::nullopt;
  }
  return now + std::min<Duration>(*millis, route_timeout);
}

std::optional<HttpHeader> MakeDeadlineHeader(TimePoint deadline,
                                             TimePoint now) {
  const int64_t remaining_ms = ToMillis(deadline - now);
  if (remaining_ms < 1) {
    return std::nullopt;
  }
  return HttpHeader{kDeadlineHeader, std::to_string(remaining_ms)};
}

}  // namespace applestand
