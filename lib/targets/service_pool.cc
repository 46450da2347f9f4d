#include "lib/targets/service_pool.h"

#include <algorithm>
#include <tuple>

namespace applestand {

namespace {

/// Order of preference among free targets: targets not to be avoided first,
/// then the smaller fraction of slots in use, then the lower reported load.
struct Preference {
  bool avoided = false;
  double used_fraction = 0;
  double load = 0;

  bool operator<(const Preference& other) const {
    return std::tie(avoided, used_fraction, load) <
           std::tie(other.avoided, other.used_fraction, other.load);
  }
};

bool Contains(const std::vector<TargetId>& targets, const TargetId& target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

}  // namespace

std::optional<Refused> ServicePool::CheckAdmission(const Submission& submission,
                                                   TimePoint now) const {
  if (submission.deadline <= now) {
    return Refused{submission.id, PoolRefusal::kDeadline, Duration::zero()};
  }
  if (m_queue.empty() && HasUsableTarget(now)) {
    return std::nullopt;
  }
  if (Allowed(now) == 0) {
    return Refused{submission.id, PoolRefusal::kNoUsableTarget,
                   TimeUntilUsable(now)};
  }
  const Duration wait = EstimateWait(
      m_queue.EstimateStartsAhead(submission.account, submission.weight), now);
  if (now + wait + ServiceTime() >= submission.deadline) {
    return Refused{submission.id, PoolRefusal::kDeadline, wait};
  }
  return std::nullopt;
}

TargetState* ServicePool::Pick(const std::vector<TargetId>& avoid,
                               TimePoint now) {
  TargetState* best = nullptr;
  Preference best_preference;
  const size_t count = m_targets.size();
  for (size_t i = 0; i < count; ++i) {
    // The rotating start gives equally preferred targets equal use.
    TargetState& state = *m_targets[(m_cursor + i) % count];
    const uint32_t allowed = state.Allowed(now);
    if (state.in_flight() >= allowed) {
      continue;
    }
    const Preference preference{
        Contains(avoid, state.target().id),
        static_cast<double>(state.in_flight()) / static_cast<double>(allowed),
        state.reported_load()};
    if (best == nullptr || preference < best_preference) {
      best = &state;
      best_preference = preference;
    }
  }
  if (best == nullptr) {
    return PickLastResort(now);
  }
  m_cursor = (m_cursor + 1) % count;
  return best;
}

uint32_t ServicePool::Allowed(TimePoint now) const {
  uint32_t allowed = 0;
  for (const TargetState* state : m_targets) {
    allowed += state->Allowed(now);
  }
  return allowed;
}

Duration ServicePool::EstimateWait(double starts, TimePoint now) const {
  const double slots = std::max<uint32_t>(Allowed(now), 1);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(starts * ServiceSeconds() / slots));
}

Duration ServicePool::TimeUntilUsable(TimePoint now) const {
  TimePoint earliest = now + m_policy.target.max_reprobe;
  for (const TargetState* state : m_targets) {
    earliest = std::min(earliest, state->UsableAt(now));
  }
  return earliest - now;
}

void ServicePool::RecordServiceTime(Duration service_time) {
  const double measured = ToSeconds(service_time);
  if (m_service_seconds == 0) {
    m_service_seconds = measured;
    return;
  }
  m_service_seconds +=
      m_policy.service_time_gain * (measured - m_service_seconds);
}

PoolLoad ServicePool::Load(TimePoint now) const {
  PoolLoad load;
  load.allowed = Allowed(now);
  for (const TargetState* state : m_targets) {
    load.in_flight += state->in_flight();
  }
  load.queued = static_cast<uint32_t>(m_queue.size());
  load.service_time = ServiceTime();
  if (load.Spare() == 0) {
    load.wait = EstimateWait(load.queued + 1.0, now);
  }
  return load;
}

TargetState* ServicePool::PickLastResort(TimePoint now) const {
  if (Allowed(now) > 0) {
    return nullptr;
  }
  const auto found = std::find_if(
      m_targets.begin(), m_targets.end(),
      [now](TargetState* state) { return state->UsableAsLastResort(now); });
  return found == m_targets.end() ? nullptr : *found;
}

bool ServicePool::HasUsableTarget(TimePoint now) const {
  const bool usable =
      std::any_of(m_targets.begin(), m_targets.end(),
                  [now](TargetState* state) { return state->Usable(now); });
  return usable || PickLastResort(now) != nullptr;
}

Duration ServicePool::ServiceTime() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ServiceSeconds()));
}

double ServicePool::ServiceSeconds() const {
  return m_service_seconds > 0 ? m_service_seconds
                               : ToSeconds(m_policy.assumed_service_time);
}

}  // namespace applestand
