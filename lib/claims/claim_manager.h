#ifndef LIB_CLAIMS_CLAIM_MANAGER_H_
#define LIB_CLAIMS_CLAIM_MANAGER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/claims/claim.h"
#include "lib/claims/claim_store_call.h"

namespace applestand {

/// Identifies one arrival of a request; assigned by the owner of the
/// ClaimManager and never reused.
using ClaimRequestId = Counter<struct ClaimRequestTag>;

struct ClaimOptions {
  /// Maximum number of rows in one transaction.
  size_t max_batch = 64;
  /// Minimum time between the starts of two transactions with fewer than
  /// `max_batch` rows.
  Duration min_write_interval = std::chrono::milliseconds(40);
  /// As `min_write_interval`, for a transaction without claims. Outcomes and
  /// releases wait this long to share a transaction with claims. If the host
  /// crashes in the meantime, the outcome remains unknown.
  Duration min_background_write_interval = std::chrono::milliseconds(200);
  /// Maximum number of concurrent calls to the table and the object store.
  size_t max_in_flight = 4;
  /// Maximum time that a request waits for its claim; after it, the request is
  /// rejected as not run.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Time without calls to a store (the table or the object store) after it was
  /// unavailable.
  Duration store_backoff = std::chrono::milliseconds(250);
  /// Value of `retry_after` for kInDoubt and kOutcomeUnavailable.
  Duration in_doubt_retry_after = std::chrono::seconds(5);
  /// Value of `retry_after` for kUnavailable.
  Duration unavailable_retry_after = std::chrono::seconds(2);
  /// Larger bodies are stored in the object store instead of the row.
  size_t max_inline_body_bytes = 4096;
  /// Larger bodies are not recorded.
  size_t max_body_bytes = size_t{8} << 20;
  /// Maximum total size of the bodies that wait in memory to be recorded.
  size_t max_pending_body_bytes = size_t{64} << 20;
  /// Maximum number of claims in memory.
  size_t max_entries = 20000;
};

/// One arrival of a request on a route whose requests must run at most once.
struct ClaimRequest {
  ClaimRequestId id;
  ClientAccountId account;
  IdempotencyKey key;
  RequestHash hash;
  /// No attempt starts at or after this time.
  TimePoint deadline;
  /// Wall-clock time of the arrival; recorded as the creation time of the
  /// claim.
  int64_t received_unix_ms = 0;
};

/// Tells the owner of the ClaimManager how to handle one arrival. Each Begin
/// results in exactly one event.
struct ClaimEvent {
  enum class Kind {
    /// The claim is held. The owner forwards the request, calls MaySend
    /// immediately before each attempt, and calls Finish at the end.
    kGranted,
    /// The request ran before; `outcome` is the recorded response. Ran: yes.
    kRecorded,
    /// The request ran before, but its response was not recorded in full or
    /// cannot be read at present. Ran: yes.
    kOutcomeUnavailable,
    /// Another arrival holds or may hold the claim, and its outcome is unknown.
    /// Ran: unknown.
    kInDoubt,
    /// The idempotency key was used for a different request: 409. Ran: no.
    kConflict,
    /// No claim was obtained, because the table is unavailable or a time or
    /// memory limit was reached: 503. Ran: no. This refers to this arrival
    /// only. Whether an earlier arrival ran cannot be known without the table.
    kUnavailable,
  };

