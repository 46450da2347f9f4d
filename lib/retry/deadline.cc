#include "lib/retry/deadline.h"

#include <algorithm>
#include <cstdint>

namespace applestand {

namespace {

constexpr size_t kMaxDigits = 9;

std::optional<std::chrono::milliseconds> ParseMillis(const std::string& text) {
  const bool digits = std::all_of(text.begin(), text.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  if (text.empty() || text.size() > kMaxDigits || !digits) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::stol(text));
}

}  // namespace

std::optional<TimePoint> DeadlineOf(const HttpRequest& request,
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

std::optional<HttpHeader> DeadlineHeader(TimePoint deadline, TimePoint now) {
  const int64_t left = ToMillis(deadline - now);
  if (left < 1) {
    return std::nullopt;
  }
  return HttpHeader{kDeadlineHeader, std::to_string(left)};
}

}  // namespace applestand
