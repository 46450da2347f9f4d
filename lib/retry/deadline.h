#ifndef LIB_RETRY_DEADLINE_H_
#define LIB_RETRY_DEADLINE_H_

#include <optional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// Header with the time left for a request, in whole milliseconds, 1 to 9
/// digits: read from callers, set anew for targets.
constexpr const char* kDeadlineHeader = "X-Deadline-Ms";

/// The time by which a request must be answered: the caller's deadline, but
/// no more than `route_timeout` after `now`. Nothing, with the reason, where
/// the header is repeated or malformed (answer 400, not run). Thread-safe.
[[nodiscard]] std::optional<TimePoint> DeadlineOf(const HttpRequest& request,
                                                  Duration route_timeout,
                                                  TimePoint now,
                                                  Reason& reason);

/// The header for a target; nothing where less than 1 ms is left, in which
/// case no attempt may be made. Thread-safe.
[[nodiscard]] std::optional<HttpHeader> DeadlineHeader(TimePoint deadline,
                                                       TimePoint now);

}  // namespace applestand

#endif  // LIB_RETRY_DEADLINE_H_
