#include "lib/steering/limit_coordinator.h"

#include <algorithm>

namespace applestand {

bool LimitCoordinator::OnDelegation(const HostId& host,
                                    const DelegationStamp& stamp,
                                    TimePoint now) {
  if (m_closed || stamp.coordinator != m_self ||
      stamp.incarnation != m_incarnation) {
    return false;
  }
  const TimePoint until =
      TimePoint(Duration(stamp.time_us)) + DelegationRules::kDelegationLease;
  if (until <= now) {
    return false;
  }
  const auto it = m_delegations.try_emplace(host, until).first;
  it->second = std::max(it->second, until);
  // The pool must refill at the larger share from now on, even if no token is
  // requested for a while.
  UpdateShare(now);
  return true;
}

void LimitCoordinator::AddStartTokens(TimePoint now) {
  UpdateShare(now);
  if (m_hosts > 0 && !m_closed) {
    m_pool.AddStartTokens(DelegationRules::kPooledFraction / m_hosts);
  }
}

size_t LimitCoordinator::DelegatedHosts(TimePoint now) {
  for (auto it = m_delegations.begin(); it != m_delegations.end();) {
    it = it->second <= now ? m_delegations.erase(it) : std::next(it);
  }
  return m_delegations.size() + 1;
}

void LimitCoordinator::UpdateShare(TimePoint now) {
  const double share =
      m_hosts == 0 || m_closed
          ? 0
          : DelegationRules::kPooledFraction *
                std::min(1.0,
                         static_cast<double>(DelegatedHosts(now)) / m_hosts);
  m_pool.SetShare(share, now);
}

uint32_t LimitCoordinator::Take(const ServingAccount& account,
                                uint32_t want,
                                TimePoint now) {
  UpdateShare(now);
  return m_pool.Take(account, want, now);
}

Duration LimitCoordinator::WaitFor(const ServingAccount& account,
                                   TimePoint now) {
  UpdateShare(now);
  return m_pool.WaitFor(account, now);
}

DelegationStamp LimitCoordinator::IssueStamp(TimePoint now) const {
  return {m_self, m_incarnation, now.time_since_epoch().count()};
}

void LimitCoordinator::Close(TimePoint now) {
  m_closed = true;
  m_delegations.clear();
  UpdateShare(now);
}

void ShareDelegation::OnStamp(const DelegationStamp& stamp, TimePoint now) {
  m_stamp = stamp;
  m_stamp_received_at = now;
}

void ShareDelegation::OnReleased(const HostId& coordinator) {
  if (m_coordinator == coordinator) {
    m_delegated_until = TimePoint::min();
  }
  if (m_stamp && m_stamp->coordinator == coordinator) {
    m_stamp.reset();
  }
}

std::optional<DelegationStamp> ShareDelegation::Delegate(
    const HostId& coordinator,
    TimePoint now) {
  if (!m_stamp || m_stamp->coordinator != coordinator ||
      (IsDelegated(now) && m_coordinator != coordinator)) {
    return std::nullopt;
  }
  const TimePoint until =
      m_stamp_received_at + DelegationRules::kDelegationLease;
  if (until <= now) {
    return std::nullopt;
  }
  m_coordinator = coordinator;
  m_delegated_until = std::max(m_delegated_until, until);
  return m_stamp;
}

}  // namespace applestand
