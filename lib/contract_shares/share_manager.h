#ifndef LIB_CONTRACT_SHARES_SHARE_MANAGER_H_
#define LIB_CONTRACT_SHARES_SHARE_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/contract_shares/messages.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// A call to the table service that the owner of a ShareManager must make.
struct ShareAction {
  uint64_t id = 0;
  /// If not empty, call Transact with these; otherwise call Read with
  /// `read_keys`.
  std::vector<RowWrite> writes;
  std::vector<std::string> read_keys;
};

/// Acquires, renews, balances and releases this host's contract shares. Every
/// contract is divided into the same number of equal shares; a share stands for
/// that part of every contract and is held by at most one host at any time.
///
/// Each share has a row in the table service that states its lease. The holder
/// counts the lease from before it sent the write. Another host takes the share
/// over only if the row says that it was released, or if the row did not change
/// for the lease length plus a margin, measured with that host's own clock.
/// Clocks of different hosts are never compared. Lease lengths are read from
/// the row, so hosts with different settings remain safe.
///
/// The owner (the control process) calls, on one thread:
///  - NextAction about every 200 ms and after each result. It runs the action
///    on a thread that may block and passes the result to OnTransactResult or
///    OnReadResult. At most one action is outstanding.
///  - Grant after each result and about once a second. It sends the grant to
///    the entry process and calls OnGrantApplied when that process confirms it.
///  - Adopt once after the start if an entry process is already running.
///  - BeginStop on a planned stop, then continues as above until Stopped.
///
/// Not thread-safe. Performs no I/O. The owner need not handle outages of the
/// table service.
class ShareManager {
 public:
  struct Options {
    /// Bounds how long the table may be unavailable before hosts lose rate, and
    /// how long the shares of a failed host stay unused.
    Duration lease = std::chrono::seconds(120);
    /// Age at which a lease is renewed. Must be less than `lease`.
    Duration renew_interval = std::chrono::seconds(20);
    /// Added to another host's lease before its share is taken over. Covers
    /// clock drift.
    Duration takeover_margin = std::chrono::seconds(3);
    /// Time after acquiring a share before it may be used. Must exceed the
    /// duration of a loan between hosts, so that loans made by the previous
    /// holder have ended.
    Duration activation_delay = std::chrono::milliseconds(2200);
    /// Interval between reads of the share rows.
    Duration poll_interval = std::chrono::seconds(5);
    /// Interval between reads of the share rows while this host owns no share.
    Duration poll_interval_without_share = std::chrono::seconds(1);
    /// Pause after a failed read, and after a write that failed for another
    /// reason than a version conflict.
    Duration retry_interval = std::chrono::seconds(1);
    /// Time for which this host leaves a free share to hosts that own fewer
    /// shares.
    Duration yield_interval = std::chrono::seconds(10);
  };

  /// Preconditions: `incarnation` was never used by this host id before;
  /// `shares`, the number of shares of every contract, is greater than 0 and
  /// the same on every host.
  ShareManager(HostId self,
               Incarnation incarnation,
               uint32_t shares,
               Options options);

  /// Returns the next table call, or std::nullopt if none is due or one is
  /// outstanding. `live_hosts` are the hosts that are believed to run, with or
  /// without this one. If it is wrong, shares may be distributed unevenly, but
  /// a share still has at most one holder.
  [[nodiscard]] std::optional<ShareAction> NextAction(
      TimePoint now,
      const std::vector<HostId>& live_hosts);

  /// Handles the result of the outstanding action. Results with another
  /// `action_id` are ignored. If the result of an action will never arrive, the
  /// owner may pass TableStatus::kUnknown.
  void OnTransactResult(TimePoint now, uint64_t action_id, TableStatus status);
  void OnReadResult(TimePoint now,
                    uint64_t action_id,
                    const ReadResult& result);

  /// Returns the shares that the entry process may use. The generation
  /// increases whenever the contents change.
  [[nodiscard]] ShareGrant Grant(TimePoint now);

  /// Called when the entry process has applied a grant. A share is released
  /// only after the entry process confirmed a grant without it, or after its
  /// lease has ended. An owner that knows that no entry process runs may
  /// confirm the grant itself.
  void OnGrantApplied(const ShareGrantApplied& applied);

