#include "lib/targets/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace applestand {

FairQueue::EnqueueResult FairQueue::Enqueue(Waiter waiter) {
  assert(waiter.weight > 0 && "the weight of a waiter must be positive");
  assert(m_index.count(waiter.id) == 0 && "a waiter may be queued only once");
  if (SizeOf(waiter.account) >= m_limits.per_account) {
    return {Admission::kAccountFull, std::nullopt};
  }
  EnqueueResult result;
  if (m_index.size() >= m_limits.total) {
    result.displaced = DisplaceFor(waiter);
    if (!result.displaced) {
      return {Admission::kFull, std::nullopt};
    }
  }
  Flow& flow = m_flows[waiter.account];
  const bool was_idle = flow.waiters.empty();
  if (!was_idle) {
    m_active_weight += waiter.weight - flow.weight;
  }
  flow.weight = waiter.weight;
  if (was_idle) {
    flow.start =
        std::max(flow.start, m_virtual_time - m_limits.credit / waiter.weight);
    Activate(flow, waiter.account);
  }
  m_index[waiter.id] = {waiter.account, waiter.deadline};
  m_deadlines.emplace(waiter.deadline, waiter.id);
  flow.waiters.push_back(std::move(waiter));
  return result;
}

const Waiter* FairQueue::Peek() const {
  if (m_active.empty()) {
    return nullptr;
  }
  return &m_flows.at(m_active.begin()->second).waiters.front();
}

Waiter FairQueue::Dequeue(TimePoint now) {
  assert(!m_active.empty() && "Dequeue requires a waiter");
  const ClientAccountId account = m_active.begin()->second;
  Flow& flow = m_flows.at(account);
  Waiter waiter = std::move(flow.waiters.front());
  assert(waiter.deadline > now && "expired waiters must be removed first");
  static_cast<void>(now);
  Deactivate(flow, account);
  flow.waiters.pop_front();
  // A start on credit has a start tag in the past; virtual time never
  // decreases.
  m_virtual_time = std::max(m_virtual_time, flow.start);
  flow.start += 1 / flow.weight;
  if (!flow.waiters.empty()) {
    Activate(flow, account);
  }
  m_index.erase(waiter.id);
  m_deadlines.erase({waiter.deadline, waiter.id});
  OnRemoved();
  return waiter;
}

std::vector<DispatchId> FairQueue::Expire(TimePoint now) {
  std::vector<DispatchId> expired;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const DispatchId id = m_deadlines.begin()->second;
    RemoveWaiter(id);
    expired.push_back(id);
  }
  return expired;
}

bool FairQueue::Cancel(DispatchId id) {
  if (m_index.count(id) == 0) {
    return false;
  }
  RemoveWaiter(id);
  return true;
}

double FairQueue::EstimateStartsAhead(const ClientAccountId& account,
                                      double weight) const {
  const double own = static_cast<double>(SizeOf(account)) + 1;
  const double all = static_cast<double>(m_index.size()) + 1;
  const double others = m_active_weight - (own > 1 ? weight : 0);
  return std::min(all, own * (others + weight) / weight);
}

std::optional<TimePoint> FairQueue::NextDeadline() const {
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->first;
}

size_t FairQueue::SizeOf(const ClientAccountId& account) const {
  const auto flow = m_flows.find(account);
  return flow == m_flows.end() ? 0 : flow->second.waiters.size();
}

void FairQueue::Activate(Flow& flow, const ClientAccountId& account) {
  m_active.emplace(flow.start, account);
  m_active_weight += flow.weight;
}

void FairQueue::Deactivate(const Flow& flow, const ClientAccountId& account) {
  m_active.erase({flow.start, account});
  m_active_weight -= flow.weight;
}

void FairQueue::RemoveWaiter(DispatchId id) {
  const Entry entry = m_index.at(id);
  Flow& flow = m_flows.at(entry.account);
  const auto waiter =
      std::find_if(flow.waiters.begin(), flow.waiters.end(),
                   [id](const Waiter& queued) { return queued.id == id; });
  assert(waiter != flow.waiters.end() && "every indexed waiter must be queued");
  flow.waiters.erase(waiter);
  if (flow.waiters.empty()) {
    Deactivate(flow, entry.account);
  }
  m_index.erase(id);
  m_deadlines.erase({entry.deadline, id});
  OnRemoved();
}

std::optional<DispatchId> FairQueue::DisplaceFor(const Waiter& waiter) {
  const Flow* longest = nullptr;
  double longest_share =
      (static_cast<double>(SizeOf(waiter.account)) + 1) / waiter.weight;
  for (const auto& [start, account] : m_active) {
    const Flow& flow = m_flows.at(account);
    const double share = static_cast<double>(flow.waiters.size()) / flow.weight;
    if (account == waiter.account || share <= longest_share) {
      continue;
    }
    longest = &flow;
    longest_share = share;
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  const DispatchId displaced = longest->waiters.back().id;
  RemoveWaiter(displaced);
  return displaced;
}

void FairQueue::OnRemoved() {
  if (!m_index.empty()) {
    return;
  }
  // With an empty queue no account is owed a start, so the history is
  // discarded. This also bounds the number of flows.
  m_flows.clear();
  m_active_weight = 0;
  m_virtual_time = 0;
}

}  // namespace applestand
