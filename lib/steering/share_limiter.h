#ifndef LIB_STEERING_SHARE_LIMITER_H_
#define LIB_STEERING_SHARE_LIMITER_H_

#include <map>

#include "lib/steering/serving_config.h"

namespace applestand {

using ServingAccounts = std::map<ClientAccountId, ServingAccount>;

/// Bound on the requests of an account in any window, over all hosts:
/// (rate x window + burst) x (1 + excess) + slack.
struct ShareBounds {
  Duration window = std::chrono::seconds(5);
  double excess = 0.1;
  double slack = 20;
};

/// Enforces one share of each account's limit with a token bucket. As long as
/// all shares add up to at most 1, the tokens taken from all of them together
/// stay within the account's bound in every window.
///
/// Buckets start empty. A part of their capacity is kept for processes that
/// start, see AddStartTokens(): what the processes before them took is not
/// known and counts towards the same window.
///
/// Not thread-safe.
class ShareLimiter {
 public:
  explicit ShareLimiter(const ShareBounds& bounds) : m_bounds(bounds) {}

  /// Starts to fill the buckets of new accounts. Must be called for each new
  /// configuration.
  void Prepare(const ServingAccounts& accounts, TimePoint now);

  /// Adds the tokens that a new process may use at once, for a part of all
  /// shares. Each share may be counted once for each process that uses it.
  void AddStartTokens(double share);

  /// Sets the share, from 0 to 1, that applies from now on.
  void SetShare(double share, TimePoint now);
  double share() const { return m_share; }

  /// Takes up to `want` tokens of the account and returns how many it took.
  /// Precondition: the account has a limit.
  uint32_t Take(const ServingAccount& account, uint32_t want, TimePoint now);
  /// Returns a token for a request that was not sent.
  void GiveBack(const ClientAccountId& account);

  /// Returns the time until one more token of the account is available, at most
  /// 5 s.
  Duration WaitFor(const ServingAccount& account, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    // Refill rate and capacity for a share of 1, from the account's limit as of
    // the last Fill().
    double rate = 0;
    double capacity = 0;
  };

  Bucket& Fill(const ServingAccount& account, TimePoint now);

  const ShareBounds m_bounds;
  double m_share = 0;
  std::map<ClientAccountId, Bucket> m_buckets;
};

}  // namespace applestand

#endif  // LIB_STEERING_SHARE_LIMITER_H_
