#include "lib/targets/target_state.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace applestand {

namespace {

/// Returns a delay derived from the target's id, so that the first probes of
/// many targets are spread over one interval.
Duration FirstProbeDelay(const TargetId& target, Duration interval) {
  const std::string& text = target.value();
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  const auto period = static_cast<uint64_t>(interval.count());
  return Duration(static_cast<int64_t>(hash % std::max<uint64_t>(period, 1)));
}

}  // namespace

TargetState::TargetState(Target target,
                         const TargetPolicy& policy,
                         TimePoint now)
    : m_target(std::move(target)),
      m_policy(policy),
      m_next_probe(now + FirstProbeDelay(m_target.id, policy.probe_interval)),
      m_closed_until(now),
      m_last_success(now),
      m_reprobe(policy.first_reprobe) {
  RestartSlowStart(now);
}

void TargetState::Configure(const Target& target, TimePoint now) {
  const bool replaced = target.address != m_target.address;
  const bool returned = m_target.leaving && !target.leaving;
  m_target = target;
  if (replaced) {
    m_closed_until = now;
    m_reports_draining = false;
    m_reprobe = m_policy.first_reprobe;
  }
  if (replaced || returned) {
    RestartSlowStart(now);
  }
}

bool TargetState::Usable(TimePoint now) const {
  return m_in_flight < Allowed(now);
}

bool TargetState::UsableAsLastResort(TimePoint now) const {
  return m_ejected && m_ejected_by_probe && !draining() &&
         m_closed_until <= now && m_in_flight == 0 && m_target.slots > 0;
}

uint32_t TargetState::Allowed(TimePoint now) const {
  if (draining() || m_ejected || m_closed_until > now) {
    return 0;
  }
  return std::min(m_ramp_slots, m_target.slots);
}

void TargetState::OnStart() {
  assert(m_in_flight < m_target.slots && "a start requires a free slot");
  ++m_in_flight;
}

void TargetState::OnFinished(TargetOutcome outcome,
                             std::optional<Duration> retry_after,
                             TimePoint now) {
  assert(m_in_flight > 0 && "a finish requires a request in flight");
  --m_in_flight;
  switch (outcome) {
    case TargetOutcome::kServed:
      OnSuccess(now);
      return;
    case TargetOutcome::kShed: {
      const Duration pause =
          std::clamp(retry_after.value_or(m_policy.default_shed_pause),
                     Duration::zero(), m_policy.max_shed_pause);
      m_closed_until = std::max(m_closed_until, now + pause);
      m_ramp_slots = std::max(m_policy.cold_slots, m_ramp_slots / 2);
      m_ramp_since = now;
      m_failures = 0;
      return;
    }
    case TargetOutcome::kFailed:
      OnFailure(now, false);
      return;
    case TargetOutcome::kAbandoned:
      return;
  }
}

bool TargetState::StartProbeIfDue(TimePoint now) {
  if (m_probe_open && now - m_probe_sent >= m_policy.probe_timeout) {
    m_probe_open = false;
    OnFailure(now, true);
  }
  if (m_probe_open || now < m_next_probe) {
    return false;
  }
  m_probe_open = true;
  m_probe_sent = now;
  m_next_probe = now + (m_ejected ? m_reprobe : m_policy.probe_interval);
  return true;
}

void TargetState::OnProbe(const ProbeResult& result, TimePoint now) {
  if (result.draining) {
    m_reports_draining = true;
  }
  if (!m_probe_open) {
    return;  // Already counted as timed out.
  }
  m_probe_open = false;
  m_reported_load = result.load.value_or(0);
  if (!result.healthy) {
    if (!result.draining) {
      OnFailure(now, true);
    }
    return;
  }
  m_probe_failures = 0;
  const bool returned = m_reports_draining && !result.draining;
  m_reports_draining = result.draining;
  if (m_ejected || returned) {
    RestartSlowStart(now);
  }
}

TimePoint TargetState::UsableAt(TimePoint now) const {
  if (draining()) {
    return TimePoint::max();
  }
  const TimePoint opens = std::max(m_closed_until, now);
  return m_ejected ? std::max(opens, m_next_probe) : opens;
}

void TargetState::OnSuccess(TimePoint now) {
  m_failures = 0;
  m_probe_failures = 0;
  m_last_success = now;
  if (m_ejected && m_ejected_by_probe) {
    RestartSlowStart(now);
  }
  if (!m_ejected) {
    m_reprobe = m_policy.first_reprobe;
  }
  ++m_ramp_successes;
  if (m_ramp_slots >= m_target.slots ||
      m_ramp_successes < m_policy.ramp_successes ||
      now - m_ramp_since < m_policy.ramp_interval) {
    return;
  }
  ++m_ramp_slots;
  m_ramp_successes = 0;
  m_ramp_since = now;
}

void TargetState::OnFailure(TimePoint now, bool by_probe) {
  uint32_t& failures = by_probe ? m_probe_failures : m_failures;
  ++failures;
  if (m_ejected) {
    if (by_probe) {
      Eject(now, m_ejected_by_probe);
    }
    m_ejected_by_probe = m_ejected_by_probe && by_probe;
    return;
  }
  if (failures < m_policy.ejecting_failures) {
    return;
  }
  // A target that served a request recently is not ejected because of its
  // health endpoint alone.
  const Duration recent_success =
      m_policy.ejecting_failures * m_policy.probe_interval;
  if (by_probe && now - m_last_success < recent_success) {
    return;
  }
  Eject(now, by_probe);
}

void TargetState::Eject(TimePoint now, bool by_probe) {
  m_ejected = true;
  m_ejected_by_probe = by_probe;
  m_next_probe = now + m_reprobe;
  m_reprobe = std::min(2 * m_reprobe, m_policy.max_reprobe);
}

void TargetState::RestartSlowStart(TimePoint now) {
  m_ejected = false;
  m_ejected_by_probe = false;
  m_failures = 0;
  m_probe_failures = 0;
  m_ramp_slots = m_policy.cold_slots;
  m_ramp_successes = 0;
  m_ramp_since = now;
}

}  // namespace applestand
