#include <algorithm>
#include <cmath>
#include <utility>

#include "lib/limits/account_limiter.h"

namespace applestand {

namespace {

// Smaller amounts are not worth a message.
constexpr double kMinLoanTokens = 0.001;
// Fraction of the wanted tokens that may be missing before more are requested.
constexpr double kToleratedShortfall = 0.1;

double Sanitized(double tokens) {
  return std::isfinite(tokens) && tokens > 0 ? tokens : 0;
}

}  // namespace

double AccountLimiter::CoveredDemand(const Account& account,
                                     TimePoint now) const {
  return std::min(account.demand.Rate(now),
                  account.bucket.contract().requests_per_second);
}

double AccountLimiter::ReservedTokens(const Account& account,
                                      TimePoint now) const {
  const double expected =
      CoveredDemand(account, now) * ToSeconds(m_options.horizon);
  // A fraction of a token admits no request here, but another host may need it.
  const double reserved = expected < 1 ? 0 : expected;
  return std::max(reserved,
                  static_cast<double>(account.waiting_deadlines.size()));
}

double AccountLimiter::SpareTokens(const Account& account,
                                   TimePoint now) const {
  return std::max(0.0,
                  account.bucket.own_tokens() - ReservedTokens(account, now));
}

double AccountLimiter::SpareTokenRate(const Account& account,
                                      TimePoint now) const {
  const double needed =
      ReservedTokens(account, now) > 0 ? CoveredDemand(account, now) : 0;
  return std::max(0.0, account.bucket.rate() - needed);
}

double AccountLimiter::ExpectedLoanTokens(const Account& account) {
  double sum = 0;
  for (const PeerSpareEstimate& peer : account.peers) {
    sum += peer.expected();
  }
  return sum;
}

double AccountLimiter::ObtainableTokens(const Account& account,
                                        TimePoint now,
                                        TimePoint deadline) const {
  double sum = account.bucket.Available() + ExpectedLoanTokens(account) +
               account.bucket.rate() * ToSeconds(deadline - now);
  for (size_t i = 0; i < account.peers.size(); ++i) {
    if (m_peers.IsAvailable(i, now) && !account.peers[i].outstanding() &&
        now + m_peers.round_trip(i) < deadline) {
      sum += EstimateSpare(account, i, deadline - m_peers.round_trip(i));
    }
  }
  return sum;
}

double AccountLimiter::EstimateSpare(const Account& account,
                                     size_t peer,
                                     TimePoint now) const {
  const double share_capacity =
      account.bucket.contract().burst / m_total_shares;
  return account.peers[peer].Estimate(now, share_capacity);
}

std::vector<size_t> AccountLimiter::SelectLenders(const Account& account,
                                                  bool nearest_first,
                                                  TimePoint now) const {
  std::vector<size_t> peers;
  for (size_t i = 0; i < account.peers.size(); ++i) {
    if (m_peers.IsAvailable(i, now) && !account.peers[i].outstanding() &&
        EstimateSpare(account, i, now) >= kMinLoanTokens) {
      peers.push_back(i);
    }
  }
  const auto is_preferred = [&](size_t a, size_t b) {
    if (nearest_first) {
      return m_peers.round_trip(a) < m_peers.round_trip(b);
    }
    return EstimateSpare(account, a, now) > EstimateSpare(account, b, now);
  };
  std::stable_sort(peers.begin(), peers.end(), is_preferred);
  return peers;
}

void AccountLimiter::RequestLoans(const ClientAccountId& id,
                                  Account& account,
                                  double amount,
                                  bool nearest_first,
                                  TimePoint now) {
  if (amount < kMinLoanTokens) {
    return;
  }
  account.peers.resize(m_peers.size());
  double shortfall = amount;
  for (const size_t peer : SelectLenders(account, nearest_first, now)) {
    if (shortfall < kMinLoanTokens) {
      return;
    }
    const double estimate = EstimateSpare(account, peer, now);
    SendRequest(id, account, peer, shortfall, now);
    shortfall -= estimate;
  }
}

void AccountLimiter::SendRequest(const ClientAccountId& id,
                                 Account& account,
                                 size_t peer,
                                 double amount,
                                 TimePoint now) {
  LoanRequest& request = m_outbox.MessageTo(m_peers.host(peer), id);
  request.borrower = m_self;
  request.borrower_incarnation = m_incarnation;
  request.request_id = ++m_last_request_id;
  request.amount = amount;
  account.peers[peer].OnRequest(amount, EstimateSpare(account, peer, now),
                                request.request_id);
  m_pending[request.request_id] = {id, peer, amount, now};
}

void AccountLimiter::BorrowAhead(const ClientAccountId& id,
                                 Account& account,
                                 TimePoint now) {
  const double horizon = ToSeconds(m_options.horizon);
  const double expected = CoveredDemand(account, now) * horizon;
  // If requests are rare, each one requests its loan when it arrives. Fractions
  // of tokens held in advance would be missing on other hosts.
  if (expected < 1) {
    return;
  }
  const double wanted = expected + std::sqrt(expected) +
                        static_cast<double>(account.waiting_deadlines.size());
  const double obtainable = account.bucket.Available() +
                            ExpectedLoanTokens(account) +
                            account.bucket.rate() * horizon;
  if (wanted - obtainable > wanted * kToleratedShortfall) {
    RequestLoans(id, account, wanted - obtainable, false, now);
  }
}

void AccountLimiter::SettleLoans(const ClientAccountId& id,
                                 Account& account,
                                 TimePoint now) {
  const TimePoint idle_since = now - m_options.unused_return_delay;
  for (const auto& loan : account.bucket.TakeFinishedLoans(idle_since)) {
    LoanRequest& request = m_outbox.MessageTo(m_peers.host(loan.peer), id);
    if (!request.settled.empty() &&
        request.lender_incarnation != loan.lender_incarnation) {
      // A message names only one incarnation of the lender, and an incarnation
      // that has ended no longer knows its loans. Other loans expire unsettled.
      continue;
    }
    request.borrower = m_self;
    request.borrower_incarnation = m_incarnation;
    request.lender_incarnation = loan.lender_incarnation;
    request.settled.push_back({loan.loan_id, loan.remaining});
  }
}

void AccountLimiter::ExpirePendingRequests(TimePoint now) {
  auto it = m_pending.upper_bound(m_last_timed_out_id);
  while (it != m_pending.end() &&
         now - it->second.sent_at >= m_options.request_timeout) {
    const Pending& pending = it->second;
    m_peers.OnTimeout(pending.peer, now);
    if (Account* account = Find(pending.account)) {
      account->peers.resize(m_peers.size());
      account->peers[pending.peer].OnTimeout(it->first);
    }
    m_last_timed_out_id = it->first;
    ++it;
  }
  // A reply remains useful until its loan has expired.
  while (!m_pending.empty() &&
         now - m_pending.begin()->second.sent_at >= m_options.loan_duration) {
    m_pending.erase(m_pending.begin());
  }
}

std::optional<LoanReply> AccountLimiter::OnLoanRequest(
    TimePoint now,
    const LoanRequest& request) {
  Account* account = Find(request.account);
  if (account != nullptr) {
    account->bucket.Advance(now, m_schedule);
    if (request.lender_incarnation == m_incarnation) {
      for (const LoanSettlement& loan : request.settled) {
        account->bucket.Settle(loan.loan_id, Sanitized(loan.returned));
      }
    }
  }
  const double requested = Sanitized(request.amount);
  if (requested == 0 || request.borrower == m_self) {
    return std::nullopt;
  }
  LoanReply reply;
  reply.lender = m_self;
  reply.lender_incarnation = m_incarnation;
  reply.borrower_incarnation = request.borrower_incarnation;
  reply.request_id = request.request_id;
  reply.account = request.account;
  if (account == nullptr) {
    return reply;
  }
  const double amount = std::min(requested, SpareTokens(*account, now));
  if (amount >= kMinLoanTokens) {
    reply.loan_id = ++m_last_loan_id;
    reply.amount = amount;
    account->bucket.Lend(reply.loan_id, amount,
                         now + m_options.loan_duration + m_options.loan_margin);
  }
  reply.spare = SpareTokens(*account, now);
  reply.spare_rate = SpareTokenRate(*account, now);
  return reply;
}

std::optional<ClientAccountId> AccountLimiter::OnLoanReply(
    TimePoint now,
    const LoanReply& reply) {
  const auto it = m_pending.find(reply.request_id);
  if (reply.borrower_incarnation != m_incarnation || it == m_pending.end() ||
      m_peers.host(it->second.peer) != reply.lender ||
      it->second.account != reply.account) {
    return std::nullopt;
  }
  const Pending pending = it->second;
  m_pending.erase(it);
  m_peers.OnReply(pending.peer, now - pending.sent_at);
  Account* account = Find(reply.account);
  if (account == nullptr) {
    return std::nullopt;
  }
  account->peers.resize(m_peers.size());
  account->peers[pending.peer].OnReply(reply.request_id, Sanitized(reply.spare),
                                       Sanitized(reply.spare_rate), now);
  account->bucket.Advance(now, m_schedule);
  const TimePoint until = pending.sent_at + m_options.loan_duration;
  const double amount = std::min(Sanitized(reply.amount), pending.amount);
  if (amount > 0 && now < until) {
    account->bucket.Borrow({pending.peer, reply.lender_incarnation,
                            reply.loan_id, amount, now, until});
  }
  // Also returned if nothing was lent: the waiting requests can then ask other
  // hosts or be refused.
  return reply.account;
}

}  // namespace applestand
