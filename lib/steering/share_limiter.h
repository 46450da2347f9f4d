#ifndef LIB_STEERING_SHARE_LIMITER_H_
#define LIB_STEERING_SHARE_LIMITER_H_

#include <map>

#include "lib/steering/serving_config.h"

namespace applestand {

using ServingAccounts = std::map<ClientAccountId, ServingAccount>;

/// How much more than its contract an account may send in one window, over all
/// hosts: (rate x window + burst) x (1 + excess) + slack.
struct ShareBounds {
  Duration window = std::chrono::seconds(5);
  double excess = 0.1;
  double slack = 20;
};

/// A part of each account's limit: a token bucket that, with the other parts,
/// stays within the account's bound in every window as long as the parts add up
/// to no more than 1.
///
/// Buckets begin empty, so that a host that was restarted does not grant twice.
///
/// Not thread-safe.
class ShareLimiter {
 public:
  explicit ShareLimiter(const ShareBounds& bounds) : m_bounds(bounds) {}

  /// Begins to fill the buckets of accounts that are new; call at each new
  /// configuration.
  void Prepare(const ServingAccounts& accounts, TimePoint now);

  /// Changes the part from now on.
  void SetPart(double part, TimePoint now);
  double part() const { return m_part; }

  /// Takes up to `want` requests of the account and returns how many.
  /// Precondition: the account has a limit.
  uint32_t Take(const ServingAccount& account, uint32_t want, TimePoint now);
  /// A request that was taken was not sent.
  void GiveBack(const ClientAccountId& account);
  /// Empties every bucket.
  void Drain(TimePoint now);

  /// Time until one more request of the account may be taken.
  Duration WaitFor(const ServingAccount& account, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled;
    // Of the account's limit when it was filled last.
    double rate = 0;
    double capacity = 0;
  };

  Bucket& Fill(const ServingAccount& account, TimePoint now);

  const ShareBounds m_bounds;
  double m_part = 0;
  std::map<ClientAccountId, Bucket> m_buckets;
};

}  // namespace applestand

#endif  // LIB_STEERING_SHARE_LIMITER_H_
