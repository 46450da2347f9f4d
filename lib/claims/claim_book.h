#ifndef LIB_CLAIMS_CLAIM_BOOK_H_
#define LIB_CLAIMS_CLAIM_BOOK_H_

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
#include "lib/claims/work.h"

namespace applestand {

/// The owner's name for one arrival of a request; never used twice.
using ClaimRequestId = Counter<struct ClaimRequestTag>;

struct ClaimOptions {
  /// Rows in one transaction.
  size_t max_batch = 64;
  /// Shortest time between the starts of two transactions that are not full.
  Duration write_spacing = std::chrono::milliseconds(40);
  /// The same for a transaction without a claim: outcomes and releases wait so
  /// long for claims to go with. A host that dies meanwhile leaves the outcome
  /// unknown.
  Duration background_write_spacing = std::chrono::milliseconds(200);
  /// Calls to the platform that may be open at once.
  size_t max_in_flight = 4;
  /// Longest wait for a claim; the request is refused as not run after it.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Time without calls after the platform refused one.
  Duration store_backoff = std::chrono::milliseconds(250);
  /// When a caller is to come back after kInDoubt and kOutcomeUnread.
  Duration in_doubt_retry_after = std::chrono::seconds(5);
  /// When a caller is to come back after kUnavailable.
  Duration unavailable_retry_after = std::chrono::seconds(2);
  /// Larger bodies go to the object store.
  size_t max_inline_body_bytes = 4096;
  /// Larger bodies are not kept.
  size_t max_body_bytes = size_t{8} << 20;
  /// Bodies held in memory until they are recorded, in sum.
  size_t max_held_bytes = size_t{64} << 20;
  /// Claims held in memory, in sum.
  size_t max_entries = 20000;
};

/// One arrival of a request on a route that may not be repeated.
struct ClaimRequest {
  ClaimRequestId id;
  ClientAccountId account;
  IdempotencyKey key;
  RequestHash hash;
  /// No byte goes to a target after it.
  TimePoint deadline;
  /// Wall-clock time, shown to operators.
  int64_t received_unix_ms = 0;
};

/// What the owner is to do with one arrival. Each Begin is answered by exactly
/// one event.
struct ClaimEvent {
  enum class Kind {
    /// The claim is held: forward the request, calling MaySend just before
    /// each attempt, and end with Finish.
    kGranted,
    /// The request ran before: pass `outcome` on. Ran: yes.
    kRecorded,
    /// The request ran before, but its answer cannot be had (now). Ran: yes.
    kOutcomeUnread,
    /// Another arrival holds the claim and no outcome is known. Ran: unknown.
    kInDoubt,
    /// The key was used for another request: 409. Ran: no.
    kConflict,
    /// The table cannot be asked: 503. Ran: no, which speaks of this arrival
    /// only; whether an earlier one ran cannot be known without the table.
    kUnavailable,
  };

  Kind kind = Kind::kUnavailable;
  ClaimRequestId request;
  Ran ran = Ran::kNotRun;
  /// When the caller is to come back; zero: not worth it.
  Duration retry_after{};
  /// kGranted: no byte may leave at or after this time.
  TimePoint send_by;
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
  uint64_t batch_conflicts = 0;
  /// Outcomes that could not be kept; their rows stay in state claimed.
  uint64_t outcomes_dropped = 0;
};

/// Decides which requests may be sent, and keeps the outcomes of those that
/// were. Pure: the owner makes the platform calls it asks for.
///
/// Owner's duties, in the entry process:
///  - once per arrival: Begin;
///  - after each Begin, Finish and OnResult, and at NextWakeup: NextWork until
///    it returns nothing, each call run by Execute on a worker thread, its
///    result given to OnResult;
///  - after each of these: TakeEvents, and act on each event;
///  - for each kGranted: MaySend directly before each attempt (where it returns
///    false: no attempt), and Finish exactly once, with kNotRun only where
///    every attempt ended in kNotRun;
///  - at a planned stop: go on until Idle.
///
/// Writes are committed in groups: creates, outcomes and releases of many
/// requests share a transaction. A transaction whose condition failed, or whose
/// answer was lost, is resolved row by row by reading back the claim ids.
/// An arrival whose claim stays unresolved until its deadline is refused as not
/// run; its claim id is then dead, and the book goes on in the background until
/// the row is released or the lost write can no longer take effect.
///
/// Thread safety: none; one event loop owns it.
class ClaimBook {
 public:
  /// Precondition: no other book ever had the same host and incarnation.
  ClaimBook(ClaimOptions options, HostId host, Incarnation incarnation);

  /// Starts an arrival. Precondition: `request.id` was not used before.
  void Begin(ClaimRequest request, TimePoint now);

  /// Whether the first byte of an attempt may leave now. False past the
  /// deadline; the owner then makes no attempt. Precondition: granted and not
  /// finished.
  [[nodiscard]] bool MaySend(ClaimRequestId request, TimePoint now);

  /// Ends a granted arrival. kNotRun: nothing was sent, or surely not run, and
  /// nothing will be; the claim is released. kRan: `outcome` is recorded.
  /// kMayHaveRun: the row stays claimed, for good.
  /// Precondition: granted and not finished; `outcome` present iff kRan.
  void Finish(ClaimRequestId request,
              Ran ran,
              std::optional<ClaimOutcome> outcome,
              TimePoint now);

