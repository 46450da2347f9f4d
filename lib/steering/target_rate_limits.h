#ifndef LIB_STEERING_TARGET_RATE_LIMITS_H_
#define LIB_STEERING_TARGET_RATE_LIMITS_H_

#include <map>
#include <optional>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Tracks the limits that overloaded targets name in their responses: the
/// requests per second that a target takes from all hosts together, until it
/// names another limit or none. Not thread-safe.
class TargetRateLimits {
 public:
  /// The limit of a target in requests per second, before and after a response;
  /// std::nullopt means none.
  struct Change {
    std::optional<double> before;
    std::optional<double> after;
  };

  /// Called when a target has responded to a request that was sent at `sent`,
  /// with the limit that the response names, if any. A response without limit
  /// has no effect if the target may have sent it before it named its limit.
  /// Returns the change, or std::nullopt if there is none. Precondition:
  /// `requests_per_s` is not negative.
  std::optional<Change> OnResponse(const TargetId& target,
                                   std::optional<double> requests_per_s,
                                   TimePoint sent,
                                   TimePoint now);
  /// Called when the target is unknown or has restarted.
  void Remove(const TargetId& target) { m_limits.erase(target); }

  /// Returns the number of targets with a limit.
  size_t size() const { return m_limits.size(); }

 private:
  struct Limit {
    double requests_per_s = 0;
    // When the latest response that names a limit was received.
    TimePoint named_at;
  };

  std::map<TargetId, Limit> m_limits;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_RATE_LIMITS_H_
