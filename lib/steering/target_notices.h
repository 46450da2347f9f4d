#ifndef LIB_STEERING_TARGET_NOTICES_H_
#define LIB_STEERING_TARGET_NOTICES_H_

#include <functional>
#include <map>
#include <optional>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Keeps what targets have told this host in their responses: that they want no
/// requests from it for some time. A notice holds for one incarnation of the
/// target, whatever the target's row in the store says meanwhile.
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

  /// Returns the time until the rest of this or a later incarnation of the
  /// target ends, or std::nullopt if it is not at rest.
  std::optional<Duration> RestLeft(const TargetId& target,
                                   Incarnation incarnation,
                                   TimePoint now) const;

  /// Returns the number of targets at rest.
  size_t CountResting(TimePoint now) const;

  /// Discards notices that have ended.
  void Tick(TimePoint now);

 private:
  struct Notice {
    Incarnation incarnation;
    TimePoint rest_until;
  };

  std::map<TargetId, Notice> m_notices;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_NOTICES_H_
