#ifndef LIB_NODE_STOP_SCHEDULE_H_
#define LIB_NODE_STOP_SCHEDULE_H_

#include "lib/base/clock.h"

namespace applestand {

/// The steps of a planned stop of a host, and which requests it may still pass
/// on. The process ends before the platform kills it, and a request that is
/// passed on must have a response by then. Not thread-safe.
class StopSchedule {
 public:
  /// `started` is when the host was told to stop; it is killed `grace` later.
  StopSchedule(TimePoint started, Duration grace)
      : m_started(started), m_grace(grace) {}

  TimePoint started() const { return m_started; }
  /// Returns when the process ends at the latest.
  TimePoint ExitTime() const;
  /// Returns whether idle connections of callers are to be closed. Before that,
  /// callers learn of other hosts.
  bool ShouldCloseIdle(TimePoint now) const;
  /// Returns whether no more connections of callers are to be accepted.
  bool ShouldStopAccepting(TimePoint now) const;
  /// Returns whether a request may be sent to a target or passed to another
  /// host: by its `deadline`, when it ends at the latest, the response can
  /// still be delivered.
  bool CanPassOn(TimePoint deadline) const;
  /// Returns whether the process is to end. `has_open_requests` says whether
  /// there are requests whose caller has not got a response.
  bool ShouldExit(TimePoint now, bool has_open_requests) const;

 private:
  TimePoint m_started;
  Duration m_grace;
};

}  // namespace applestand

#endif  // LIB_NODE_STOP_SCHEDULE_H_
