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
#include "lib/contract_shares/messages.h"
#include "lib/limits/account_bucket.h"
#include "lib/limits/demand_estimate.h"
#include "lib/limits/loan_outbox.h"
#include "lib/limits/loan_peers.h"
#include "lib/limits/messages.h"
#include "lib/limits/peer_spare_estimate.h"
#include "lib/limits/share_schedule.h"

namespace applestand {

/// The decision whether a request conforms to its client account's contract.
struct LimitDecision {
  enum class Kind {
    /// A token was spent. The request may run.
    kAdmitted,
    /// Other hosts may lend tokens. Keep the request, and call TryTake again
    /// with its `waiting_since` when OnLoanReply returns the account, and at
    /// `wait_until` at the latest.
    kWaitForLoan,
    /// The request must not run. Tell the caller to retry after `retry_after`.
    kRefused,
  };
  Kind kind = Kind::kRefused;
  TimePoint wait_until;
  Duration retry_after{};
};

/// Admits requests of client accounts on this host such that no account exceeds
/// the rate and burst of its contract over all hosts. Tokens come from the
/// contract shares (equal parts of every contract) that this host owns and from
/// short loans by other hosts.
///
/// The owner (the entry process) calls, on one thread:
///  - ApplyContracts for each new configuration version,
///  - ApplyGrant for each ShareGrant from the control process, and sends the
///    result back to it,
///  - SetPeers when membership changes,
///  - TryTake for each request of a route that requires an API key, and again
///    for each waiting request as described at LimitDecision,
///  - Tick about every 25 ms,
///  - TakeOutbox after Tick and after a TryTake that returned kWaitForLoan; it
///    sends each message to its host,
///  - OnLoanRequest / OnLoanReply for each message from another entry process.
///
/// Messages may be lost, duplicated, delayed or reordered. This may make tokens
/// unavailable for the duration of a loan, but never duplicates them. `now`
/// must not decrease. Only one limiter may use the grants of a host at a time,
/// so an entry process may start only after its predecessor has ended. Not
/// thread-safe. Performs no I/O.
class AccountLimiter {
 public:
  struct Options {
    /// Duration of a loan. The borrower counts it from before it sent the
    /// request.
    Duration loan_duration = std::chrono::seconds(2);
    /// Added to `loan_duration` by the lender. Covers clock drift.
    Duration loan_margin = std::chrono::milliseconds(100);
    /// Time after the start before this host's shares are used, so that loans
    /// made by an earlier incarnation of this process have ended. Must be at
    /// least loan_duration + loan_margin.
    Duration activation_delay = std::chrono::milliseconds(2200);
    /// Longest time that a request waits for a loan.
    Duration max_wait = std::chrono::milliseconds(250);
    /// Interval at which a waiting request tries again.
    Duration retry_interval = std::chrono::milliseconds(20);
    /// Time after which an unanswered loan request counts as failed.
    Duration request_timeout = std::chrono::milliseconds(300);
    /// Time after which borrowed tokens that were not spent are returned.
    Duration unused_return_delay = std::chrono::milliseconds(400);
    /// Time over which expected demand is covered in advance.
    Duration horizon = std::chrono::milliseconds(200);
  };

  /// Precondition: `incarnation` was never used by this host id before.
  AccountLimiter(HostId self,
                 Incarnation incarnation,
                 TimePoint start,
                 Options options);

  /// Applies the contracts of a configuration. New accounts start without
  /// tokens, and tokens above a lowered burst are dropped. Versions that are
  /// not newer than the present one are ignored.
  void ApplyContracts(TimePoint now, const ConfigState& config);

  /// Applies a grant unless it is older than the present one. The result names
  /// the grant that is now in force; send it to the control process.
  ShareGrantApplied ApplyGrant(TimePoint now, const ShareGrant& grant);

  /// Returns the grant in force. A new control process passes it to
  /// ShareManager::Adopt.
  const ShareGrant& grant() const { return m_grant; }

  /// Sets the hosts that may be asked for loans, without this one.
  void SetPeers(const std::vector<HostId>& peers);

  /// Decides on one request. If an earlier call for the same request returned
  /// kWaitForLoan, `waiting_since` is the time of the first call.
  [[nodiscard]] LimitDecision TryTake(
      const ClientAccountId& account,
      TimePoint now,
      std::optional<TimePoint> waiting_since = std::nullopt);

