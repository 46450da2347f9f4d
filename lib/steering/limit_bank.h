#ifndef LIB_STEERING_LIMIT_BANK_H_
#define LIB_STEERING_LIMIT_BANK_H_

#include <map>
#include <optional>

#include "lib/codec/codec.h"
#include "lib/steering/share_limiter.h"

namespace applestand {

/// A time on a bank's clock, which only that run of it understands.
struct BankStamp {
  HostId bank;
  Incarnation incarnation;
  /// Microseconds on the bank's boot clock.
  int64_t time_us = 0;

  MSGPACK_DEFINE(bank, incarnation, time_us)
};

/// Shares of limits are small where hosts are many, and requests come unevenly.
/// So the hosts of a region leave most of their shares to one of them, the
/// bank, which grants requests to whoever has them.
///
/// A host hands its share over by returning a stamp that the bank gave it: the
/// bank uses the share until a fixed time after the stamp, by its own clock;
/// the host leaves it alone for as long after it received the stamp, which is
/// later. Delayed messages thus never let both use it.
struct BankRules {
  /// Part of each host's share that it leaves to the bank.
  static constexpr double kPooledPart = 0.75;
  /// Time for which a share is left to the bank after a stamp.
  static constexpr Duration kPledge = std::chrono::milliseconds(900);
};

/// The bank's side. Not thread-safe.
class LimitBank {
 public:
  LimitBank(const ShareBounds& bounds, const HostId& self, Incarnation run)
      : m_self(self), m_run(run), m_pool(bounds) {}

  void Prepare(const ServingAccounts& accounts, TimePoint now) {
    m_pool.Prepare(accounts, now);
  }
  /// Number of hosts that share limits; 0: not known, nothing is granted.
  void SetHosts(uint32_t hosts) { m_hosts = hosts; }

  /// `host` leaves its share to this bank, as far as `stamp` is one of its own.
  void OnPledge(const HostId& host, const BankStamp& stamp, TimePoint now);
  /// Takes requests out of the pool.
  uint32_t Take(const ServingAccount& account, uint32_t want, TimePoint now);
  Duration WaitFor(const ServingAccount& account, TimePoint now);
  BankStamp Stamp(TimePoint now) const;
  /// Gives all shares back; hosts may be told so.
  void Close(TimePoint now);
  /// Hosts whose share is used here, this one included.
  size_t Pledged(TimePoint now);

 private:
  void UpdatePart(TimePoint now);

  const HostId m_self;
  const Incarnation m_run;
  ShareLimiter m_pool;
  uint32_t m_hosts = 0;
  bool m_closed = false;
  std::map<HostId, TimePoint> m_pledges;
};

/// The side of a host that leaves its share to a bank. Not thread-safe.
class LimitPledge {
 public:
  /// The bank gave this stamp; `now` is when it came.
  void OnStamp(const BankStamp& stamp, TimePoint now);
  /// The bank has given the share back.
  void OnReleased(const HostId& bank);
  /// The stamp to return to `bank`, by which the share is left to it; nothing
  /// where there is none, or another bank still has the share.
  std::optional<BankStamp> Pledge(const HostId& bank, TimePoint now);
  /// Whether some bank may be using the share.
  bool Pledged(TimePoint now) const { return now < m_pledged_until; }

 private:
  std::optional<BankStamp> m_stamp;
  TimePoint m_stamp_came;
  HostId m_bank;
  TimePoint m_pledged_until = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_STEERING_LIMIT_BANK_H_
