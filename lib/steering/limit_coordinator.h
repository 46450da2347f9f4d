#ifndef LIB_STEERING_LIMIT_COORDINATOR_H_
#define LIB_STEERING_LIMIT_COORDINATOR_H_

#include <map>
#include <optional>

#include "lib/codec/codec.h"
#include "lib/steering/share_limiter.h"

namespace applestand {

/// A time on the clock of a limit coordinator. Only the incarnation that issued
/// it can interpret it.
struct DelegationStamp {
  HostId coordinator;
  Incarnation incarnation;
  /// Microseconds on the coordinator's boot clock.
  int64_t time_us = 0;

  MSGPACK_DEFINE(coordinator, incarnation, time_us)
};

/// With many hosts, a host's share of an account's limit is small, while
/// requests arrive unevenly. The hosts of a region therefore delegate most of
/// their shares to one of them, the limit coordinator, which grants tokens from
/// the pooled shares to the hosts that have requests.
///
/// A host delegates its share by returning a stamp that the coordinator issued.
/// The coordinator uses the delegated part until kDelegationLease after the
/// stamp, on its own clock. The host does not use it until kDelegationLease
/// after it received the stamp, which is later. Delayed messages thus never let
/// both use it at the same time.
struct DelegationRules {
  /// Fraction of each host's share that it delegates.
  static constexpr double kPooledFraction = 0.75;
  /// Time for which a share is delegated, counted from the stamp.
  static constexpr Duration kDelegationLease = std::chrono::milliseconds(900);
};

/// Grants tokens from the shares that hosts have delegated to this host. Not
/// thread-safe.
class LimitCoordinator {
 public:
  LimitCoordinator(const ShareBounds& bounds,
                   const HostId& self,
                   Incarnation incarnation)
      : m_self(self), m_incarnation(incarnation), m_pool(bounds) {}

  /// Must be called for each new configuration; see ShareLimiter::Prepare().
  void Prepare(const ServingAccounts& accounts, TimePoint now) {
    m_pool.Prepare(accounts, now);
  }
  /// Sets the number of hosts among which limits are divided. No token is
  /// granted while it is 0 (unknown).
  void SetHosts(uint32_t hosts) { m_hosts = hosts; }

  /// Called when `host` delegates its share. Ignored if this incarnation did
  /// not issue `stamp`, if the lease has expired, or after Close(). Returns
  /// whether the delegation was accepted.
  bool OnDelegation(const HostId& host,
                    const DelegationStamp& stamp,
                    TimePoint now);
  /// Adds the pooled part of one host's start tokens to the pool, see
  /// ShareLimiter::AddStartTokens(). To be called once for each process, whose
  /// share must be in the pool.
  void AddStartTokens(TimePoint now);
  /// Takes up to `want` tokens of the account from the pool and returns how
  /// many it took. Precondition: the account has a limit.
  uint32_t Take(const ServingAccount& account, uint32_t want, TimePoint now);
  /// Returns the time until one more token of the account may be available.
  Duration WaitFor(const ServingAccount& account, TimePoint now);
  /// Returns a stamp that a host may use to delegate its share.
  DelegationStamp IssueStamp(TimePoint now) const;
  /// Releases all shares for good. Afterwards hosts may be told that they can
  /// use their shares again.
  void Close(TimePoint now);
  /// Returns the number of hosts whose share is in the pool, including this
  /// host.
  size_t DelegatedHosts(TimePoint now);

 private:
  void UpdateShare(TimePoint now);

  const HostId m_self;
  const Incarnation m_incarnation;
  ShareLimiter m_pool;
  uint32_t m_hosts = 0;
  bool m_closed = false;
  // End of each host's lease.
  std::map<HostId, TimePoint> m_delegations;
};

/// Tracks to which limit coordinator a host has delegated its share. Not
/// thread-safe.
class ShareDelegation {
 public:
  /// Called when a stamp issued by a coordinator arrives; `now` is the time of
  /// its arrival.
  void OnStamp(const DelegationStamp& stamp, TimePoint now);
  /// Called when the coordinator has released the share.
  void OnReleased(const HostId& coordinator);
  /// Delegates the share and returns the stamp to send to `coordinator`.
  /// Returns std::nullopt if there is no valid stamp of that coordinator, or if
  /// the share is still delegated to another one.
  std::optional<DelegationStamp> Delegate(const HostId& coordinator,
                                          TimePoint now);
  /// Returns whether a coordinator may be using the share.
  bool IsDelegated(TimePoint now) const { return now < m_delegated_until; }

 private:
  std::optional<DelegationStamp> m_stamp;
  TimePoint m_stamp_received_at;
  HostId m_coordinator;
  TimePoint m_delegated_until = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_STEERING_LIMIT_COORDINATOR_H_
