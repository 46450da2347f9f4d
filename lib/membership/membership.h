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

/// A host on the platform's list, which lags.
struct ListedHost {
  HostId host;
  /// "IP:port" of its control process.
  std::string control_address;
  bool leaving = false;
};

/// What this host believes of another one.
enum class HostCondition {
  /// Nothing was ever heard of it.
  kUnknown,
  /// Heard of recently.
  kLive,
  /// Silent for a short time: routed round, still sent heartbeats.
  kSuspect,
  /// Says itself, or the platform's list says, that it leaves: gets no new
  /// work.
  kLeaving,
  /// Silent for long.
  kDead,
};

/// Knows which hosts are alive, from heartbeats between them.
///
/// The platform's list gives addresses to try and tells who is leaving; it
/// never makes a silent host live nor a beating host dead. News of a host is
/// ordered by its incarnation, then by its beat counter: late or repeated
/// messages change nothing. A record of an older incarnation never replaces a
/// newer one, also after the host was dropped.
///
/// The owner calls DueHeartbeats about every `period` / 2 and sends what it
/// returns; hands each Heartbeat to OnHeartbeat and sends the reply, after
/// filling in evidence and vouch; hands each reply to OnHeartbeatReply; and
/// hands evidence and vouch, with the time before it sent, to Freshness.
///
/// Pure. Single-threaded: owned by one EventLoop.
class Membership {
 public:
  struct Options {
    Duration period = std::chrono::seconds(1);
    Duration suspect_after = std::chrono::seconds(3);
    Duration dead_after = std::chrono::seconds(10);
    /// A dead host's incarnation is remembered this long.
    Duration forget_after = std::chrono::minutes(30);
    /// With at most this many other hosts, all get heartbeats.
    size_t all_below = 32;
    /// Else: this many in the own zone, and this many elsewhere.
    size_t zone_peers = 8;
    size_t relay_peers = 8;
    /// Most hosts named in one message; larger fleets rotate through.
    size_t digest_limit = 256;
    /// A leaving target is told on for this long.
    Duration leaving_target_life = std::chrono::minutes(10);
  };

  /// `self` is this host's own record.
  Membership(Options options, HostRecord self);

  struct Outgoing {
    /// Empty where only an address is known.
    HostId host;
    std::string address;
    Heartbeat heartbeat;
  };
  /// Heartbeats to send now; empty where none is due.
  [[nodiscard]] std::vector<Outgoing> DueHeartbeats(TimePoint now);

  [[nodiscard]] HeartbeatReply OnHeartbeat(const Heartbeat& heartbeat,
                                           TimePoint now);
  void OnHeartbeatReply(const HeartbeatReply& reply, TimePoint now);

  /// Takes in the platform's list, whole.
  void OnHostList(const std::vector<ListedHost>& hosts, TimePoint now);

  /// Tells peers that this host leaves. It cannot be taken back in this run.
  void Leave() { m_self.state = HostState::kLeaving; }
  void SetConfigVersion(ConfigVersion version) {
    m_self.config_version = version;
  }
  /// A target said that it is leaving.
  void OnTargetLeaving(const TargetId& target, TimePoint now);

  [[nodiscard]] HostCondition ConditionOf(const HostId& host,
                                          TimePoint now) const;

  /// Records of the hosts that may get new work, this one included while it
  /// does not leave, in host order.
  [[nodiscard]] std::vector<HostRecord> LiveHosts(TimePoint now) const;

  /// Hosts that leave but still answer.
  [[nodiscard]] std::vector<HostRecord> LeavingHosts(TimePoint now) const;

  /// Targets that said they are leaving, from this host or others.
  [[nodiscard]] std::vector<TargetId> LeavingTargets(TimePoint now) const;

  const HostRecord& self() const { return m_self; }

 private:
  struct Peer {
    /// Absent while only a relayed beat or the list named it.
    std::optional<HostRecord> record;
    Incarnation incarnation;
    uint64_t beat = 0;
    bool beaten = false;
    HostState state = HostState::kLive;
    TimePoint last_progress;
    std::string listed_address;
    bool listed = false;
    bool listed_leaving = false;
  };

  /// The peer, reset where this run is newer; null for an older run or self.
  Peer* PeerOfRun(const HostId& host, Incarnation incarnation);
  void LearnSender(const HostRecord& sender, uint64_t beat, TimePoint now);
  void Learn(const std::vector<HostBeat>& beats, TimePoint now);
  void Learn(const HostRecord& record);
  void Learn(const std::vector<LeavingTarget>& targets, TimePoint now);
  void Expire(TimePoint now);
  HostCondition ConditionOf(const Peer& peer, TimePoint now) const;
  std::vector<HostRecord> HostsIn(HostCondition condition,
                                  HostState own_state,
                                  TimePoint now) const;
  std::vector<HostBeat> Digest(TimePoint now);
  std::vector<HostRecord> RecordsMissingFrom(const Heartbeat& heartbeat,
                                             TimePoint now) const;
  std::vector<LeavingTarget> TargetNews(TimePoint now) const;
  std::vector<std::pair<HostId, std::string>> ChoosePeers(
      TimePoint now,
      bool tries_dead) const;

  Options m_options;
  HostRecord m_self;
  uint64_t m_beat = 0;
  /// Times that DueHeartbeats found heartbeats due.
  uint64_t m_rounds = 0;
  std::optional<TimePoint> m_last_sent;
  std::map<HostId, Peer> m_peers;
  std::map<TargetId, TimePoint> m_leaving_targets;
  HostId m_digest_cursor;
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_MEMBERSHIP_H_
