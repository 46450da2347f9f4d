#ifndef LIB_RETRY_DEADLINE_H_
#define LIB_RETRY_DEADLINE_H_

#include <optional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// Header with the time left for a request, in whole milliseconds with 1 to 9
/// digits. Read from requests of callers; set again in requests to targets.
constexpr const char* kDeadlineHeader = "X-Deadline-Ms";

/// Returns the time by which a request must be answered: the caller's deadline,
/// but at most `route_timeout` after `now`. If the header is repeated or
/// malformed, sets `reason` and returns std::nullopt; the caller then responds
/// with status 400, not run. Thread-safe.
[[nodiscard]] std::optional<TimePoint> ComputeDeadline(
    const HttpRequest& request,
    Duration route_timeout,
    TimePoint now,
    Reason& reason);

/// Returns the header for a target, or std::nullopt if less than 1 ms is left,
/// in which case no attempt may be made. Thread-safe.
[[nodiscard]] std::optional<HttpHeader> MakeDeadlineHeader(TimePoint deadline,
                                                           TimePoint now);

}  // namespace applestand

#endif  // LIB_RETRY_DEADLINE_H_
