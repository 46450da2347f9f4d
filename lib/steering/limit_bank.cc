#include "lib/steering/limit_bank.h"

#include <algorithm>

namespace applestand {

void LimitBank::OnPledge(const HostId& host,
                         const BankStamp& stamp,
                         TimePoint now) {
  if (m_closed || stamp.bank != m_self || stamp.incarnation != m_run) {
    return;
  }
  const TimePoint until =
      TimePoint(Duration(stamp.time_us)) + BankRules::kPledge;
  if (until <= now) {
    return;
  }
  const auto it = m_pledges.try_emplace(host, until).first;
  it->second = std::max(it->second, until);
  // The pool fills by the new share from now on, asked or not.
  UpdatePart(now);
}

size_t LimitBank::Pledged(TimePoint now) {
  for (auto it = m_pledges.begin(); it != m_pledges.end();) {
    it = it->second <= now ? m_pledges.erase(it) : std::next(it);
  }
  return m_pledges.size() + 1;
}

void LimitBank::UpdatePart(TimePoint now) {
  const double part =
      m_hosts == 0 || m_closed
          ? 0
          : BankRules::kPooledPart *
                std::min(1.0, static_cast<double>(Pledged(now)) / m_hosts);
  m_pool.SetPart(part, now);
}

uint32_t LimitBank::Take(const ServingAccount& account,
                         uint32_t want,
                         TimePoint now) {
  UpdatePart(now);
  return m_pool.Take(account, want, now);
}

Duration LimitBank::WaitFor(const ServingAccount& account, TimePoint now) {
  UpdatePart(now);
  return m_pool.WaitFor(account, now);
}

BankStamp LimitBank::Stamp(TimePoint now) const {
  return {m_self, m_run, now.time_since_epoch().count()};
}

void LimitBank::Close(TimePoint now) {
  m_closed = true;
  m_pledges.clear();
  UpdatePart(now);
}

void LimitPledge::OnStamp(const BankStamp& stamp, TimePoint now) {
  m_stamp = stamp;
  m_stamp_came = now;
}

void LimitPledge::OnReleased(const HostId& bank) {
  if (m_bank == bank) {
    m_pledged_until = TimePoint::min();
  }
  if (m_stamp && m_stamp->bank == bank) {
    m_stamp.reset();
  }
}

std::optional<BankStamp> LimitPledge::Pledge(const HostId& bank,
                                             TimePoint now) {
  if (!m_stamp || m_stamp->bank != bank || (Pledged(now) && m_bank != bank)) {
    return std::nullopt;
  }
  const TimePoint until = m_stamp_came + BankRules::kPledge;
  if (until <= now) {
    return std::nullopt;
  }
  m_bank = bank;
  m_pledged_until = std::max(m_pledged_until, until);
  return m_stamp;
}

}  // namespace applestand
