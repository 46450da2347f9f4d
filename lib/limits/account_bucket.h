#ifndef LIB_LIMITS_ACCOUNT_BUCKET_H_
#define LIB_LIMITS_ACCOUNT_BUCKET_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"
#include "lib/limits/share_schedule.h"

namespace applestand {

/// This host's part of one client account's token bucket. It holds the tokens
/// of the contract shares (equal parts of the contract) that this host owns,
/// less what is lent to other hosts, and the tokens borrowed from other hosts.
///
/// The own tokens and the outstanding loans to other hosts together never
/// exceed the burst of the shares owned. Own tokens are refilled only at the
/// rate of the shares owned.
///
/// Preconditions of all methods: `now` does not decrease; Advance(now) is
/// called before methods without a `now` parameter are used. Not thread-safe.
class AccountBucket {
 public:
  /// Starts without tokens. Precondition: `total_shares`, the number of shares
  /// of the whole contract, is greater than 0.
  AccountBucket(const Contract& contract, uint32_t total_shares, TimePoint now);

  /// Refills up to `now` and removes expired loans.
  void Advance(TimePoint now, const ShareSchedule& shares);

  /// Changes the contract. Call Advance with the same time before and after.
  void SetContract(const Contract& contract, uint32_t total_shares);

  /// Spends one token, borrowed ones first. Returns false if less than one
  /// token is available.
  [[nodiscard]] bool TryTake();

  /// Returns the own and the borrowed tokens.
  double Available() const { return m_tokens + m_borrowed_sum; }
  double own_tokens() const { return m_tokens; }
  double borrowed() const { return m_borrowed_sum; }
  /// Refill rate of the shares owned, in tokens per second.
  double rate() const { return m_rate; }
  /// Burst of the shares owned, in tokens, including those lent to other hosts.
  double capacity() const { return m_capacity; }
  const Contract& contract() const { return m_contract; }

  /// Lends `amount` own tokens to another host. They count against the capacity
  /// until `until`, or until the loan is settled.
  /// Preconditions: 0 < amount <= own_tokens(); `until` does not decrease from
  /// call to call.
  void Lend(uint64_t loan_id, double amount, TimePoint until);

  /// Ends a loan to another host early and takes back `returned` tokens, at
  /// most the amount lent. Unknown and ended loans are ignored.
  void Settle(uint64_t loan_id, double returned);

  /// A loan from another host. Its tokens may be spent before `until`.
  struct Borrowed {
    /// Index of the lender in LoanPeers.
    size_t peer = 0;
    Incarnation lender_incarnation;
    uint64_t loan_id = 0;
    double remaining = 0;
    TimePoint borrowed_at;
    TimePoint until;
  };

  /// Adds a loan from another host.
  void Borrow(const Borrowed& loan);

  /// Removes and returns the borrowed loans that are spent, or that were
  /// borrowed at or before `idle_since`, so that they can be settled with the
  /// lender.
  std::vector<Borrowed> TakeFinishedLoans(TimePoint idle_since);

 private:
  struct Lent {
    uint64_t loan_id = 0;
    double amount = 0;
    TimePoint until;
  };
  void RefillUntil(TimePoint end, const ShareSchedule& shares);
  void SetOwnedShares(size_t shares);
  void ClampToCapacity();
  void DropExpiredLoans(TimePoint now);
  void EraseLentLoan(std::vector<Lent>::iterator loan);

  Contract m_contract;
  uint32_t m_total_shares;
  TimePoint m_advanced_to;
  double m_tokens = 0;
  double m_rate = 0;
  double m_capacity = 0;
  double m_lent_sum = 0;
  double m_borrowed_sum = 0;
  // Both sorted by `until`.
  std::vector<Lent> m_lent;
  std::vector<Borrowed> m_borrowed;
};

}  // namespace applestand

#endif  // LIB_LIMITS_ACCOUNT_BUCKET_H_
