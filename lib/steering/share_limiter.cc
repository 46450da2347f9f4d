#include "lib/steering/share_limiter.h"

#include <algorithm>

namespace applestand {

namespace {

// Part of the bound that is used: what hosts count differently at a change of
// their number lies in the rest.
constexpr double kUsedPart = 0.94;
// Refill beyond the contract's rate, so that a region with more than its share
// of callers refuses less; the bucket is the smaller for it.
constexpr double kRefillFactor = 1.1;
constexpr Duration kLongestWait = std::chrono::seconds(5);

}  // namespace

void ShareLimiter::Prepare(const ServingAccounts& accounts, TimePoint now) {
  for (const auto& [id, account] : accounts) {
    if (m_buckets.count(id) == 0 && account.rate > 0) {
      m_buckets[id].filled = now;
      Fill(account, now);
    }
  }
}

void ShareLimiter::SetPart(double part, TimePoint now) {
  if (part == m_part) {
    return;
  }
  for (auto& [id, bucket] : m_buckets) {
    bucket.tokens = std::min(
        bucket.tokens + bucket.rate * m_part * ToSeconds(now - bucket.filled),
        bucket.capacity * std::min(m_part, part));
    bucket.filled = now;
  }
  m_part = part;
}

ShareLimiter::Bucket& ShareLimiter::Fill(const ServingAccount& account,
                                         TimePoint now) {
  const auto [it, added] = m_buckets.try_emplace(account.id);
  Bucket& bucket = it->second;
  if (added) {
    bucket.filled = now;
  }
  const double window_s = ToSeconds(m_bounds.window);
  const double bound =
      ((account.rate * window_s + account.burst) * (1 + m_bounds.excess) +
       m_bounds.slack) *
      kUsedPart;
  bucket.rate = std::min(account.rate * kRefillFactor, bound / window_s);
  bucket.capacity = bound - bucket.rate * window_s;
  bucket.tokens = std::min(
      bucket.tokens + bucket.rate * m_part * ToSeconds(now - bucket.filled),
      bucket.capacity * m_part);
  bucket.filled = now;
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

void ShareLimiter::Drain(TimePoint now) {
  for (auto& [id, bucket] : m_buckets) {
    bucket.tokens = 0;
    bucket.filled = now;
  }
}

Duration ShareLimiter::WaitFor(const ServingAccount& account, TimePoint now) {
  const Bucket& bucket = Fill(account, now);
  const double rate = bucket.rate * m_part;
  if (bucket.tokens >= 1) {
    return Duration::zero();
  }
  if (rate <= 0 || bucket.capacity * m_part < 1) {
    return kLongestWait;
  }
  return std::min(
      kLongestWait,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>((1 - bucket.tokens) / rate)));
}

}  // namespace applestand
