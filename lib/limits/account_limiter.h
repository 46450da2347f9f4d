#ifndef LIB_LIMITS_ACCOUNT_LIMITER_H_
#define LIB_LIMITS_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/config/model.h"
#include "lib/limits/account_bucket.h"
#include "lib/limits/demand.h"
#include "lib/limits/loan_outbox.h"
#include "lib/limits/loan_peers.h"
#include "lib/limits/messages.h"
#include "lib/limits/peer_spare.h"
#include "lib/limits/seat_schedule.h"
#include "lib/seats/messages.h"

namespace applestand {

/// Whether a request is inside its client account's contract.
struct LimitDecision {
  enum class Kind {
    /// A token was spent; the request may run.
    kTaken,
    /// Tokens were asked for. Keep the request, and call TryTake again with
    /// its `waiting_since` when OnLoanReply names the account, and at
    /// `wait_until` at the latest.
    kWaitForLoan,
    /// Not run; tell the caller to come back after `retry_after`.
    kRefused,
  };
  Kind kind = Kind::kRefused;
  TimePoint wait_until;
  Duration retry_after{};
};

/// Admits requests of client accounts on this host, so that over all hosts no
/// account gets more than its rate and burst. Tokens come from the seats that
/// this host owns and from short loans by other hosts.
///
/// The owner (the entry process) calls, on one thread:
///  - ApplyContracts for each new configuration version,
///  - ApplyGrant for each SeatGrant from the control process, and sends the
///    result back to it,
///  - SetPeers when membership changes,
///  - TryTake for each request of a keyed route; waiting requests again as
///    LimitDecision says,
///  - Tick about every 25 ms,
///  - TakeOutbox after Tick and after a TryTake that returned kWaitForLoan, and
///    sends each message to its host,
///  - OnLoanRequest / OnLoanReply for each message from another entry process.
///
/// Messages may be lost, doubled, late or crossed: tokens may be lost by that
/// for the life of a loan, never doubled. `now` must not go back. Only one
/// limiter may use the grants of a host at a time: an entry process is started
/// only after its predecessor has ended. Not thread-safe. No I/O.
class AccountLimiter {
 public:
  struct Options {
    /// Life of a loan, counted by the borrower from before it asked.
    Duration loan_life = std::chrono::seconds(2);
    /// Added to it by the lender; covers clock drift.
    Duration loan_margin = std::chrono::milliseconds(100);
    /// No seat is used this long after the start: loans of an earlier run of
    /// this process have then ended. Must be at least loan_life + loan_margin.
    Duration settle = std::chrono::milliseconds(2200);
    /// Longest wait of a request for a loan.
    Duration max_wait = std::chrono::milliseconds(250);
    /// Interval at which a waiting request looks for tokens again.
    Duration ask_again = std::chrono::milliseconds(20);
    /// A loan request without a reply for this long is given up.
    Duration request_timeout = std::chrono::milliseconds(300);
    /// Borrowed tokens that are not spent within this time are returned.
    Duration return_after = std::chrono::milliseconds(400);
    /// Demand is covered this far ahead.
    Duration horizon = std::chrono::milliseconds(200);
  };

  /// Precondition: `incarnation` was never used by this host id before.
  AccountLimiter(HostId self,
                 Incarnation incarnation,
                 TimePoint start,
                 Options options);

  /// Puts contracts in force. New accounts start without tokens; tokens above
  /// a lowered burst are dropped. Older versions are ignored.
  void ApplyContracts(TimePoint now, const ConfigState& config);

  /// Puts a grant in force, unless it is older than the present one. The
  /// result names the grant that is in force now; send it to the control
  /// process.
  SeatGrantApplied ApplyGrant(TimePoint now, const SeatGrant& grant);

  /// The grant in force, for SeatManager::Adopt of a new control process.
  const SeatGrant& grant() const { return m_grant; }

  /// Hosts that may be asked for loans, without this one.
  void SetPeers(const std::vector<HostId>& peers);

  /// Decides on one request. `waiting_since` is the time of the first call for
  /// this request if that returned kWaitForLoan.
  [[nodiscard]] LimitDecision TryTake(
      const ClientAccountId& account,
      TimePoint now,
      std::optional<TimePoint> waiting_since = std::nullopt);