  Kind kind = Kind::kUnavailable;
  ClaimRequestId request;
  Ran ran = Ran::kNotRun;
  /// Delay after which the caller should retry; zero if a retry is useless.
  Duration retry_after{};
  /// kGranted: no attempt may start at or after this time.
  TimePoint send_deadline;
  /// kRecorded: the recorded response, with its body.
  ClaimOutcome outcome;
};

struct ClaimCounters {
  uint64_t granted = 0;
  uint64_t recorded = 0;
  uint64_t in_doubt = 0;
  uint64_t conflicts = 0;
  uint64_t unavailable = 0;
  uint64_t transactions = 0;
  uint64_t rows_written = 0;
  uint64_t transaction_conflicts = 0;
  /// Outcomes that were not recorded in full: either the body was omitted, or
  /// the row no longer held the claim and the whole outcome was dropped.
  uint64_t outcomes_dropped = 0;
};

/// Decides which requests may be sent to a target, and records the outcomes of
/// those that were. Performs no I/O itself: the owner of this object executes
/// the store calls that it requests.
///
/// The owner, in the entry process,
///  - calls Begin once per arrival;
///  - after each Begin, Finish and OnResult, and at NextWakeup, calls
///    NextStoreCall until it returns std::nullopt, runs Execute for each call
///    on a worker thread, and passes the result to OnResult;
///  - after each of these, calls TakeEvents and handles each event;
///  - for each kGranted, calls MaySend immediately before each attempt and
///    makes no attempt if it returns false, and calls Finish exactly once, with
///    kNotRun only if every attempt ended in kNotRun;
///  - at a planned shutdown, continues until Idle returns true.
///
/// Writes use group commit: claims, outcomes and releases of many requests
/// share a transaction. If a condition of a transaction fails or its result is
/// lost, each of its rows is read back, and the claim ids tell how the write
/// ended. An arrival whose claim is still unresolved at its deadline, or after
/// ClaimOptions::claim_timeout, is rejected as not run. Its claim is then
/// abandoned: the manager continues in the background until the row is released
/// or the lost write can no longer take effect.
///
/// Not thread-safe; all calls must come from one event loop.
class ClaimManager {
 public:
  /// Precondition: no other ClaimManager ever had the same host and
  /// incarnation, because they make the claim ids unique.
  ClaimManager(ClaimOptions options, HostId host, Incarnation incarnation);

  /// Requests a claim for an arrival. Precondition: `request.id` was not used
  /// before.
  void Begin(ClaimRequest request, TimePoint now);

  /// Returns whether the first byte of an attempt may be sent now. Returns
  /// false from the deadline on; the owner must then make no attempt.
  /// Precondition: the claim of `request` was granted and Finish was not
  /// called.
  [[nodiscard]] bool MaySend(ClaimRequestId request, TimePoint now);

  /// Ends an arrival whose claim was granted.
  ///  - kNotRun: nothing was sent or what was sent certainly did not run, and
  ///    nothing will be sent; the claim is released.
  ///  - kRan: `outcome` is recorded.
  ///  - kMayHaveRun: the row remains claimed permanently.
  /// Precondition: the claim of `request` was granted and Finish was not
  /// called; `outcome` is present if and only if `ran` is kRan.
  void Finish(ClaimRequestId request,
              Ran ran,
              std::optional<ClaimOutcome> outcome,
              TimePoint now);

  /// Returns the next store call to execute, or std::nullopt if none is due.
  [[nodiscard]] std::optional<ClaimStoreCall> NextStoreCall(TimePoint now);

  /// Handles the result of a call that NextStoreCall returned. Must be called
  /// exactly once per call.
  void OnResult(const ClaimStoreCallResult& result, TimePoint now);

  /// Returns the events since the last call and removes them.
  [[nodiscard]] std::vector<ClaimEvent> TakeEvents();

  /// Returns the latest time for the next NextStoreCall, or std::nullopt if it
  /// need only be called after another method.
  [[nodiscard]] std::optional<TimePoint> NextWakeup() const;

  /// Returns true if every granted claim was finished and no write, read or
  /// release is outstanding, so that nothing is lost if the process exits.
  bool Idle() const { return m_entries.empty(); }

  const ClaimCounters& counters() const { return m_counters; }

 private:
  using Serial = uint64_t;

  enum class Phase {
    /// The row is being created, or taken over from a released claim. The
    /// caller is waiting.
    kClaiming,
    /// The body of a recorded outcome is being read. The caller is waiting.
    kFetching,
    /// The owner of this object is forwarding the request.
    kGranted,
    /// The outcome is being written.
    kRecording,
    /// The claim is abandoned; its row is being released.
    kReleasing,
  };

