#include "lib/steering/share_limiter.h"

#include <algorithm>

namespace applestand {

namespace {

// Part of the bound that is used: what two hosts count differently at a change
// of their number lies in the rest.
constexpr double kUsedPart = 0.95;
// Refill beyond the contract's rate, so that hosts with more than their share
// of callers refuse less; the bucket is the smaller for it.
constexpr double kRefillFactor = 1.1;
// Smallest bucket of an account with a limit.
constexpr double kMinCapacity = 1;

}  // namespace

void ShareLimiter::Prepare(
    const std::map<ClientAccountId, ServingAccount>& accounts,
    TimePoint now) {
  for (const auto& [id, account] : accounts) {
    const auto [it, added] = m_buckets.try_emplace(id);
    if (added) {
      it->second.filled = now;
    }
  }
}

std::optional<Duration> ShareLimiter::TryTake(const ServingAccount& account,
                                              TimePoint now) {
  if (account.rate <= 0) {
    return std::nullopt;
  }
  const double window_s = ToSeconds(m_bounds.window);
  const double bound =
      ((account.rate * window_s + account.burst) * (1 + m_bounds.excess) +
       m_bounds.slack) *
      kUsedPart;
  const double refill = std::min(account.rate * kRefillFactor, bound / window_s);
  const double rate = refill / m_hosts;
  const double capacity =
      std::max((bound - refill * window_s) / m_hosts, kMinCapacity);
  const auto [it, added] = m_buckets.try_emplace(account.id);
  Bucket& bucket = it->second;
  if (added) {
    bucket.filled = now;
  }
  bucket.tokens += rate * ToSeconds(now - bucket.filled);
  bucket.tokens = std::min(bucket.tokens, capacity);
  bucket.filled = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double wait_s = (1 - bucket.tokens) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait_s));
}

void ShareLimiter::GiveBack(const ClientAccountId& account) {
  if (const auto it = m_buckets.find(account); it != m_buckets.end()) {
    it->second.tokens += 1;
  }
}

}  // namespace applestand
