#include "lib/targets/target_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace applestand {

namespace {

constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1e6;

Waiter MakeWaiter(const Submission& submission) {
  // With this order of arguments, a NaN weight also becomes kMinWeight.
  const double weight =
      std::min(std::max(kMinWeight, submission.weight), kMaxWeight);
  return {submission.id, submission.account, weight, submission.deadline,
          submission.avoid};
}

void ExpireWaiters(ServicePool& service,
                   TimePoint now,
                   std::vector<PoolDecision>& out) {
  for (const DispatchId id : service.queue().Expire(now)) {
    const double backlog = static_cast<double>(service.queue().size()) + 1;
    out.emplace_back(Refused{id, PoolRefusal::kDeadline,
                             service.EstimateWait(backlog, now)});
  }
}

/// Precondition: no waiter's deadline has passed.
void RefuseAll(ServicePool& service,
               PoolRefusal reason,
               Duration retry_after,
               TimePoint now,
               std::vector<PoolDecision>& out) {
  while (!service.queue().empty()) {
    const Waiter waiter = service.queue().Dequeue(now);
    out.emplace_back(Refused{waiter.id, reason, retry_after});
  }
}

}  // namespace

std::vector<PoolDecision> TargetPool::SetTargets(
    const std::vector<Target>& targets,
    TimePoint now) {
  std::vector<PoolDecision> out;
  std::map<TargetId, bool> was_home;
  for (auto& [id, member] : m_targets) {
    was_home[id] = std::exchange(member.is_home, false);
  }
  for (auto& [id, service] : m_services) {
    service.ClearTargets();
  }
  for (const Target& target : targets) {
    const auto before = was_home.find(target.id);
    AddTarget(target, now);
    if (before != was_home.end() && !before->second) {
      // Another host was the home host in between and may still use slots.
      m_targets.at(target.id).state.RestartSlowStart(now);
    }
  }
  RemoveFormerTargets();
  RemoveEmptyServices(now, out);
  for (const auto& [id, service] : m_services) {
    Dispatch(id, now, out);
  }
  return out;
}

std::vector<PoolDecision> TargetPool::Submit(const Submission& submission,
                                             TimePoint now) {
  const auto found = m_services.find(submission.service);
  if (found == m_services.end()) {
    return {
        Refused{submission.id, PoolRefusal::kNotHomeHost, Duration::zero()}};
  }
  ServicePool& service = found->second;
  std::vector<PoolDecision> out;
  ExpireWaiters(service, now, out);
  if (const auto refusal = service.CheckAdmission(submission, now)) {
    out.emplace_back(*refusal);
    return out;
  }
  const auto [admission, displaced] =
      service.queue().Enqueue(MakeWaiter(submission));
  const double backlog = static_cast<double>(service.queue().size());
  const Duration retry_after = service.EstimateWait(backlog, now);
  if (admission != FairQueue::Admission::kQueued) {
    out.emplace_back(
        Refused{submission.id, PoolRefusal::kQueueFull, retry_after});
    return out;
  }
  if (displaced) {
    out.emplace_back(Refused{*displaced, PoolRefusal::kQueueFull, retry_after});
  }
  Dispatch(submission.service, now, out);
  if (service.queue().Contains(submission.id)) {
    out.emplace_back(Queued{submission.id});
  }
  return out;
}

std::vector<PoolDecision> TargetPool::OnFinished(
    DispatchId id,
    TargetOutcome outcome,
    std::optional<Duration> retry_after,
    TimePoint now) {
  std::vector<PoolDecision> out;
  const auto found = m_running.find(id);
  if (found == m_running.end()) {
    return out;
  }
  const Running running = std::move(found->second);
  m_running.erase(found);
  Member& member = m_targets.at(running.target);
  member.state.OnFinished(outcome, retry_after, now);
  if (!member.is_home && member.state.in_flight() == 0) {
    m_targets.erase(running.target);
  }
  const auto service = m_services.find(running.service);
  if (service == m_services.end()) {
    return out;
  }
  if (outcome == TargetOutcome::kServed) {
    service->second.RecordServiceTime(now - running.started_at);
  }
  Dispatch(running.service, now, out);
  return out;
}

