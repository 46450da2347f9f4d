#ifndef LIB_STEERING_IDLE_WATCH_H_
#define LIB_STEERING_IDLE_WATCH_H_

#include <map>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Notices that targets of a service forget idle connections sooner than they
/// say. A request that was sent on such a connection may have run; where it may
/// not be repeated it takes only connections that rested for a shorter time,
/// for as long as the trouble goes on.
///
/// Not thread-safe.
class IdleWatch {
 public:
  /// A connection that had rested so long ended without an answer, as soon as
  /// a request was sent on it.
  void OnForgotten(const ServiceId& service, Duration rested, TimePoint now);

  /// Longest rest of a connection that the request may take.
  Duration MaxRest(const ServiceId& service,
                   bool repeatable,
                   TimePoint now) const;

 private:
  struct Trouble {
    Duration max_rest{};
    TimePoint until;
  };

  std::map<ServiceId, Trouble> m_troubles;
};

}  // namespace applestand

#endif  // LIB_STEERING_IDLE_WATCH_H_
