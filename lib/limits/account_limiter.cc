#include "lib/limits/account_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <utility>

namespace applestand {

namespace {

constexpr Duration kUnknownAccountRetryAfter = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);
// Accounts with less demand (requests per second) are not processed by Tick.
constexpr double kIdleDemandPerSecond = 0.01;

Duration SecondsToDuration(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

// Replaces a rate or burst that is negative or not finite with 0.
Contract Sanitized(Contract contract) {
  const auto clean = [](double value) {
    return std::isfinite(value) && value > 0 ? value : 0;
  };
  contract.requests_per_second = clean(contract.requests_per_second);
  contract.burst = clean(contract.burst);
  return contract;
}

bool IsOlder(const ShareGrant& a, const ShareGrant& b) {
  return std::tie(a.incarnation, a.generation) <
         std::tie(b.incarnation, b.generation);
}

}  // namespace

AccountLimiter::AccountLimiter(HostId self,
                               Incarnation incarnation,
                               TimePoint start,
                               Options options)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_active_from(start + options.activation_delay),
      m_options(options),
      m_schedule({}, m_active_from) {
  assert(options.activation_delay >=
             options.loan_duration + options.loan_margin &&
         "loans of an earlier incarnation must end before shares are used");
}

void AccountLimiter::ApplyContracts(TimePoint now, const ConfigState& config) {
  if (config.version <= m_config_version) {
    return;
  }
  m_config_version = config.version;
  m_total_shares = std::max<uint32_t>(1, config.contract_share_count);
  RemoveAccounts(now, config);
  for (const auto& [id, entry] : config.accounts) {
    const Contract contract = Sanitized(entry.contract);
    if (Account* account = Find(id)) {
      account->removed_at.reset();
      account->bucket.Advance(now, m_schedule);
      account->bucket.SetContract(contract, m_total_shares);
      account->bucket.Advance(now, m_schedule);
      continue;
    }
    m_accounts.try_emplace(id, contract, m_total_shares, now);
  }
}

void AccountLimiter::RemoveAccounts(TimePoint now, const ConfigState& config) {
  for (auto it = m_accounts.begin(); it != m_accounts.end();) {
    Account& account = it->second;
    if (config.accounts.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (!account.removed_at) {
      account.removed_at = now;
      account.bucket.Advance(now, m_schedule);
      account.bucket.SetContract(Contract{}, m_total_shares);
      account.bucket.Advance(now, m_schedule);
    }
    const bool expired =
        now - *account.removed_at >= m_options.activation_delay;
    it = expired ? m_accounts.erase(it) : std::next(it);
  }
}

ShareGrantApplied AccountLimiter::ApplyGrant(TimePoint now,
                                             const ShareGrant& grant) {
  if (IsOlder(m_grant, grant)) {
    for (auto& [id, account] : m_accounts) {
      account.bucket.Advance(now, m_schedule);
    }
    m_grant = grant;
    m_schedule = ShareSchedule(grant.shares, m_active_from);
  }
  return {m_grant.incarnation, m_grant.generation};
}

void AccountLimiter::SetPeers(const std::vector<HostId>& peers) {
  m_peers.Set(peers);
}

AccountLimiter::Account* AccountLimiter::Find(const ClientAccountId& id) {
  const auto it = m_accounts.find(id);
  return it == m_accounts.end() ? nullptr : &it->second;
}

LimitDecision AccountLimiter::TryTake(const ClientAccountId& id,
                                      TimePoint now,
                                      std::optional<TimePoint> waiting_since) {
  Account* account = Find(id);
  if (account == nullptr || account->removed_at) {
    return {LimitDecision::Kind::kRefused, now, kUnknownAccountRetryAfter};
  }
  if (!waiting_since) {
    account->demand.Add(now);
  }
  if (!account->active) {
    account->active = true;
    m_active.push_back(id);
  }
  account->bucket.Advance(now, m_schedule);
  if (!account->bucket.TryTake()) {
    return WaitOrRefuse(id, *account, now, waiting_since);
  }
  if (waiting_since && !account->waiting_deadlines.empty()) {
    account->waiting_deadlines.erase(account->waiting_deadlines.begin());
  }
  return {LimitDecision::Kind::kAdmitted, now, Duration::zero()};
}

LimitDecision AccountLimiter::WaitOrRefuse(
    const ClientAccountId& id,
    Account& account,
    TimePoint now,
    std::optional<TimePoint> waiting_since) {
  std::vector<TimePoint>& deadlines = account.waiting_deadlines;
  const TimePoint deadline = waiting_since.value_or(now) + m_options.max_wait;
  if (!waiting_since) {
    deadlines.push_back(deadline);
  }
  // Removes requests that the owner did not retry before their deadline.
  const auto first = std::find_if(deadlines.begin(), deadlines.end(),
                                  [&](TimePoint time) { return time >= now; });
  deadlines.erase(deadlines.begin(), first);
  const AccountBucket& bucket = account.bucket;
  const auto queued =
      static_cast<double>(std::max<size_t>(1, deadlines.size()));
  const double shortfall = queued - bucket.Available();
  if (now < deadline) {
    m_outbox.BeginRound();
    RequestLoans(id, account, shortfall - ExpectedLoanTokens(account), true,
                 now);
    // A new request also needs tokens for the requests that already wait.
    const double needed = waiting_since ? 1 : queued;
    if (ObtainableTokens(account, now, deadline) >= needed) {
      return {LimitDecision::Kind::kWaitForLoan,
              std::min(deadline, now + m_options.retry_interval),
              Duration::zero()};
    }
  }
  if (waiting_since && !deadlines.empty()) {
    deadlines.erase(deadlines.begin());
  } else if (!waiting_since) {
    deadlines.pop_back();
  }
  const double rate = bucket.contract().requests_per_second;
  const double seconds =
      rate > 0 ? shortfall / rate : ToSeconds(kMaxRetryAfter);
  const Duration retry_after =
      SecondsToDuration(std::min(seconds, ToSeconds(kMaxRetryAfter)));
  return {LimitDecision::Kind::kRefused, now,
          std::max(retry_after, kMinRetryAfter)};
}

void AccountLimiter::Tick(TimePoint now) {
  ExpirePendingRequests(now);
  std::vector<ClientAccountId> still_active;
  for (const ClientAccountId& id : m_active) {
    Account* account = Find(id);
    if (account == nullptr) {
      continue;
    }
    account->bucket.Advance(now, m_schedule);
    m_outbox.BeginRound();
    SettleLoans(id, *account, now);
    BorrowAhead(id, *account, now);
    account->active = account->bucket.borrowed() > 0 ||
                      !account->waiting_deadlines.empty() ||
                      account->demand.Rate(now) >= kIdleDemandPerSecond;
    if (account->active) {
      still_active.push_back(id);
    }
  }
  m_active = std::move(still_active);
}

std::vector<LoanMessage> AccountLimiter::TakeOutbox() {
  return m_outbox.Take();
}

double AccountLimiter::Available(const ClientAccountId& id, TimePoint now) {
  Account* account = Find(id);
  if (account == nullptr) {
    return 0;
  }
  account->bucket.Advance(now, m_schedule);
  return account->bucket.Available();
}

}  // namespace applestand