  struct Entry {
    Phase phase = Phase::kClaiming;
    ClaimRequestId request;
    std::string row_key;
    /// Value that the next write sets the row to.
    ClaimRow row;
    /// Row version that the next write requires.
    RowVersion expected;
    /// No attempt starts at or after this time.
    TimePoint deadline;
    /// End of the wait for the claim and for the body of a recorded outcome.
    TimePoint claim_deadline;
    /// A write of `submitted_state` is in progress.
    bool writing = false;
    ClaimState submitted_state = ClaimState::kClaimed;
    /// An earlier write that required version `expected` may have taken effect
    /// or may yet do so.
    bool uncertain = false;
    /// Number of transactions with this entry in which a condition failed.
    uint32_t conflicts = 0;
  };

  struct CallInFlight {
    ClaimStoreCall::Kind kind = ClaimStoreCall::Kind::kTransact;
    /// The entries that the call serves.
    std::vector<Serial> serials;
  };

  Entry& Get(Serial serial);
  void Emit(ClaimEvent::Kind kind, const Entry& entry);
  void EmitForRequest(ClaimEvent::Kind kind, ClaimRequestId request);
  void EmitOutcome(ClaimRequestId request, ClaimOutcome outcome);
  bool RespondFromMemory(const ClaimRequest& request);
  void Expire(TimePoint now);
  void Drop(Serial serial);
  void Abandon(Serial serial);
  void Reject(Serial serial);
  void StartRecording(Serial serial, ClaimOutcome outcome);
  void Grant(Serial serial, RowVersion version, TimePoint now);
  void QueueWrite(Serial serial);
  /// Returns when the next transaction may start according to the queues and
  /// the write intervals, or std::nullopt if nothing is queued.
  std::optional<TimePoint> NextWriteTime() const;
  void PopDroppedEntries(std::deque<Serial>& queue) const;

  std::optional<ClaimStoreCall> NextObjectCall(TimePoint now);
  ClaimStoreCall MakeRead();
  ClaimStoreCall MakeWrite(TimePoint now);
  void AddWrites(std::deque<Serial>& queue,
                 size_t limit,
                 ClaimStoreCall& call,
                 std::vector<Serial>& serials);
  ClaimStoreCall StartCall(ClaimStoreCall call, std::vector<Serial> serials);

  void OnWriteResult(TableStatus status, Serial serial, TimePoint now);
  void OnWritten(Serial serial, TimePoint now);
  void OnWriteUnavailable(Serial serial);
  void OnReadResult(const ClaimStoreCallResult& result,
                    Serial serial,
                    TimePoint now);
  void OnObjectResult(const ClaimStoreCallResult& result,
                      Serial serial,
                      TimePoint now);
  void ResolveClaiming(Serial serial, const Row* row, TimePoint now);
  void ResolveOtherClaim(Serial serial, const Row& row);
  void ResolveReleasing(Serial serial, const Row* row);
  void ResolveRecording(Serial serial, const Row* row);

  const ClaimOptions m_options;
  const HostId m_host;
  const Incarnation m_incarnation;
  Serial m_last_serial = 0;
  uint64_t m_last_call_id = 0;
  std::unordered_map<Serial, Entry> m_entries;
  /// Entries that are not abandoned and claim or hold a row of their own, by
  /// row key. A later arrival with the same key on this host is handled from
  /// memory.
  std::unordered_map<std::string, Serial> m_active;
  std::unordered_map<ClaimRequestId, Serial> m_granted;
  /// Abandoned claims whose ids may still be in their rows.
  std::unordered_map<ClaimId, Serial> m_abandoned;
  std::set<std::pair<TimePoint, Serial>> m_deadlines;
  /// Claims to write; callers are waiting for them.
  std::deque<Serial> m_claim_write_queue;
  /// Outcomes and releases to write.
  std::deque<Serial> m_background_write_queue;
  std::deque<Serial> m_read_queue;
  std::deque<Serial> m_object_queue;
  std::unordered_map<uint64_t, CallInFlight> m_calls_in_flight;
  size_t m_object_calls_in_flight = 0;
  std::optional<TimePoint> m_last_write;
  TimePoint m_table_backoff_until;
  TimePoint m_object_backoff_until;
  size_t m_pending_body_bytes = 0;
  std::vector<ClaimEvent> m_events;
  ClaimCounters m_counters;
};

}  // namespace applestand

#endif  // LIB_CLAIMS_CLAIM_MANAGER_H_
