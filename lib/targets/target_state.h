#ifndef LIB_TARGETS_TARGET_STATE_H_
#define LIB_TARGETS_TARGET_STATE_H_

#include <cstdint>
#include <optional>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

struct TargetPolicy {
  /// Slots in use of a target whose caches are cold.
  uint32_t cold_slots = 1;
  /// Successes, and time, that must pass before one more slot is used.
  uint32_t ramp_successes = 4;
  Duration ramp_interval = std::chrono::seconds(1);
  /// Consecutive failures after which a target is ejected.
  uint32_t ejecting_failures = 3;
  Duration probe_interval = std::chrono::seconds(1);
  /// A probe without an answer counts as failed after this time.
  Duration probe_timeout = std::chrono::seconds(1);
  /// Pause before the first probe of an ejected target; doubles up to the max.
  Duration first_reprobe = std::chrono::milliseconds(500);
  Duration max_reprobe = std::chrono::seconds(15);
  /// Pause after a shed that names no time, and the longest that is honoured.
  Duration default_shed_pause = std::chrono::seconds(1);
  Duration max_shed_pause = std::chrono::seconds(30);
};

/// How a started request ended, as the target's own behaviour shows it.
enum class TargetOutcome {
  /// The target answered, whatever the status.
  kServed,
  /// The target refused by 429 or 503.
  kShed,
  /// No whole answer: refused or cut connection, or timeout.
  kFailed,
  /// The entry host gave up for its own reasons; says nothing on the target.
  kAbandoned,
};

/// Answer of a target's health endpoint.
struct ProbeResult {
  TargetId target;
  /// The endpoint answered that it is healthy.
  bool healthy = false;
  bool leaving = false;
  /// Load that the target claims; 1 is full. Only breaks ties, for it may lag
  /// or be wrong.
  std::optional<double> load;
};

/// What a home host knows of one target: exact slots in use, cold start ramp,
/// sheds, ejection and probes. The number of slots that may be in use is never
/// above the configured one; nothing that the target reports raises it.
///
/// Not thread-safe.
class TargetState {
 public:
  TargetState(Target target, const TargetPolicy& policy, TimePoint now);

  /// Takes over a changed configuration; counts are kept.
  void Configure(const Target& target, TimePoint now);

  /// Begins again with few slots, as after a change of home.
  void RestartCold(TimePoint now);

  /// May a request start here now?
  bool Usable(TimePoint now) const;
  /// May one trial request start here though only probes have failed?
  bool UsableAsLastResort(TimePoint now) const;
  /// Slots that may be in use now; 0 while closed, ejected or leaving.
  uint32_t Allowed(TimePoint now) const;
  uint32_t in_flight() const { return m_in_flight; }

  void OnStart();
  /// Precondition: a start is open.
  void OnFinished(TargetOutcome outcome,
                  std::optional<Duration> retry_after,
                  TimePoint now);

  /// Whether a probe is due; if so the caller sends one and reports by
  /// OnProbe. Probes without a report time out by themselves.
  bool TakeDueProbe(TimePoint now);
  void OnProbe(const ProbeResult& result, TimePoint now);

  /// When the target may next become usable; `now` where it is.
  TimePoint UsableAt(TimePoint now) const;
  bool leaving() const { return m_target.leaving || m_says_leaving; }
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
  bool m_says_leaving = false;
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
