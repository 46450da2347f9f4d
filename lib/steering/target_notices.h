#ifndef LIB_STEERING_TARGET_NOTICES_H_
#define LIB_STEERING_TARGET_NOTICES_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/steering/steering_target.h"

namespace applestand {

/// Keeps what targets have told this host in their responses: that they want no
/// requests from it for some time, or that they leave. A notice holds for one
/// incarnation of the target, whatever the target's row in the store says
/// meanwhile, also if it is removed and comes back.
///
/// A target that has restarted may give notice before its new description
/// arrives. A response comes from the new incarnation if its request was sent
/// after that incarnation started.
///
/// Does no I/O and reads no clock. Not thread-safe.
class TargetNotices {
 public:
  /// Called when the target has turned a request away and wants no requests
  /// from this host for `rest`. `sent_to` is the target as it was known when
  /// the request was sent, at `sent`. Ignored if a later incarnation of the
  /// target has been heard from. A shorter rest does not end a longer one.
  /// Returns whether the target was not at rest before. Precondition: `rest` is
  /// not negative.
  bool OnRest(const SteeringTarget& sent_to,
              TimePoint sent,
              Duration rest,
              TimePoint now);

  /// Called when the target has said that it leaves, in the response to a
  /// request that was sent at `sent`. Ignored if a later incarnation of the
  /// target has been heard from. Returns whether this was not known before.
  bool OnLeaving(const SteeringTarget& sent_to, TimePoint sent, TimePoint now);

  /// Returns the time until the rest of this or a later incarnation of the
  /// target ends, or std::nullopt if it is not at rest.
  std::optional<Duration> RestLeft(const SteeringTarget& target,
                                   TimePoint now) const;

  /// Returns whether this or a later incarnation of the target leaves.
  bool IsLeaving(const SteeringTarget& target) const;

  /// Returns the number of targets at rest.
  size_t CountResting(TimePoint now) const;

  /// Discards rests that have ended, and leavings of targets for which `known`
  /// has returned false for a long time.
  void Tick(const std::function<bool(const TargetId&)>& known, TimePoint now);

 private:
  struct Rest {
    TimePoint sent;
    TimePoint until;
  };
  struct Notice {
    // The latest incarnation that has been heard from, and when it started.
    Incarnation incarnation;
    std::optional<TimePoint> started_at;
    // The later a rest was asked for, the earlier it ends.
    std::vector<Rest> rests;
    // When the latest request was sent whose response said that the target
    // leaves.
    std::optional<TimePoint> leaving_sent;
    // When the target was last known or heard from.
    TimePoint seen_at;
  };

  /// Returns whether the target, as described, or a later incarnation of it
  /// gave the notice in its response to a request that was sent at `sent`.
  static bool Holds(const Notice& notice,
                    TimePoint sent,
                    const SteeringTarget& target);

  /// Returns the notice to which a response of the target belongs, or null if
  /// the response comes from an earlier incarnation than the notice.
  Notice* FindOrAdd(const SteeringTarget& sent_to,
                    TimePoint sent,
                    TimePoint now);

  std::map<TargetId, Notice> m_notices;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_NOTICES_H_
