#ifndef LIB_LIMITS_ACCOUNT_BUCKET_H_
#define LIB_LIMITS_ACCOUNT_BUCKET_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"
#include "lib/limits/seat_schedule.h"

namespace applestand {

/// This host's part of one client account's token bucket: tokens of its own
/// seats, less what is lent out, and tokens borrowed from other hosts.
///
/// Tokens of the seats and live loans to others never exceed the burst of the
/// seats owned; tokens grow only by the rate of the seats owned.
///
/// Preconditions of all methods: `now` does not go back; Advance(now) was
/// called before a method without `now` is used. Not thread-safe.
class AccountBucket {
 public:
  /// Starts without tokens.
  AccountBucket(const Contract& contract, uint32_t total_seats, TimePoint now);

  /// Refills up to `now` and drops loans whose life is over.
  void Advance(TimePoint now, const SeatSchedule& seats);

  /// Changes the contract from now on; call Advance before and after.
  void SetContract(const Contract& contract, uint32_t total_seats);

  /// Spends one token, borrowed ones first.
  [[nodiscard]] bool TryTake();

  /// Own and borrowed tokens.
  double Available() const { return m_tokens + m_borrowed_sum; }
  double own_tokens() const { return m_tokens; }
  double borrowed() const { return m_borrowed_sum; }
  /// Refill of the seats owned, tokens per second.
  double rate() const { return m_rate; }
  /// Capacity of the seats owned, loans included.
  double capacity() const { return m_capacity; }
  const Contract& contract() const { return m_contract; }

  /// Takes `amount` own tokens out for another host. The capacity stays
  /// reduced by it until `until`, or until the loan is settled.
  /// Precondition: 0 < amount <= own_tokens().
  void Lend(uint64_t loan_id, double amount, TimePoint until);

  /// Ends a loan to another host early; unknown and ended loans are ignored.
  void Settle(uint64_t loan_id, double returned);

  /// A loan by another host; it may be spent before `until`.
  struct Borrowed {
    size_t peer = 0;
    Incarnation lender_incarnation;
    uint64_t loan_id = 0;
    double left = 0;
    TimePoint borrowed_at;
    TimePoint until;
  };

  /// Adds a loan by another host.
  void Borrow(const Borrowed& loan);

  /// Removes and returns the borrowed loans that are spent or were borrowed
  /// before `idle_since`, so that the lender can be told.
  std::vector<Borrowed> TakeSettled(TimePoint idle_since);

 private:
  struct Lent {
    uint64_t loan_id = 0;
    double amount = 0;
    TimePoint until;
  };
  void RefillUntil(TimePoint end, const SeatSchedule& seats);
  void SetSeats(size_t seats);
  void Clip();
  void DropExpiredLoans(TimePoint now);
  void EraseLent(std::vector<Lent>::iterator loan);

  Contract m_contract;
  uint32_t m_total_seats;
  TimePoint m_advanced_to;
  double m_tokens = 0;
  double m_rate = 0;
  double m_capacity = 0;
  double m_lent_sum = 0;
  double m_borrowed_sum = 0;
  // In order of `until`.
  std::vector<Lent> m_lent;
  std::vector<Borrowed> m_borrowed;
};

}  // namespace applestand

#endif  // LIB_LIMITS_ACCOUNT_BUCKET_H_
