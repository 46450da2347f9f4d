#ifndef LIB_STEERING_TARGET_REACHABILITY_H_
#define LIB_STEERING_TARGET_REACHABILITY_H_

#include <map>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// A target that may be probed.
struct ProbeCandidate {
  TargetId target;
  ZoneId zone;
  /// "IP:port".
  std::string address;
  ServiceId service;
};

/// Decides whether this host has lost its links to all targets, so that other
/// hosts must reach them for it. Only new connections count: connections from
/// before may live on when no new one can be opened.
///
/// The links are lost once new connections to several targets, in several
/// availability zones, have failed with no response on a new connection in
/// between. They are back with the first such response.
///
/// Does no I/O and reads no clock. Not thread-safe.
class TargetReachability {
 public:
  /// Called when a target responded on a connection that was opened at `opened`
  /// or later. Returns true if the links are back with it.
  bool OnResponse(TimePoint opened);
  /// Called when a target responded on any connection.
  void OnAnyResponse(const TargetId& target, TimePoint now);
  /// Called when a request that was sent at `sent` on a connection from before
  /// got no response. Raises a suspicion if no target has responded since, or
  /// together with another target that failed or fell silent.
  void OnNoResponse(const TargetId& target, TimePoint sent, TimePoint now);
  /// Called when a connection that was begun at `begun` could not be opened, or
  /// ended without a response. `known` are the targets that may be probed.
  /// Returns true if the links are lost with it.
  bool OnFailure(const TargetId& target,
                 const ZoneId& zone,
                 TimePoint begun,
                 const std::vector<ProbeCandidate>& known,
                 TimePoint now);

  bool lost() const { return m_lost; }
  /// Returns the number of targets that failed since the last response.
  size_t failed_targets() const { return m_failures.size(); }

  /// Returns whether some targets failed, so that it must be found out whether
  /// others do too, or when the links are back.
  bool ShouldProbe() const;
  /// Returns the targets to probe now, out of `known`; targets of availability
  /// zones without a failure come first. Precondition: ShouldProbe().
  std::vector<ProbeCandidate> ChooseProbes(
      const std::vector<ProbeCandidate>& known,
      TimePoint now);

 private:
  struct Failure {
    ZoneId zone;
    TimePoint at;
  };

  void DropOldFailures(TimePoint now);
  // Returns the number of targets that failed or fell silent.
  size_t CountSuspects() const;

  // Failures since the last response, by target.
  std::map<TargetId, Failure> m_failures;
  TimePoint m_last_any_response = TimePoint::min();
  // A request got no response, nor did any other since it was sent.
  bool m_silent = false;
  // Targets that have not responded since a request to them that got no
  // response, and when it ended.
  std::map<TargetId, TimePoint> m_silent_targets;
  std::map<TargetId, TimePoint> m_last_response_by_target;
  TimePoint m_last_response_opened = TimePoint::min();
  TimePoint m_probed_at = TimePoint::min();
  size_t m_next_probe = 0;
  bool m_lost = false;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_REACHABILITY_H_