bool TargetPool::Cancel(DispatchId id) {
  return std::any_of(m_services.begin(), m_services.end(), [id](auto& service) {
    return service.second.queue().Cancel(id);
  });
}

std::vector<PoolDecision> TargetPool::Tick(TimePoint now) {
  std::vector<PoolDecision> out;
  for (const auto& [id, service] : m_services) {
    Dispatch(id, now, out);
  }
  return out;
}

std::optional<TimePoint> TargetPool::NextDeadline() const {
  std::optional<TimePoint> wake;
  for (const auto& [id, service] : m_services) {
    if (const auto deadline = service.queue().NextDeadline()) {
      wake = std::min(wake.value_or(*deadline), *deadline);
    }
  }
  return wake;
}

std::vector<Target> TargetPool::DueProbes(TimePoint now) {
  std::vector<Target> due;
  for (auto& [id, member] : m_targets) {
    if (member.is_home && member.state.StartProbeIfDue(now)) {
      due.push_back(member.state.target());
    }
  }
  return due;
}

std::vector<PoolDecision> TargetPool::OnProbe(const ProbeResult& result,
                                              TimePoint now) {
  std::vector<PoolDecision> out;
  const auto found = m_targets.find(result.target);
  if (found == m_targets.end()) {
    return out;
  }
  const Member& member = found->second;
  found->second.state.OnProbe(result, now);
  if (member.is_home) {
    Dispatch(member.state.target().service, now, out);
  }
  return out;
}

PoolLoad TargetPool::LoadOf(const ServiceId& service, TimePoint now) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? PoolLoad() : found->second.Load(now);
}

std::vector<ServiceId> TargetPool::Services() const {
  std::vector<ServiceId> services;
  services.reserve(m_services.size());
  for (const auto& [id, service] : m_services) {
    services.push_back(id);
  }
  return services;
}

uint32_t TargetPool::InFlightAt(const TargetId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? 0 : found->second.state.in_flight();
}

void TargetPool::AddTarget(const Target& target, TimePoint now) {
  auto found = m_targets.find(target.id);
  if (found == m_targets.end()) {
    Member member{TargetState(target, m_policy.target, now), true};
    found = m_targets.emplace(target.id, std::move(member)).first;
  }
  Member& member = found->second;
  member.is_home = true;
  member.state.Configure(target, now);
  m_services.try_emplace(target.service, m_policy)
      .first->second.AddTarget(member.state);
}

Start TargetPool::StartAt(TargetState& state,
                          const ServiceId& service,
                          DispatchId id,
                          TimePoint now) {
  state.OnStart();
  const Target& target = state.target();
  const bool is_new =
      m_running.emplace(id, Running{target.id, service, now}).second;
  assert(is_new && "a dispatch id must be used only once");
  static_cast<void>(is_new);
  return {id, target.id, target.address};
}

void TargetPool::Dispatch(const ServiceId& id,
                          TimePoint now,
                          std::vector<PoolDecision>& out) {
  ServicePool& service = m_services.at(id);
  ExpireWaiters(service, now, out);
  while (const Waiter* waiter = service.queue().Peek()) {
    TargetState* state = service.Pick(waiter->avoid, now);
    if (state == nullptr) {
      break;
    }
    const Waiter next = service.queue().Dequeue(now);
    out.emplace_back(StartAt(*state, id, next.id, now));
  }
  if (!service.queue().empty() && service.Allowed(now) == 0) {
    RefuseAll(service, PoolRefusal::kNoUsableTarget,
              service.TimeUntilUsable(now), now, out);
  }
}

void TargetPool::RemoveFormerTargets() {
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    const bool removable =
        !it->second.is_home && it->second.state.in_flight() == 0;
    it = removable ? m_targets.erase(it) : std::next(it);
  }
}

void TargetPool::RemoveEmptyServices(TimePoint now,
                                     std::vector<PoolDecision>& out) {
  for (auto it = m_services.begin(); it != m_services.end();) {
    if (it->second.HasTargets()) {
      ++it;
      continue;
    }
    ExpireWaiters(it->second, now, out);
    RefuseAll(it->second, PoolRefusal::kNotHomeHost, Duration::zero(), now,
              out);
    it = m_services.erase(it);
  }
}

}  // namespace applestand