  /// Borrows ahead of demand and returns what is not used.
  void Tick(TimePoint now);

  /// Messages to send; the next call returns only newer ones.
  [[nodiscard]] std::vector<LoanMessage> TakeOutbox();

  /// Lends what this host does not need. The debit is made before the reply
  /// exists. Nothing if the message needs no reply.
  [[nodiscard]] std::optional<LoanReply> OnLoanRequest(
      TimePoint now,
      const LoanRequest& request);

  /// Takes a loan in. Returns its account if requests that wait for it should
  /// be tried again. Late, doubled and unknown replies are ignored.
  [[nodiscard]] std::optional<ClientAccountId> OnLoanReply(
      TimePoint now,
      const LoanReply& reply);

  /// Tokens that this host could spend on `account` now.
  double Available(const ClientAccountId& account, TimePoint now);

 private:
  struct Account {
    Account(const Contract& contract, uint32_t total_seats, TimePoint now)
        : bucket(contract, total_seats, now) {}

    AccountBucket bucket;
    DemandEstimate demand;
    // By index of the peer; empty until this host borrows.
    std::vector<PeerSpare> peers;
    // Times at which waiting requests give up, in order.
    std::vector<TimePoint> waiting;
    bool active = false;
    // Kept for a while, so that what is lent out still counts if the account
    // comes back.
    std::optional<TimePoint> removed_at;
  };
  struct Pending {
    ClientAccountId account;
    size_t peer = 0;
    double amount = 0;
    TimePoint sent_at;
  };

  /// The account, also if it was removed lately.
  Account* Find(const ClientAccountId& id);
  void RemoveAccounts(TimePoint now, const ConfigState& config);
  LimitDecision WaitOrRefuse(const ClientAccountId& id,
                             Account& account,
                             TimePoint now,
                             std::optional<TimePoint> waiting_since);
  /// Recent demand, as far as the contract covers it, in requests per second.
  double CoveredDemand(const Account& account, TimePoint now) const;
  /// Own tokens that are kept for requests of this host.
  double Reserve(const Account& account, TimePoint now) const;
  /// Own tokens that may be lent, and how fast these grow (1/s).
  double Spare(const Account& account, TimePoint now) const;
  double SpareRate(const Account& account, TimePoint now) const;
  /// Tokens that outstanding loan requests will probably bring.
  static double InFlight(const Account& account);
  /// Tokens that this host could probably gather until `deadline`.
  double Reachable(const Account& account,
                   TimePoint now,
                   TimePoint deadline) const;
  void ForgetOldRequests(TimePoint now);
  std::vector<size_t> PeersToAsk(const Account& account,
                                 bool nearest_first,
                                 TimePoint now) const;
  double EstimateSpare(const Account& account,
                       size_t peer,
                       TimePoint now) const;
  /// Asks peers for `amount` tokens more, the nearest or the fullest first.
  void Ask(const ClientAccountId& id,
           Account& account,
           double amount,
           bool nearest_first,
           TimePoint now);
  void SendRequest(const ClientAccountId& id,
                   Account& account,
                   size_t peer,
                   double amount,
                   TimePoint now);
  void BorrowAhead(const ClientAccountId& id, Account& account, TimePoint now);
  void SettleLoans(const ClientAccountId& id, Account& account, TimePoint now);

  const HostId m_self;
  const Incarnation m_incarnation;
  const TimePoint m_not_before;
  const Options m_options;
  SeatGrant m_grant;
  SeatSchedule m_schedule;
  ConfigVersion m_config_version;
  uint32_t m_total_seats = 1;
  std::unordered_map<ClientAccountId, Account> m_accounts;
  // Accounts with recent demand or loans, which Tick looks at.
  std::vector<ClientAccountId> m_active;
  LoanPeers m_peers;
  // By request id, so also in the order of sending.
  std::map<uint64_t, Pending> m_pending;
  uint64_t m_last_request = 0;
  uint64_t m_last_timed_out = 0;
  uint64_t m_last_loan = 0;
  LoanOutbox m_outbox;
};

}  // namespace applestand

#endif  // LIB_LIMITS_ACCOUNT_LIMITER_H_
