#ifndef LIB_SEATS_SEAT_MANAGER_H_
#define LIB_SEATS_SEAT_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/seats/messages.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// One call to the table service that the owner is to make for SeatManager.
struct SeatAction {
  uint64_t id = 0;
  /// Call Transact with these if not empty, else Read with `read_keys`.
  std::vector<RowWrite> writes;
  std::vector<std::string> read_keys;
};

/// Acquires, renews, balances and releases this host's seats: equal shares of
/// every contract, each held by at most one host at any instant.
///
/// A seat is a lease row in the table service. The holder counts the lease
/// from before its write was sent; others take the seat over only when the row
/// says released, or was seen unchanged for the lease length and a margin by
/// their own clock. No two clocks are compared. Lease lengths come from the
/// row, so hosts with different settings stay safe.
///
/// The owner (the control process) calls, on one thread:
///  - NextAction about every 200 ms and after each result; it runs the action
///    on a thread that may block, and brings the result back with
///    OnTransactResult or OnReadResult. At most one action is outstanding.
///  - Grant after each result and about once a second; it sends a grant to the
///    entry process, and OnGrantApplied when that confirms.
///  - Adopt once after the start if an entry process is already running.
///  - BeginStop on a planned stop, and goes on as above until Stopped.
///
/// Not thread-safe. No I/O. Store outages need nothing from the owner.
class SeatManager {
 public:
  struct Options {
    /// Bounds how long the table may be out without loss of rate, and how long
    /// the share of a dead host stays unused.
    Duration lease = std::chrono::seconds(120);
    /// Age of a lease at which it is renewed.
    Duration renew_interval = std::chrono::seconds(20);
    /// Added to a lease before its seat is taken over; covers clock drift.
    Duration takeover_margin = std::chrono::seconds(3);
    /// A seat is used only this long after it was taken. Must exceed the life
    /// of a loan: loans of the previous holder have then ended.
    Duration settle = std::chrono::milliseconds(2200);
    /// Time between reads of the seat rows.
    Duration poll_interval = std::chrono::seconds(5);
    /// The same while this host owns no seat.
    Duration poll_interval_without_seat = std::chrono::seconds(1);
    /// Pause after a call that the table service did not answer.
    Duration retry_interval = std::chrono::seconds(1);
    /// A free seat waits this long for a host with fewer seats than this one.
    Duration yield_interval = std::chrono::seconds(10);
  };

  /// Precondition: `incarnation` was never used by this host id before;
  /// `seats` is greater than 0 and the same on every host.
  SeatManager(HostId self,
              Incarnation incarnation,
              uint32_t seats,
              Options options);

  /// The next table call, or nothing if none is due or one is outstanding.
  /// `live_hosts` are the hosts that are believed to run, with or without this
  /// one; being wrong costs balance, never safety.
  [[nodiscard]] std::optional<SeatAction> NextAction(
      TimePoint now,
      const std::vector<HostId>& live_hosts);

  /// Result of the outstanding action `action_id`; others are ignored. An
  /// action whose result never comes may be answered with kUnknown.
  void OnTransactResult(TimePoint now, uint64_t action_id, TableStatus status);
  void OnReadResult(TimePoint now,
                    uint64_t action_id,
                    const ReadResult& result);

  /// The seats that the entry process may use. The generation changes whenever
  /// the contents do.
  [[nodiscard]] SeatGrant Grant(TimePoint now);

  /// The entry process applied a grant. A seat is handed on only after the
  /// entry process confirmed a grant without it, or after its lease has ended.
  /// An owner that knows that no entry process runs may confirm itself.
  void OnGrantApplied(const SeatGrantApplied& applied);

  /// Takes over the seats of an earlier control process of this host.
  /// Preconditions: `grant` is in force in the only entry process of this
  /// machine, which has not rebooted since; called before NextAction.
  void Adopt(TimePoint now, const SeatGrant& grant);

  /// Starts to release all seats; none is taken any more.
  void BeginStop();

  /// Whether nothing is left to release.
  bool Stopped(TimePoint now) const;

  /// Number of seats owned now.
  size_t OwnedCount(TimePoint now) const;

 private:
  /// One write that makes or extends a lease.
  struct Attempt {
    uint64_t serial = 0;
    Incarnation incarnation;
    TimePoint sent_at;
  };
  enum class Hold {
    kNone,
    kOwned,
    /// No longer granted; released once the entry process has confirmed.
    kRevoked,
  };
  struct Seat {
    // The row as last read or written.
    bool known = false;
    RowVersion version;
    std::optional<SeatRow> row;
    TimePoint unchanged_since;
    std::optional<TimePoint> free_since;
    // This host's lease.
    Hold hold = Hold::kNone;
    TimePoint from;
    TimePoint until;
    Attempt proof;
    uint64_t revoked_generation = 0;
    // Writes that may still take effect.
    std::vector<Attempt> attempts;
  };
  enum class Kind { kRead, kTake, kRenew, kRelease };
  struct Outstanding {
    uint64_t id = 0;
    Kind kind = Kind::kRead;
    size_t seat = 0;
    Attempt attempt;
    SeatRow row;
  };

  Duration LeaseOf(const Seat& seat) const;
  bool IsFree(const Seat& seat, TimePoint now) const;
  void Expire(TimePoint now);
  SeatAction MakeRead();
  SeatAction MakeWrite(Kind kind, size_t index, TimePoint now);
  std::optional<SeatAction> MakeDueWrite(TimePoint now,
                                         const std::vector<HostId>& live_hosts);
  std::optional<size_t> FindSeatToTake(
      TimePoint now,
      const std::vector<HostId>& live_hosts) const;
  void RevokeSurplus(TimePoint now, const std::vector<HostId>& live_hosts);
  void Revoke(Seat& seat);
  void OnWritten(Seat& seat, const Outstanding& done, TimePoint now);
  void ObserveRow(Seat& seat, const Row* row, TimePoint now);
  void UpdateHold(Seat& seat, TimePoint now);
  void Own(Seat& seat, const Attempt& attempt, TimePoint now);
  std::map<HostId, size_t> CountSeats(const std::vector<HostId>& live_hosts,
                                      TimePoint now) const;

  const HostId m_self;
  const Incarnation m_incarnation;
  const Options m_options;
  std::vector<Seat> m_seats;
  std::optional<Outstanding> m_outstanding;
  uint64_t m_last_action = 0;
  uint64_t m_last_serial = 0;
  uint64_t m_generation = 1;
  uint64_t m_applied_generation = 0;
  std::vector<OwnedSeat> m_granted;
  std::optional<TimePoint> m_next_read;
  std::optional<TimePoint> m_next_write;
  std::optional<TimePoint> m_next_revoke;
  bool m_stopping = false;
};

}  // namespace applestand

#endif  // LIB_SEATS_SEAT_MANAGER_H_
