#include <algorithm>
#include <cmath>
#include <utility>

#include "lib/limits/account_limiter.h"

namespace applestand {

namespace {

// Amounts below this are not worth a message (tokens).
constexpr double kMinLoan = 0.001;
// Part of the wanted stock that may be missing before more is asked for.
constexpr double kToleratedShortage = 0.1;

double Sanitized(double tokens) {
  return std::isfinite(tokens) && tokens > 0 ? tokens : 0;
}

}  // namespace

double AccountLimiter::CoveredDemand(const Account& account,
                                     TimePoint now) const {
  return std::min(account.demand.Rate(now),
                  account.bucket.contract().requests_per_second);
}

double AccountLimiter::Reserve(const Account& account, TimePoint now) const {
  const double soon =
      CoveredDemand(account, now) * ToSeconds(m_options.horizon);
  // A fraction of a token admits nothing here, but may be missing elsewhere.
  const double ahead = soon < 1 ? 0 : soon;
  return std::max(ahead, static_cast<double>(account.waiting.size()));
}

double AccountLimiter::Spare(const Account& account, TimePoint now) const {
  return std::max(0.0, account.bucket.own_tokens() - Reserve(account, now));
}

double AccountLimiter::SpareRate(const Account& account, TimePoint now) const {
  const double needed =
      Reserve(account, now) > 0 ? CoveredDemand(account, now) : 0;
  return std::max(0.0, account.bucket.rate() - needed);
}

double AccountLimiter::InFlight(const Account& account) {
  double sum = 0;
  for (const PeerSpare& peer : account.peers) {
    sum += peer.expected();
  }
  return sum;
}

double AccountLimiter::Reachable(const Account& account,
                                 TimePoint now,
                                 TimePoint deadline) const {
  double sum = account.bucket.Available() + InFlight(account) +
               account.bucket.rate() * ToSeconds(deadline - now);
  for (size_t i = 0; i < account.peers.size(); ++i) {
    if (m_peers.MayAsk(i, now) && !account.peers[i].outstanding() &&
        now + m_peers.round_trip(i) < deadline) {
      sum += EstimateSpare(account, i, deadline - m_peers.round_trip(i));
    }
  }
  return sum;
}

double AccountLimiter::EstimateSpare(const Account& account,
                                     size_t peer,
                                     TimePoint now) const {
  const double seat_capacity = account.bucket.contract().burst / m_total_seats;
  return account.peers[peer].Estimate(now, seat_capacity);
}

std::vector<size_t> AccountLimiter::PeersToAsk(const Account& account,
                                               bool nearest_first,
                                               TimePoint now) const {
  std::vector<size_t> peers;
  for (size_t i = 0; i < account.peers.size(); ++i) {
    if (m_peers.MayAsk(i, now) && !account.peers[i].outstanding() &&
        EstimateSpare(account, i, now) >= kMinLoan) {
      peers.push_back(i);
    }
  }
  const auto before = [&](size_t a, size_t b) {
    if (nearest_first) {
      return m_peers.round_trip(a) < m_peers.round_trip(b);
    }
    return EstimateSpare(account, a, now) > EstimateSpare(account, b, now);
  };
  std::stable_sort(peers.begin(), peers.end(), before);
  return peers;
}

void AccountLimiter::Ask(const ClientAccountId& id,
                         Account& account,
                         double amount,
                         bool nearest_first,
                         TimePoint now) {
  if (amount < kMinLoan) {
    return;
  }
  account.peers.resize(m_peers.size());
  double missing = amount;
  for (const size_t peer : PeersToAsk(account, nearest_first, now)) {
    if (missing < kMinLoan) {
      return;
    }
    const double estimate = EstimateSpare(account, peer, now);
    SendRequest(id, account, peer, missing, now);
    missing -= estimate;
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
  request.request_id = ++m_last_request;
  request.amount = amount;
  account.peers[peer].OnRequest(amount, EstimateSpare(account, peer, now),
                                request.request_id);
  m_pending[request.request_id] = {id, peer, amount, now};
}

void AccountLimiter::BorrowAhead(const ClientAccountId& id,
                                 Account& account,
                                 TimePoint now) {
  const double horizon = ToSeconds(m_options.horizon);
  const double soon = CoveredDemand(account, now) * horizon;
  // Rare requests ask when they come: fractions held ahead of them would be
  // missing elsewhere.
  if (soon < 1) {
    return;
  }
  const double wanted =
      soon + std::sqrt(soon) + static_cast<double>(account.waiting.size());
  const double have = account.bucket.Available() + InFlight(account) +
                      account.bucket.rate() * horizon;
  if (wanted - have > wanted * kToleratedShortage) {
    Ask(id, account, wanted - have, false, now);
  }
}

void AccountLimiter::SettleLoans(const ClientAccountId& id,
                                 Account& account,
                                 TimePoint now) {
  const TimePoint idle_since = now - m_options.return_after;
  for (const auto& loan : account.bucket.TakeSettled(idle_since)) {
    LoanRequest& request = m_outbox.MessageTo(m_peers.host(loan.peer), id);
    if (!request.settled.empty() &&
        request.lender_incarnation != loan.lender_incarnation) {
      // The older incarnation has forgotten its loans.
      continue;
    }
    request.borrower = m_self;
    request.borrower_incarnation = m_incarnation;
    request.lender_incarnation = loan.lender_incarnation;
    request.settled.push_back({loan.loan_id, loan.left});
  }
}

void AccountLimiter::ForgetOldRequests(TimePoint now) {
  auto it = m_pending.upper_bound(m_last_timed_out);
  while (it != m_pending.end() &&
         now - it->second.sent_at >= m_options.request_timeout) {
    const Pending& pending = it->second;
    m_peers.OnTimeout(pending.peer, now);
    if (Account* account = Find(pending.account)) {
      account->peers.resize(m_peers.size());
      account->peers[pending.peer].OnTimeout(it->first);
    }
    m_last_timed_out = it->first;
    ++it;
  }
  // A reply is of use until the life of its loan is over.
  while (!m_pending.empty() &&
         now - m_pending.begin()->second.sent_at >= m_options.loan_life) {
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
  const double asked = Sanitized(request.amount);
  if (asked == 0 || request.borrower == m_self) {
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
  const double amount = std::min(asked, Spare(*account, now));
  if (amount >= kMinLoan) {
    reply.loan_id = ++m_last_loan;
    reply.amount = amount;
    account->bucket.Lend(reply.loan_id, amount,
                         now + m_options.loan_life + m_options.loan_margin);
  }
  reply.spare = Spare(*account, now);
  reply.spare_rate = SpareRate(*account, now);
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
  const TimePoint until = pending.sent_at + m_options.loan_life;
  const double amount = std::min(Sanitized(reply.amount), pending.amount);
  if (amount > 0 && now < until) {
    account->bucket.Borrow({pending.peer, reply.lender_incarnation,
                            reply.loan_id, amount, now, until});
  }
  // Also without tokens: the waiting requests may ask others, or give up.
  return reply.account;
}

}  // namespace applestand
