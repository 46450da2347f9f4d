#include "lib/steering/share_limiter.h"

#include <algorithm>

namespace applestand {

namespace {

// Fraction of the bound that is used. The rest covers the time in which hosts
// disagree about their number after it has changed.
constexpr double kUsedFraction = 0.94;
// Buckets refill faster than the contract's rate, so that a region with more
// than its share of the callers rejects fewer requests. To stay within the
// bound, their capacity is smaller in return.
constexpr double kRefillFactor = 1.1;
// Fraction of the tokens beyond the refill rate that is reserved for processes
// that start.
constexpr double kStartFraction = 0.2;
constexpr Duration kMaxWait = std::chrono::seconds(5);

}  // namespace

void ShareLimiter::Prepare(const ServingAccounts& accounts, TimePoint now) {
  for (const auto& [id, account] : accounts) {
    if (m_buckets.count(id) == 0 && account.rate > 0) {
      m_buckets[id].filled_at = now;
      Fill(account, now);
    }
  }
}

void ShareLimiter::AddStartTokens(double share) {
  for (auto& [id, bucket] : m_buckets) {
    bucket.tokens +=
        bucket.capacity * kStartFraction / (1 - kStartFraction) * share;
  }
}

void ShareLimiter::SetShare(double share, TimePoint now) {
  if (share == m_share) {
    return;
  }
  for (auto& [id, bucket] : m_buckets) {
    bucket.tokens =
        std::min(bucket.tokens +
                     bucket.rate * m_share * ToSeconds(now - bucket.filled_at),
                 bucket.capacity * std::min(m_share, share));
    bucket.filled_at = now;
  }
  m_share = share;
}

ShareLimiter::Bucket& ShareLimiter::Fill(const ServingAccount& account,
                                         TimePoint now) {
  const auto [it, added] = m_buckets.try_emplace(account.id);
  Bucket& bucket = it->second;
  if (added) {
    bucket.filled_at = now;
  }
  const double window_s = ToSeconds(m_bounds.window);
  const double bound =
      ((account.rate * window_s + account.burst) * (1 + m_bounds.excess) +
       m_bounds.slack) *
      kUsedFraction;
  bucket.rate = std::min(account.rate * kRefillFactor, bound / window_s);
  bucket.capacity = (bound - bucket.rate * window_s) * (1 - kStartFraction);
  bucket.tokens = std::min(
      bucket.tokens + bucket.rate * m_share * ToSeconds(now - bucket.filled_at),
      bucket.capacity * m_share);
  bucket.filled_at = now;
  return bucket;
}

uint32_t ShareLimiter::Take(const ServingAccount& account,
                            uint32_t want,
                            TimePoint now) {
  Bucket& bucket = Fill(account, now);
  const auto taken =
      std::min(want, static_cast<uint32_t>(std::max(bucket.tokens, 0.0)));
  bucket.tokens -= taken;
  return taken;
}

void ShareLimiter::GiveBack(const ClientAccountId& account) {
  if (const auto it = m_buckets.find(account); it != m_buckets.end()) {
    it->second.tokens += 1;
  }
}

Duration ShareLimiter::WaitFor(const ServingAccount& account, TimePoint now) {
  const Bucket& bucket = Fill(account, now);
  const double rate = bucket.rate * m_share;
  if (bucket.tokens >= 1) {
    return Duration::zero();
  }
  if (rate <= 0 || bucket.capacity * m_share < 1) {
    return kMaxWait;
  }
  return std::min(
      kMaxWait, std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>((1 - bucket.tokens) / rate)));
}

}  // namespace applestand
