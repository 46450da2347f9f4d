#ifndef LIB_TARGETS_TARGET_STATE_H_
#define LIB_TARGETS_TARGET_STATE_H_

#include <cstdint>
#include <optional>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

struct TargetPolicy {
  /// Usable slots at the beginning of slow start, while the target's caches are
  /// cold.
  uint32_t cold_slots = 1;
  /// Successes and time required before slow start adds one more slot.
  uint32_t ramp_successes = 4;
  Duration ramp_interval = std::chrono::seconds(1);
  /// Consecutive failures after which a target is ejected (outlier ejection).
  uint32_t ejecting_failures = 3;
  Duration probe_interval = std::chrono::seconds(1);
  /// A probe without a response counts as failed after this time.
  Duration probe_timeout = std::chrono::seconds(1);
  /// Delay before the first probe of an ejected target; doubles with each
  /// failed probe up to `max_reprobe`.
  Duration first_reprobe = std::chrono::milliseconds(500);
  Duration max_reprobe = std::chrono::seconds(15);
  /// Time for which a target is closed after a shed without a retry time, and
  /// the upper limit of a retry time that the target gives.
  Duration default_shed_pause = std::chrono::seconds(1);
  Duration max_shed_pause = std::chrono::seconds(30);
};

/// How a started request ended, as far as it concerns the target.
enum class TargetOutcome {
  /// The target sent a complete response, with any status.
  kServed,
  /// The target rejected the request because of load, with status 429 or 503.
  kShed,
  /// No complete response: connection refused or lost, or timeout.
  kFailed,
  /// The entry host gave up for reasons unrelated to the target.
  kAbandoned,
};

/// Response of a target's health endpoint.
struct ProbeResult {
  TargetId target;
  /// The endpoint reported that the target is healthy.
  bool healthy = false;
  /// The endpoint reported that the target accepts no new requests.
  bool draining = false;
  /// Load that the target reports; 1 means full. Only breaks ties, since it may
  /// be late or wrong.
  std::optional<double> load;
};

/// The state of one target at its home host: the exact number of slots in use,
/// slow start, sheds, ejection and probes. The number of usable slots never
/// exceeds the configured number, and nothing that the target reports raises
/// it.
///
/// Not thread-safe.
class TargetState {
 public:
  /// `policy` must outlive this object.
  TargetState(Target target, const TargetPolicy& policy, TimePoint now);

  /// Applies a changed configuration. The counts of requests are kept. Restarts
  /// slow start if the address changed or the target no longer is marked as
  /// leaving.
  void Configure(const Target& target, TimePoint now);

  /// Ends any ejection and restarts slow start with `cold_slots` usable slots.
  /// Must also be called when the target returns from another home host.
  void RestartSlowStart(TimePoint now);

  /// Returns whether a request may start now.
  bool Usable(TimePoint now) const;
  /// Returns whether one trial request may start although the target is
  /// ejected. True only if probes alone have failed.
  bool UsableAsLastResort(TimePoint now) const;
  /// Slots that may currently be in use; 0 while the target is ejected,
  /// draining or closed after a shed.
  uint32_t Allowed(TimePoint now) const;
  uint32_t in_flight() const { return m_in_flight; }

  /// Precondition: fewer requests are in flight than the configured slots.
  void OnStart();
  /// Records the end of a request. `retry_after` is used with kShed only.
  /// Precondition: a request is in flight.
  void OnFinished(TargetOutcome outcome,
                  std::optional<Duration> retry_after,
                  TimePoint now);

  /// Returns true and records the start of a probe if one is due. The caller
  /// must then send it and pass its result to OnProbe. A probe without a result
  /// counts as failed after `probe_timeout`.
  bool StartProbeIfDue(TimePoint now);
  void OnProbe(const ProbeResult& result, TimePoint now);

  /// Returns the earliest time at which the target may become usable; `now` if
  /// it is neither ejected, draining nor closed, and TimePoint::max() if it is
  /// draining.
  TimePoint UsableAt(TimePoint now) const;
  bool draining() const { return m_target.leaving || m_reports_draining; }
  bool ejected() const { return m_ejected; }
  double reported_load() const { return m_reported_load; }
  const Target& target() const { return m_target; }

 private:
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now, bool by_probe);
  void Eject(TimePoint now, bool by_probe);

  Target m_target;
  const TargetPolicy& m_policy;
  uint32_t m_in_flight = 0;
  uint32_t m_ramp_slots = 0;
  uint32_t m_ramp_successes = 0;
  TimePoint m_ramp_since;
  uint32_t m_failures = 0;
  uint32_t m_probe_failures = 0;
  bool m_ejected = false;
  bool m_ejected_by_probe = false;
  bool m_reports_draining = false;
  bool m_probe_open = false;
  TimePoint m_probe_sent;
  TimePoint m_next_probe;
  TimePoint m_closed_until;
  TimePoint m_last_success;
  Duration m_reprobe;
  double m_reported_load = 0;
};

}  // namespace applestand

#endif  // LIB_TARGETS_TARGET_STATE_H_
