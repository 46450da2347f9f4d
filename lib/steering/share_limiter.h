#ifndef LIB_STEERING_SHARE_LIMITER_H_
#define LIB_STEERING_SHARE_LIMITER_H_

#include <map>
#include <optional>

#include "lib/steering/serving_config.h"

namespace applestand {

/// How much more than its contract an account may send in one window, over all
/// hosts: (rate x window + burst) x (1 + excess) + slack.
struct ShareBounds {
  Duration window = std::chrono::seconds(5);
  double excess = 0.1;
  double slack = 20;
};

/// This host's part of each account's limit: a token bucket that, with those of
/// the other hosts, stays within the account's bound in every window.
///
/// A host begins with an empty bucket, so that one that was restarted does not
/// grant twice. Where the number of hosts falls the part grows; it is taken
/// over only after the lost hosts have stopped using theirs (see Roster).
///
/// Not thread-safe.
class ShareLimiter {
 public:
  explicit ShareLimiter(const ShareBounds& bounds) : m_bounds(bounds) {}

  /// Number of hosts that share the limits; at least 1.
  void SetHosts(uint32_t hosts) { m_hosts = hosts; }

  /// Begins to fill the buckets of accounts that are new; call at each new
  /// configuration.
  void Prepare(const std::map<ClientAccountId, ServingAccount>& accounts,
               TimePoint now);

  /// Takes one request of the account. Nothing: it may run. Otherwise the time
  /// after which one more may.
  [[nodiscard]] std::optional<Duration> TryTake(const ServingAccount& account,
                                                TimePoint now);

  /// The request that was taken was not sent.
  void GiveBack(const ClientAccountId& account);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled;
  };

  const ShareBounds m_bounds;
  uint32_t m_hosts = 1;
  std::map<ClientAccountId, Bucket> m_buckets;
};

}  // namespace applestand

#endif  // LIB_STEERING_SHARE_LIMITER_H_
