#include "lib/limits/account_bucket.h"

#include <algorithm>
#include <cassert>

namespace applestand {

AccountBucket::AccountBucket(const Contract& contract,
                             uint32_t total_shares,
                             TimePoint now)
    : m_contract(contract), m_total_shares(total_shares), m_advanced_to(now) {
  assert(total_shares > 0 && "contracts are split into at least one share");
}

void AccountBucket::SetContract(const Contract& contract,
                                uint32_t total_shares) {
  assert(total_shares > 0 && "contracts are split into at least one share");
  m_contract = contract;
  m_total_shares = total_shares;
}

void AccountBucket::Advance(TimePoint now, const ShareSchedule& shares) {
  while (!m_lent.empty() && m_lent.front().until <= now) {
    RefillUntil(m_lent.front().until, shares);
    EraseLentLoan(m_lent.begin());
  }
  RefillUntil(now, shares);
  SetOwnedShares(shares.At(now).shares);
  DropExpiredLoans(now);
}

void AccountBucket::RefillUntil(TimePoint end, const ShareSchedule& shares) {
  while (m_advanced_to < end) {
    const ShareSchedule::Span& span = shares.At(m_advanced_to);
    const TimePoint stop = std::min(end, span.end);
    SetOwnedShares(span.shares);
    m_tokens += m_rate * ToSeconds(stop - m_advanced_to);
    ClampToCapacity();
    m_advanced_to = stop;
  }
}

void AccountBucket::SetOwnedShares(size_t shares) {
  const double fraction = static_cast<double>(shares) / m_total_shares;
  m_rate = m_contract.requests_per_second * fraction;
  m_capacity = m_contract.burst * fraction;
  ClampToCapacity();
}

void AccountBucket::ClampToCapacity() {
  m_tokens = std::min(m_tokens, std::max(0.0, m_capacity - m_lent_sum));
}

void AccountBucket::DropExpiredLoans(TimePoint now) {
  // m_borrowed is sorted by expiry time, so the expired loans come first.
  size_t expired = 0;
  while (expired < m_borrowed.size() && m_borrowed[expired].until <= now) {
    m_borrowed_sum -= m_borrowed[expired].remaining;
    ++expired;
  }
  m_borrowed.erase(m_borrowed.begin(),
                   m_borrowed.begin() + static_cast<ptrdiff_t>(expired));
  if (m_borrowed.empty()) {
    m_borrowed_sum = 0;
  }
}

bool AccountBucket::TryTake() {
  if (Available() < 1) {
    return false;
  }
  double needed = 1;
  for (Borrowed& loan : m_borrowed) {
    const double spent = std::min(loan.remaining, needed);
    loan.remaining -= spent;
    m_borrowed_sum -= spent;
    needed -= spent;
  }
  m_tokens = std::max(0.0, m_tokens - needed);
  return true;
}

void AccountBucket::Lend(uint64_t loan_id, double amount, TimePoint until) {
  assert(amount > 0 && amount <= m_tokens && "lends only tokens it has");
  assert((m_lent.empty() || m_lent.back().until <= until) &&
         "loans end in the order they were made");
  m_tokens -= amount;
  m_lent_sum += amount;
  m_lent.push_back({loan_id, amount, until});
}

void AccountBucket::Settle(uint64_t loan_id, double returned) {
  const auto loan =
      std::find_if(m_lent.begin(), m_lent.end(),
                   [&](const Lent& lent) { return lent.loan_id == loan_id; });
  if (loan == m_lent.end()) {
    return;
  }
  m_tokens += std::clamp(returned, 0.0, loan->amount);
  EraseLentLoan(loan);
  ClampToCapacity();
}

void AccountBucket::EraseLentLoan(std::vector<Lent>::iterator loan) {
  m_lent_sum -= loan->amount;
  m_lent.erase(loan);
  if (m_lent.empty()) {
    m_lent_sum = 0;
  }
}

void AccountBucket::Borrow(const Borrowed& loan) {
  const auto after = std::upper_bound(
      m_borrowed.begin(), m_borrowed.end(), loan,
      [](const Borrowed& a, const Borrowed& b) { return a.until < b.until; });
  m_borrowed.insert(after, loan);
  m_borrowed_sum += loan.remaining;
}

std::vector<AccountBucket::Borrowed> AccountBucket::TakeFinishedLoans(
    TimePoint idle_since) {
  const auto settled = std::stable_partition(
      m_borrowed.begin(), m_borrowed.end(), [&](const Borrowed& loan) {
        return loan.remaining > 0 && loan.borrowed_at > idle_since;
      });
  std::vector<Borrowed> result(settled, m_borrowed.end());
  m_borrowed.erase(settled, m_borrowed.end());
  for (const Borrowed& loan : result) {
    m_borrowed_sum -= loan.remaining;
  }
  if (m_borrowed.empty()) {
    m_borrowed_sum = 0;
  }
  return result;
}

}  // namespace applestand
