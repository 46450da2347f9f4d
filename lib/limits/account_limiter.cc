#include "lib/limits/account_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <utility>

namespace applestand {

namespace {

constexpr Duration kUnknownAccountRetry = std::chrono::seconds(1);
constexpr Duration kMinRetry = std::chrono::milliseconds(20);
constexpr Duration kMaxRetry = std::chrono::seconds(60);
// Demand below this rate needs no attention between requests (1/s).
constexpr double kIdleDemand = 0.01;

Duration SecondsToDuration(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

// Makes a contract of any input usable.
Contract Sanitized(Contract contract) {
  const auto clean = [](double value) {
    return std::isfinite(value) && value > 0 ? value : 0;
  };
  contract.requests_per_second = clean(contract.requests_per_second);
  contract.burst = clean(contract.burst);
  return contract;
}

bool IsOlder(const SeatGrant& a, const SeatGrant& b) {
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
      m_not_before(start + options.settle),
      m_options(options),
      m_schedule({}, m_not_before) {
  assert(options.settle >= options.loan_life + options.loan_margin &&
         "loans of an earlier run have ended before seats are used");
}

void AccountLimiter::ApplyContracts(TimePoint now, const ConfigState& config) {
  if (config.version <= m_config_version) {
    return;
  }
  m_config_version = config.version;
  m_total_seats = std::max<uint32_t>(1, config.seats);
  RemoveAccounts(now, config);
  for (const auto& [id, entry] : config.accounts) {
    const Contract contract = Sanitized(entry.contract);
    if (Account* account = Find(id)) {
      account->removed_at.reset();
      account->bucket.Advance(now, m_schedule);
      account->bucket.SetContract(contract, m_total_seats);
      account->bucket.Advance(now, m_schedule);
      continue;
    }
    m_accounts.try_emplace(id, contract, m_total_seats, now);
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
      account.bucket.SetContract(Contract{}, m_total_seats);
      account.bucket.Advance(now, m_schedule);
    }
    const bool forgotten = now - *account.removed_at >= m_options.settle;
    it = forgotten ? m_accounts.erase(it) : std::next(it);
  }
}

SeatGrantApplied AccountLimiter::ApplyGrant(TimePoint now,
                                            const SeatGrant& grant) {
  if (IsOlder(m_grant, grant)) {
    for (auto& [id, account] : m_accounts) {
      account.bucket.Advance(now, m_schedule);
    }
    m_grant = grant;
    m_schedule = SeatSchedule(grant.seats, m_not_before);
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
    return {LimitDecision::Kind::kRefused, now, kUnknownAccountRetry};
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
  if (waiting_since && !account->waiting.empty()) {
    account->waiting.erase(account->waiting.begin());
  }
  return {LimitDecision::Kind::kTaken, now, Duration::zero()};
}

LimitDecision AccountLimiter::WaitOrRefuse(
    const ClientAccountId& id,
    Account& account,
    TimePoint now,
    std::optional<TimePoint> waiting_since) {
  std::vector<TimePoint>& waiting = account.waiting;
  const TimePoint deadline = waiting_since.value_or(now) + m_options.max_wait;
  if (!waiting_since) {
    waiting.push_back(deadline);
  }
  // Forgets requests that the owner never came back with.
  const auto first =
      std::find_if(waiting.begin(), waiting.end(),
                   [&](TimePoint gives_up) { return gives_up >= now; });
  waiting.erase(waiting.begin(), first);
  const AccountBucket& bucket = account.bucket;
  const auto queued = static_cast<double>(std::max<size_t>(1, waiting.size()));
  const double missing = queued - bucket.Available();
  if (now < deadline) {
    m_outbox.BeginRound();
    Ask(id, account, missing - InFlight(account), true, now);
    // Requests that wait already are ahead of a new one.
    const double needed = waiting_since ? 1 : queued;
    if (Reachable(account, now, deadline) >= needed) {
      return {LimitDecision::Kind::kWaitForLoan,
              std::min(deadline, now + m_options.ask_again), Duration::zero()};
    }
  }
  if (waiting_since && !waiting.empty()) {
    waiting.erase(waiting.begin());
  } else if (!waiting_since) {
    waiting.pop_back();
  }
  const double rate = bucket.contract().requests_per_second;
  const double seconds = rate > 0 ? missing / rate : ToSeconds(kMaxRetry);
  const Duration retry_after =
      SecondsToDuration(std::min(seconds, ToSeconds(kMaxRetry)));
  return {LimitDecision::Kind::kRefused, now, std::max(retry_after, kMinRetry)};
}

void AccountLimiter::Tick(TimePoint now) {
  ForgetOldRequests(now);
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
                      !account->waiting.empty() ||
                      account->demand.Rate(now) >= kIdleDemand;
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
