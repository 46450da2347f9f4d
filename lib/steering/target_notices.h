#ifndef LIB_STEERING_TARGET_NOTICES_H_
#define LIB_STEERING_TARGET_NOTICES_H_

#include <functional>
#include <map>
#include <optional>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Keeps what targets have told this host in their responses: that they want no
/// requests from it for some time, or that they leave. A notice holds for one
/// incarnation of the target, whatever the target's row in the store says
/// meanwhile, also if it is removed and comes back.
///
/// Does no I/O and reads no clock. Not thread-safe.
class TargetNotices {
 public:
  /// Called when the target has turned a request away and wants no requests
  /// from this host for `rest`. Ignored if a later incarnation of the target
  /// has been heard from. A shorter rest does not end a longer one. Returns
  /// whether the target was not at rest before. Precondition: `rest` is not
  /// negative.
  bool OnRest(const TargetId& target,
              Incarnation incarnation,
              Duration rest,
              TimePoint now);

  /// Called when the target has said that it leaves. Ignored if a later
  /// incarnation of the target has been heard from. Returns whether this was
  /// not known before.
  bool OnLeaving(const TargetId& target,
                 Incarnation incarnation,
                 TimePoint now);

  /// Returns the time until the rest of this or a later incarnation of the
  /// target ends, or std::nullopt if it is not at rest.
  std::optional<Duration> RestLeft(const TargetId& target,
                                   Incarnation incarnation,
                                   TimePoint now) const;

  /// Returns whether this or a later incarnation of the target leaves.
  bool IsLeaving(const TargetId& target, Incarnation incarnation) const;

  /// Returns the number of targets at rest.
  size_t CountResting(TimePoint now) const;

  /// Discards rests that have ended, and leavings of targets for which `known`
  /// has returned false for a long time.
  void Tick(const std::function<bool(const TargetId&)>& known, TimePoint now);

 private:
  struct Notice {
    Incarnation incarnation;
    TimePoint rest_until;
    bool leaving = false;
    // When the target was last known or heard from.
    TimePoint seen_at;
  };

  /// Returns the notice of the incarnation, or null if a later one has been
  /// heard from.
  Notice* FindOrAdd(const TargetId& target,
                    Incarnation incarnation,
                    TimePoint now);

  std::map<TargetId, Notice> m_notices;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_NOTICES_H_
