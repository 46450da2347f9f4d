#ifndef LIB_CONTROL_CONFIG_SYNC_H_
#define LIB_CONTROL_CONFIG_SYNC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/config/head_poll_scheduler.h"
#include "lib/config/log.h"
#include "lib/config/messages.h"
#include "lib/config/replica.h"
#include "lib/freshness/confirmation_tracker.h"
#include "lib/freshness/freshness.h"
#include "lib/membership/membership.h"
#include "lib/rpc/peer_client.h"

namespace applestand {

/// The result of ConfigSync::Append.
struct ChangeResult {
  AppendOutcome outcome;
  /// True if enough hosts hold the change for it to count as accepted (see
  /// ConfirmationTracker).
  bool accepted = false;
  /// All hosts that are known to hold the change.
  std::vector<HostId> confirmed_by;
};

/// Keeps this host's copy of the configuration up to date with the
/// configuration log in the platform's table service (the store): reads the
/// log's head, fetches missing changes from the store or from peers, appends
/// changes and pushes them to peers.
///
/// Single-threaded: all methods are called, and all callbacks run, on the
/// thread of the event loop. Store calls block, so they run on workers.
class ConfigSync {
 public:
  struct Options {
    HostId self;
    /// Region in which the platform's table service runs.
    RegionId store_region;
    Freshness::Options freshness;
    /// Timeout of a push to a peer, and of a fetch from one.
    Duration push_timeout = std::chrono::seconds(1);
    /// Maximum time for which Append waits until enough hosts have confirmed a
    /// committed change.
    Duration confirm_timeout = std::chrono::seconds(3);
    /// Seed of the random delays between reads of the head. Must differ
    /// between hosts, so that they do not read at the same time.
    uint64_t seed = 0;
  };

  /// The references must outlive this object.
  ConfigSync(Options options,
             const Clock& clock,
             EventLoop& loop,
             PeerClient& caller,
             Membership& membership,
             TableService& table,
             ObjectStore& objects);

  /// Reads the head of the log if a read is due, and completes appended changes
  /// that have been confirmed or timed out. Must be called about every 100 ms.
  void Tick();

  /// Appends a change to the log and pushes it to the live hosts. If `expected`
  /// is set, appends it only if the log is still at that version. `done` runs
  /// on the loop once enough hosts have confirmed the change, `confirm_timeout`
  /// has passed, or the change was not committed.
  void Append(const Change& change,
              std::optional<ConfigVersion> expected,
              std::function<void(ChangeResult)> done);

  /// Applies changes that a peer has pushed and returns the version that this
  /// host now holds. If earlier changes are missing, this is only logged; they
  /// are fetched after a later read of the head or response from a peer.
  ConfigPushReply OnPush(const ConfigPush& push);

  /// Returns what a process at `held_version` lacks, with this host's evidence.
  ConfigFetchReply UpdateSince(ConfigVersion held_version) const;

  /// Called when `peer` responded to a request that was sent at `sent_at`; the
  /// age of the evidence is counted from that time. Ignores the attestation of
  /// a peer outside the store's region. Fetches changes from `peer` if this
  /// host lacks some.
  void OnPeerResponse(const HostRecord& peer,
                      TimePoint sent_at,
                      const std::optional<HeadEvidence>& evidence,
                      const std::optional<Attestation>& attestation);

  /// Returns the evidence to put into responses, or std::nullopt if this host
  /// has none.
  std::optional<HeadEvidence> Evidence() const;

  /// Returns the attestation to put into responses to peers, or std::nullopt if
  /// `own_region` is not the store's region or this host may not attest (see
  /// Freshness).
  std::optional<Attestation> MakeAttestation(const RegionId& own_region) const;

  const ConfigState& state() const { return m_replica.state(); }

  /// Returns whether the configuration is recent enough to serve routes that
  /// require a key.
  bool IsFresh() const;

 private:
  struct PendingChange {
    ChangeResult result;
    TimePoint confirm_deadline;
    std::function<void(ChangeResult)> done;
  };

  void OnHeadRead(TimePoint sent_at,
                  const std::optional<LogHead>& head,
                  const std::optional<ConfigFetchReply>& update);
  void OnAppended(Change change,
                  const AppendOutcome& outcome,
                  std::function<void(ChangeResult)> done);
  void Push(const Change& change);
  void FetchFrom(const HostRecord& peer);
  void RecordAppliedVersion();
  void RecordStoreAvailability(bool available);
  void LogFreshnessChange();
  void CompletePending();

  const Options m_options;
  const Clock& m_clock;
  EventLoop& m_loop;
  PeerClient& m_caller;
  Membership& m_membership;
  ConfigReplica m_replica;
  HeadPollScheduler m_head_poll_scheduler;
  Freshness m_freshness;
  ConfirmationTracker m_confirmations;
  std::vector<PendingChange> m_pending_changes;
  bool m_fetching = false;
  bool m_store_available = true;
  bool m_was_fresh = false;
  // Used only on m_read_worker.
  ConfigLog m_read_log;
  ConfigReplica m_store_replica;
  // Used only on m_append_worker.
  ConfigLog m_append_log;
  // Declared last, so that their threads end before the members that they use
  // are destroyed.
  Worker m_read_worker;
  Worker m_append_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_CONFIG_SYNC_H_