  /// Takes over the shares of an earlier control process of this host, so that
  /// they stay in use.
  /// Preconditions: `grant` is in force in the only entry process of this
  /// machine, which has not rebooted since; called before NextAction.
  void Adopt(TimePoint now, const ShareGrant& grant);

  /// Starts to release all shares. No share is acquired afterwards.
  void BeginStop();

  /// Returns whether BeginStop was called and no share is left to release.
  bool Stopped(TimePoint now) const;

  /// Returns the number of shares owned at `now`.
  size_t OwnedCount(TimePoint now) const;

 private:
  /// A write that acquires or renews a lease.
  struct LeaseWrite {
    uint64_t serial = 0;
    Incarnation incarnation;
    TimePoint sent_at;
  };
  enum class Ownership {
    kNone,
    kOwned,
    /// No longer granted to the entry process; released once that process has
    /// confirmed this or the lease has ended.
    kRevoked,
  };
  struct Share {
    // The row as last read or written. `known` is false until the first read.
    bool known = false;
    RowVersion version;
    // std::nullopt if the row does not exist or is not a valid lease.
    std::optional<ShareRow> row;
    TimePoint unchanged_since;
    std::optional<TimePoint> free_since;
    // This host's own lease.
    Ownership ownership = Ownership::kNone;
    TimePoint from;
    TimePoint until;
    // The write that the row shows as the last one of the lease.
    LeaseWrite confirmed_write;
    // Grants of this generation and later do not contain the share.
    uint64_t revoked_generation = 0;
    // Writes to the row that may still take effect.
    std::vector<LeaseWrite> pending_writes;
  };
  enum class ActionKind { kRead, kAcquire, kRenew, kRelease };
  struct Outstanding {
    uint64_t id = 0;
    ActionKind kind = ActionKind::kRead;
    size_t share = 0;
    LeaseWrite write;
    ShareRow row;
  };

  /// Returns the lease that the row states, or this host's own setting if the
  /// row does not state one.
  Duration LeaseOf(const Share& share) const;
  /// Returns whether this host may acquire the share.
  bool IsFree(const Share& share, TimePoint now) const;
  /// Ends owned leases that have expired, drops pending writes that can no
  /// longer start one, and tracks since when each share is free.
  void ExpireLeases(TimePoint now);
  ShareAction MakeRead();
  ShareAction MakeWrite(ActionKind kind, size_t index, TimePoint now);
  /// Returns the most urgent due write: first a release, then a renewal, then
  /// the acquisition of a free share.
  std::optional<ShareAction> MakeDueWrite(
      TimePoint now,
      const std::vector<HostId>& live_hosts);
  /// Returns a free share to acquire if no live host owns fewer shares than
  /// this one, or if the share has been free for the yield interval.
  std::optional<size_t> FindShareToAcquire(
      TimePoint now,
      const std::vector<HostId>& live_hosts) const;
  /// Revokes one share if this host owns at least two more than another host
  /// and no share is free. Does so at most once per lease length.
  void RevokeSurplus(TimePoint now, const std::vector<HostId>& live_hosts);
  void Revoke(Share& share);
  void OnWritten(Share& share, const Outstanding& done, TimePoint now);
  /// `row` is null if the row does not exist. Ignores a row that is older than
  /// the one known.
  void ObserveRow(Share& share, const Row* row, TimePoint now);
  /// Derives from the row whether this host owns the share.
  void UpdateOwnership(Share& share, TimePoint now);
  /// Starts or extends this host's lease by `write`, which the row confirms.
  void RecordLease(Share& share, const LeaseWrite& write, TimePoint now);
  /// Returns the number of shares of this host and of each live host.
  std::map<HostId, size_t> CountShares(const std::vector<HostId>& live_hosts,
                                       TimePoint now) const;

  const HostId m_self;
  const Incarnation m_incarnation;
  const Options m_options;
  std::vector<Share> m_shares;
  std::optional<Outstanding> m_outstanding;
  uint64_t m_last_action_id = 0;
  uint64_t m_last_serial = 0;
  uint64_t m_generation = 1;
  uint64_t m_applied_generation = 0;
  std::vector<OwnedShare> m_granted;
  std::optional<TimePoint> m_next_read;
  std::optional<TimePoint> m_next_write;
  std::optional<TimePoint> m_next_revoke;
  bool m_stopping = false;
};

}  // namespace applestand

#endif  // LIB_CONTRACT_SHARES_SHARE_MANAGER_H_