  /// Borrows tokens for expected demand and returns unused ones.
  void Tick(TimePoint now);

  /// Returns the messages to send and removes them from the outbox.
  [[nodiscard]] std::vector<LoanMessage> TakeOutbox();

  /// Lends tokens that this host does not need. The tokens are debited before
  /// the reply is created. Returns std::nullopt if the message needs no reply.
  [[nodiscard]] std::optional<LoanReply> OnLoanRequest(
      TimePoint now,
      const LoanRequest& request);

  /// Adds the lent tokens. Returns the account if its waiting requests should
  /// be tried again. Late, duplicate and unknown replies are ignored.
  [[nodiscard]] std::optional<ClientAccountId> OnLoanReply(
      TimePoint now,
      const LoanReply& reply);

  /// Returns the tokens that this host could spend on `account` at `now`, or 0
  /// if the account is unknown.
  double Available(const ClientAccountId& account, TimePoint now);

 private:
  struct Account {
    Account(const Contract& contract, uint32_t total_shares, TimePoint now)
        : bucket(contract, total_shares, now) {}

    AccountBucket bucket;
    DemandEstimate demand;
    // Indexed like LoanPeers. Empty until this host borrows.
    std::vector<PeerSpareEstimate> peers;
    // Deadlines of the waiting requests, ascending.
    std::vector<TimePoint> waiting_deadlines;
    bool active = false;
    // A removed account is kept for the activation delay, so that its loans
    // to other hosts still count if the account is added again.
    std::optional<TimePoint> removed_at;
  };
  struct Pending {
    ClientAccountId account;
    size_t peer = 0;
    double amount = 0;
    TimePoint sent_at;
  };

  /// Returns the account, or null if it is unknown. Also finds accounts that
  /// were removed recently.
  Account* Find(const ClientAccountId& id);
  void RemoveAccounts(TimePoint now, const ConfigState& config);
  LimitDecision WaitOrRefuse(const ClientAccountId& id,
                             Account& account,
                             TimePoint now,
                             std::optional<TimePoint> waiting_since);
  /// Returns the recent demand, at most the rate of the contract, in requests
  /// per second.
  double CoveredDemand(const Account& account, TimePoint now) const;
  /// Returns the own tokens that are reserved for requests of this host.
  double ReservedTokens(const Account& account, TimePoint now) const;
  /// Return the own tokens that may be lent, and the growth of these in tokens
  /// per second.
  double SpareTokens(const Account& account, TimePoint now) const;
  double SpareTokenRate(const Account& account, TimePoint now) const;
  /// Returns the tokens that outstanding loan requests are expected to yield.
  static double ExpectedLoanTokens(const Account& account);
  /// Estimates the tokens that this host can obtain until `deadline`, including
  /// those that it has.
  double ObtainableTokens(const Account& account,
                          TimePoint now,
                          TimePoint deadline) const;
  void ExpirePendingRequests(TimePoint now);
  /// Returns the peers to ask for loans, in the order of preference: by round
  /// trip if `nearest_first`, otherwise by spare tokens.
  std::vector<size_t> SelectLenders(const Account& account,
                                    bool nearest_first,
                                    TimePoint now) const;
  double EstimateSpare(const Account& account,
                       size_t peer,
                       TimePoint now) const;
  /// Requests loans of `amount` tokens in total from the peers that
  /// SelectLenders returns.
  void RequestLoans(const ClientAccountId& id,
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
  const TimePoint m_active_from;
  const Options m_options;
  ShareGrant m_grant;
  ShareSchedule m_schedule;
  ConfigVersion m_config_version;
  uint32_t m_total_shares = 1;
  std::unordered_map<ClientAccountId, Account> m_accounts;
  // Accounts with recent demand, waiting requests or borrowed tokens, which
  // Tick processes.
  std::vector<ClientAccountId> m_active;
  LoanPeers m_peers;
  // By request id, which is also the order of sending.
  std::map<uint64_t, Pending> m_pending;
  uint64_t m_last_request_id = 0;
  uint64_t m_last_timed_out_id = 0;
  uint64_t m_last_loan_id = 0;
  LoanOutbox m_outbox;
};

}  // namespace applestand

#endif  // LIB_LIMITS_ACCOUNT_LIMITER_H_
