#ifndef LIB_CONTROL_CONFIG_SYNC_H_
#define LIB_CONTROL_CONFIG_SYNC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/config/head_watch.h"
#include "lib/config/log.h"
#include "lib/config/messages.h"
#include "lib/config/replica.h"
#include "lib/freshness/confirmation_tracker.h"
#include "lib/freshness/freshness.h"
#include "lib/membership/membership.h"
#include "lib/rpc/peer_caller.h"

namespace applestand {

/// What an operator learns about a change.
struct ChangeResult {
  AppendOutcome outcome;
  /// Enough hosts hold the change for it to count as accepted.
  bool accepted = false;
  std::vector<HostId> confirmed_by;
};

/// Keeps this host's configuration equal to the log: reads the head, catches
/// up from the store or from peers, appends changes and pushes them.
/// Single-threaded: lives on one event loop; store calls run on workers.
class ConfigSync {
 public:
  struct Options {
    HostId self;
    /// Region of the platform's table service.
    RegionId store_region;
    Freshness::Options freshness;
    Duration push_timeout = std::chrono::seconds(1);
    /// Longest wait for hosts to confirm an accepted change.
    Duration confirm_timeout = std::chrono::seconds(3);
    uint64_t seed = 0;
  };

  ConfigSync(Options options,
             const Clock& clock,
             EventLoop& loop,
             PeerCaller& caller,
             Membership& membership,
             TableService& table,
             ObjectStore& objects);

  /// Reads the head where that is due. Call about every 100 ms.
  void Tick();

  /// Appends a change to the log and pushes it; `done` runs on the loop.
  void Append(const Change& change,
              std::optional<ConfigVersion> expected,
              std::function<void(ChangeResult)> done);

  /// A peer has pushed changes.
  ConfigPushReply OnPush(const ConfigPush& push);

  /// Answers a process that is at `have`.
  ConfigFetchReply UpdateSince(ConfigVersion have) const;

  /// An answer from `peer` to a question sent at `asked` carried these.
  void OnPeerNews(const HostRecord& peer,
                  TimePoint asked,
                  const std::optional<HeadEvidence>& evidence,
                  const std::optional<Attestation>& attestation);

  /// What this host may add to its answers.
  std::optional<HeadEvidence> Evidence() const;
  std::optional<Attestation> MakeAttestation(const RegionId& own_region) const;

  const ConfigState& state() const { return m_replica.state(); }
  bool IsFresh() const;

 private:
  struct PendingChange {
    ChangeResult result;
    TimePoint give_up;
    std::function<void(ChangeResult)> done;
  };

  void OnHeadRead(TimePoint asked,
                  const std::optional<LogHead>& head,
                  const std::optional<ConfigFetchReply>& update);
  void OnAppended(Change change,
                  const AppendOutcome& outcome,
                  std::function<void(ChangeResult)> done);
  void Push(const Change& change);
  void FetchFrom(const HostRecord& peer);
  void NoteApplied();
  void NoteStore(bool available);
  void NoteFreshness();
  void CompletePending();

  const Options m_options;
  const Clock& m_clock;
  EventLoop& m_loop;
  PeerCaller& m_caller;
  Membership& m_membership;
  ConfigReplica m_replica;
  HeadWatch m_watch;
  Freshness m_freshness;
  ConfirmationTracker m_confirmations;
  std::vector<PendingChange> m_pending;
  bool m_fetching = false;
  bool m_store_available = true;
  bool m_was_fresh = false;
  // Touched by the read worker only.
  ConfigLog m_read_log;
  ConfigReplica m_stored;
  // Touched by the append worker only.
  ConfigLog m_append_log;
  // Last members: their threads end before what they use is destroyed.
  Worker m_read_worker;
  Worker m_append_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_CONFIG_SYNC_H_
