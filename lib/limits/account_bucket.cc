#include "lib/limits/account_bucket.h"

#include <algorithm>
#include <cassert>

namespace applestand {

AccountBucket::AccountBucket(const Contract& contract,
                             uint32_t total_seats,
                             TimePoint now)
    : m_contract(contract), m_total_seats(total_seats), m_advanced_to(now) {
  assert(total_seats > 0 && "contracts are split into at least one seat");
}

void AccountBucket::SetContract(const Contract& contract,
                                uint32_t total_seats) {
  assert(total_seats > 0 && "contracts are split into at least one seat");
  m_contract = contract;
  m_total_seats = total_seats;
}

void AccountBucket::Advance(TimePoint now, const SeatSchedule& seats) {
  while (!m_lent.empty() && m_lent.front().until <= now) {
    RefillUntil(m_lent.front().until, seats);
    EraseLent(m_lent.begin());
  }
  RefillUntil(now, seats);
  SetSeats(seats.At(now).seats);
  DropExpiredLoans(now);
}

void AccountBucket::RefillUntil(TimePoint end, const SeatSchedule& seats) {
  while (m_advanced_to < end) {
    const SeatSchedule::Span& span = seats.At(m_advanced_to);
    const TimePoint stop = std::min(end, span.end);
    SetSeats(span.seats);
    m_tokens += m_rate * ToSeconds(stop - m_advanced_to);
    Clip();
    m_advanced_to = stop;
  }
}

void AccountBucket::SetSeats(size_t seats) {
  const double share = static_cast<double>(seats) / m_total_seats;
  m_rate = m_contract.requests_per_second * share;
  m_capacity = m_contract.burst * share;
  Clip();
}

void AccountBucket::Clip() {
  m_tokens = std::min(m_tokens, std::max(0.0, m_capacity - m_lent_sum));
}

void AccountBucket::DropExpiredLoans(TimePoint now) {
  // Sorted by end, so the expired ones come first.
  size_t expired = 0;
  while (expired < m_borrowed.size() && m_borrowed[expired].until <= now) {
    m_borrowed_sum -= m_borrowed[expired].left;
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
    const double spent = std::min(loan.left, needed);
    loan.left -= spent;
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
  EraseLent(loan);
  Clip();
}

void AccountBucket::EraseLent(std::vector<Lent>::iterator loan) {
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
  m_borrowed_sum += loan.left;
}

std::vector<AccountBucket::Borrowed> AccountBucket::TakeSettled(
    TimePoint idle_since) {
  const auto settled = std::stable_partition(
      m_borrowed.begin(), m_borrowed.end(), [&](const Borrowed& loan) {
        return loan.left > 0 && loan.borrowed_at > idle_since;
      });
  std::vector<Borrowed> result(settled, m_borrowed.end());
  m_borrowed.erase(settled, m_borrowed.end());
  for (const Borrowed& loan : result) {
    m_borrowed_sum -= loan.left;
  }
  if (m_borrowed.empty()) {
    m_borrowed_sum = 0;
  }
  return result;
}

}  // namespace applestand
