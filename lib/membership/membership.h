#ifndef LIB_MEMBERSHIP_MEMBERSHIP_H_
#define LIB_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/membership/messages.h"

namespace applestand {

/// A host on the platform's list of hosts, which may be out of date.
struct ListedHost {
  HostId host;
  /// "IP:port" of its control process.
  std::string control_address;
  bool leaving = false;
};

/// The state of another host as seen by this host.
enum class HostCondition {
  /// No heartbeat of the host has been received, directly or relayed.
  kUnknown,
  /// A heartbeat has been received recently.
  kLive,
  /// No heartbeat for a short time: receives no new work, but still heartbeats.
  kSuspect,
  /// Announced by the host itself or by the platform's list: receives no new
  /// work.
  kLeaving,
  /// No heartbeat for a long time.
  kDead,
};

/// Detects which hosts are alive by means of heartbeats between control
/// processes (gossip with heartbeat counters), and distributes the records of
/// hosts and the ids of leaving targets with them.
///
/// The platform's list provides addresses to contact and says which hosts are
/// leaving. It never makes a silent host live, nor a host that sends heartbeats
/// dead. Information about a host is ordered by its incarnation and then by its
/// heartbeat counter, so late or repeated messages have no effect. A record of
/// an older incarnation never replaces that of a newer one, even after the host
/// was declared dead (see Options::incarnation_retention).
///
/// The owner calls DueHeartbeats about every `period` / 2 and sends the
/// returned heartbeats. It passes each received Heartbeat to OnHeartbeat and
/// sends the reply, after setting its `evidence` and `attestation`. It passes
/// each received reply to OnHeartbeatReply, and its `evidence` and
/// `attestation`, together with the time before the heartbeat was sent, to
/// Freshness.
///
/// Performs no I/O. Single-threaded: owned by one EventLoop.
class Membership {
 public:
  struct Options {
    /// Time between two rounds of heartbeats.
    Duration period = std::chrono::seconds(1);
    Duration suspect_after = std::chrono::seconds(3);
    Duration dead_after = std::chrono::seconds(10);
    /// Minimum time for which the incarnation of a dead host is remembered.
    Duration incarnation_retention = std::chrono::minutes(30);
    /// If there are at most this many other hosts, all receive heartbeats.
    size_t full_mesh_limit = 32;
    /// Otherwise, the number of hosts in the own availability zone that receive
    /// a heartbeat in each round.
    size_t zone_fanout = 8;
    /// Likewise, the number of hosts in other availability zones.
    size_t remote_fanout = 8;
    /// Maximum number of hosts named in one message. If there are more, the
    /// digests rotate through them.
    size_t digest_limit = 256;
    /// How long a leaving target is announced to other hosts.
    Duration leaving_target_ttl = std::chrono::minutes(10);
  };

  /// `self` is the record of this host.
  Membership(Options options, HostRecord self);

  struct Outgoing {
    /// Empty if only the address is known.
    HostId host;
    std::string address;
    Heartbeat heartbeat;
  };
  /// Returns the heartbeats to send now; empty if none is due.
  [[nodiscard]] std::vector<Outgoing> DueHeartbeats(TimePoint now);

  /// Processes a received heartbeat and returns the reply to send.
  [[nodiscard]] HeartbeatReply OnHeartbeat(const Heartbeat& heartbeat,
                                           TimePoint now);
  void OnHeartbeatReply(const HeartbeatReply& reply, TimePoint now);

  /// Replaces the platform's list of hosts by `hosts`, which must be complete.
  void OnHostList(const std::vector<ListedHost>& hosts, TimePoint now);

  /// Announces to peers that this host is leaving. Cannot be undone in this
  /// incarnation.
  void Leave() { m_self.state = HostState::kLeaving; }
  void SetConfigVersion(ConfigVersion version) {
    m_self.config_version = version;
  }
  /// Records that a target reported that it is leaving.
  void OnTargetLeaving(const TargetId& target, TimePoint now);

  [[nodiscard]] HostCondition ConditionOf(const HostId& host,
                                          TimePoint now) const;

  /// Returns the records of the hosts that may receive new work, ordered by
  /// host id. Includes this host unless it is leaving.
  [[nodiscard]] std::vector<HostRecord> LiveHosts(TimePoint now) const;

  /// Returns the records of the hosts that are leaving but still send
  /// heartbeats, ordered by host id. Includes this host if it is leaving.
  [[nodiscard]] std::vector<HostRecord> LeavingHosts(TimePoint now) const;

  /// Returns the targets that reported to this or another host that they are
  /// leaving.
  [[nodiscard]] std::vector<TargetId> LeavingTargets(TimePoint now) const;

  const HostRecord& self() const { return m_self; }

 private:
  struct Peer {
    /// std::nullopt while the host is only known from a digest or the
    /// platform's list.
    std::optional<HostRecord> record;
    Incarnation incarnation;
    uint64_t counter = 0;
    bool has_heartbeat = false;
    HostState state = HostState::kLive;
    TimePoint last_progress;
    std::string listed_address;
    bool listed = false;
    bool listed_leaving = false;
  };

  /// Returns the peer `host`, adding it if necessary and resetting it if
  /// `incarnation` is newer than the known one. Returns nullptr if
  /// `incarnation` is older or `host` is this host.
  Peer* FindOrAddPeer(const HostId& host, Incarnation incarnation);
  void MergeSender(const HostRecord& sender, uint64_t counter, TimePoint now);
  void Merge(const std::vector<HostHeartbeat>& digest, TimePoint now);
  void Merge(const HostRecord& record);
  void Merge(const std::vector<LeavingTarget>& targets, TimePoint now);
  void Expire(TimePoint now);
  HostCondition ConditionOf(const Peer& peer, TimePoint now) const;
  std::vector<HostRecord> HostsIn(HostCondition condition,
                                  HostState own_state,
                                  TimePoint now) const;
  std::vector<HostHeartbeat> MakeDigest(TimePoint now);
  std::vector<HostRecord> RecordsMissingFrom(const Heartbeat& heartbeat,
                                             TimePoint now) const;
  std::vector<LeavingTarget> LeavingTargetUpdates(TimePoint now) const;
  std::vector<std::pair<HostId, std::string>> ChoosePeers(
      TimePoint now,
      bool include_dead) const;

  Options m_options;
  HostRecord m_self;
  /// This host's heartbeat counter.
  uint64_t m_counter = 0;
  /// Number of rounds of heartbeats sent.
  uint64_t m_rounds = 0;
  std::optional<TimePoint> m_last_sent;
  std::map<HostId, Peer> m_peers;
  std::map<TargetId, TimePoint> m_leaving_targets;
  /// The last host named in the previous digest.
  HostId m_digest_cursor;
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_MEMBERSHIP_H_