  /// The next platform call to make, if any is due.
  [[nodiscard]] std::optional<ClaimWork> NextWork(TimePoint now);

  /// Takes the result of a call that NextWork returned; each exactly once.
  void OnResult(const ClaimWorkResult& result, TimePoint now);

  /// Returns and forgets the events since the last call.
  [[nodiscard]] std::vector<ClaimEvent> TakeEvents();

  /// When NextWork is to be called at the latest; nothing: after a call only.
  [[nodiscard]] std::optional<TimePoint> NextWakeup() const;

  /// Whether nothing is held in memory that the table does not know.
  bool Idle() const { return m_entries.empty(); }

  const ClaimCounters& counters() const { return m_counters; }

 private:
  using Serial = uint64_t;

  enum class Phase {
    /// The row is being created or taken over; the caller waits.
    kClaiming,
    /// The outcome's body is being read; the caller waits.
    kFetching,
    /// The owner forwards the request.
    kGranted,
    /// The outcome is being written.
    kRecording,
    /// The claim is dead; its row is being released.
    kReleasing,
  };

  struct Entry {
    Phase phase = Phase::kClaiming;
    ClaimRequestId request;
    std::string row_key;
    /// What the next write sets the row to.
    ClaimRow row;
    /// Version that the row must have for that write.
    RowVersion expected;
    /// No byte leaves after it.
    TimePoint deadline;
    /// The caller waits no longer.
    TimePoint claim_by;
    /// A write is under way, which sets `submitted_state`.
    bool writing = false;
    ClaimState submitted_state = ClaimState::kClaimed;
    /// An earlier write at `expected` may have taken, or yet take, effect.
    bool uncertain = false;
    /// Transactions with this entry that failed on a condition.
    uint32_t conflicts = 0;
  };

  /// A call under way.
  struct OpenCall {
    ClaimWork::Kind kind = ClaimWork::Kind::kTransact;
    std::vector<Serial> serials;
  };

  Entry& Get(Serial serial);
  void Emit(ClaimEvent::Kind kind, const Entry& entry);
  void EmitFor(ClaimEvent::Kind kind, ClaimRequestId request);
  void EmitOutcome(ClaimRequestId request, ClaimOutcome outcome);
  bool AnswerFromMemory(const ClaimRequest& request);
  void Expire(TimePoint now);
  void Drop(Serial serial);
  void Abandon(Serial serial);
  void Refuse(Serial serial);
  void StartRecord(Serial serial, ClaimOutcome outcome);
  void Grant(Serial serial, RowVersion version, TimePoint now);
  void QueueWrite(Serial serial);
  /// When the next transaction may start, queues and spacing considered.
  std::optional<TimePoint> NextWriteTime() const;
  void ForgetDropped(std::deque<Serial>& queue) const;

  std::optional<ClaimWork> NextObjectCall(TimePoint now);
  ClaimWork MakeRead();
  ClaimWork MakeWrite(TimePoint now);
  void TakeWrites(std::deque<Serial>& queue,
                  size_t limit,
                  ClaimWork& work,
                  std::vector<Serial>& serials);
  ClaimWork Open(ClaimWork work, std::vector<Serial> serials);

  void OnWriteResult(TableStatus status, Serial serial, TimePoint now);
  void OnWritten(Serial serial, TimePoint now);
  void OnWriteRefused(Serial serial);
  void OnReadResult(const ClaimWorkResult& result,
                    Serial serial,
                    TimePoint now);
  void OnObjectResult(const ClaimWorkResult& result,
                      Serial serial,
                      TimePoint now);
  void ResolveClaiming(Serial serial, const Row* row, TimePoint now);
  void ResolveForeign(Serial serial, const Row& row);
  void ResolveReleasing(Serial serial, const Row* row);
  void ResolveRecording(Serial serial, const Row* row);

  const ClaimOptions m_options;
  const HostId m_host;
  const Incarnation m_incarnation;
  Serial m_last_serial = 0;
  uint64_t m_last_work = 0;
  std::unordered_map<Serial, Entry> m_entries;
  /// Entries whose caller waits or whose request was granted, by row.
  std::unordered_map<std::string, Serial> m_live;
  std::unordered_map<ClaimRequestId, Serial> m_granted;
  /// Dead claims whose rows may still name them.
  std::unordered_map<ClaimId, Serial> m_dead;
  std::set<std::pair<TimePoint, Serial>> m_deadlines;
  /// Claims to write, which callers wait for.
  std::deque<Serial> m_writes;
  /// Outcomes and releases to write.
  std::deque<Serial> m_background_writes;
  std::deque<Serial> m_reads;
  std::deque<Serial> m_objects;
  std::unordered_map<uint64_t, OpenCall> m_open;
  size_t m_open_objects = 0;
  std::optional<TimePoint> m_last_write;
  TimePoint m_table_backoff_until;
  TimePoint m_object_backoff_until;
  size_t m_held_bytes = 0;
  std::vector<ClaimEvent> m_events;
  ClaimCounters m_counters;
};

}  // namespace applestand

#endif  // LIB_CLAIMS_CLAIM_BOOK_H_
