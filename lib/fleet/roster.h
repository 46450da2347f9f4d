#ifndef LIB_FLEET_ROSTER_H_
#define LIB_FLEET_ROSTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/messages.h"

namespace applestand {

struct RosterOptions {
  /// A host that asked within this time is alive.
  Duration live_for = std::chrono::milliseconds(1500);
  /// A host is left out of the division of limits this long after it was last
  /// heard of. Above `share_for`, so that it has stopped using its share.
  Duration counted_for = std::chrono::milliseconds(8000);
  /// A host may use its share of limits this long after it asked a host that
  /// answered.
  Duration share_for = std::chrono::milliseconds(6000);
  /// Time for which a host that failed to answer is passed over; doubles with
  /// each failure up to the longest.
  Duration first_pass_over = std::chrono::seconds(2);
  Duration longest_pass_over = std::chrono::seconds(16);
  /// Time for which a host that the store turned away does not read for others.
  Duration denied_for = std::chrono::seconds(3);
  /// In a larger fleet only the first host of each zone asks the hub. The hub
  /// then answers a few dozen hosts at any size up to some hundreds.
  size_t direct_hosts = 24;
};

/// Which hosts there are, which are alive, and whom to ask for news.
///
/// One host, the hub, reads the store for all; the others ask it, in large
/// fleets through the first host of their zone, which also tells it that they
/// live. Any host can be the hub. A host whose source of news fails takes the
/// next in order of power; two hubs at once do no harm.
///
/// Limits are divided over the hosts that are counted. A host uses its share
/// only while all that are counted surely know of it, and is left out of the
/// count only once its share has surely ended: where the store is out of reach,
/// a host that is not heard of may live and be heard of elsewhere.
///
/// Pure. Not thread-safe.
class Roster {
 public:
  Roster(const RosterOptions& options, HostInfo self);

  HostInfo& self() { return m_self; }
  const HostInfo& self() const { return m_self; }

  /// The hosts' table was read, so that every host is known.
  void OnTableRead() { m_table_read = true; }
  /// A row of the hosts' table: this host exists or existed.
  void OnRow(const HostInfo& host, TimePoint now);
  void OnRowRemoved(const HostId& host);
  /// Another hub says that it lately heard of `host`.
  void OnSeenElsewhere(const HostId& host, TimePoint now);
  /// `host` asked this one.
  void OnAsked(const HostInfo& host, TimePoint now);
  /// `host` asked at `asked_at` one of those that ask this one.
  void OnAskedElsewhere(const HostInfo& host,
                        TimePoint asked_at,
                        TimePoint now);
  /// A host answered a request that was sent at `asked_at`, with a list of live
  /// hosts where it is another than the last one.
  void OnAnswered(const PullReply& reply,
                  const std::optional<std::vector<HostInfo>>& live,
                  TimePoint asked_at,
                  TimePoint now);
  /// `host` did not answer, or its copies are outdated.
  void OnFailed(const HostId& host, TimePoint now);
  /// The store turned this host away, or does not answer it.
  void OnStoreDenied(TimePoint now);
  /// The store answered this host.
  void OnStoreAnswered();
  /// This host's copy of the hosts' table lacks nothing written before `time`.
  void OnHostsCurrent(TimePoint time);
  /// The hosts' table was written by this host, in a call begun at `begun`.
  void OnWritten(TimePoint begun);

  /// Whom to ask next; this host itself: read the store.
  HostId ChooseSource(TimePoint now);
  /// The latest run of `host` that is known; zero where none is.
  Incarnation RunOf(const HostId& host) const;
  /// Null where the host is not known; also for this host itself.
  const HostInfo* Find(const HostId& host) const;
  /// The live host of the own region that comes first in the order of hosts;
  /// this one itself where it is the only one.
  HostId FirstInRegion(TimePoint now) const;
  /// Number of hosts that come before this one in the order of hubs; nothing
  /// where it cannot be the hub.
  std::optional<size_t> RankAsHub(TimePoint now) const;
  bool IsHub() const { return m_source == m_self.id; }
  /// The host that this one asks.
  const HostId& source() const { return m_source; }

  /// Hosts that take callers, this one included while it does not leave.
  std::vector<HostInfo> LiveHosts(TimePoint now) const;
  /// Changes whenever the live hosts that this host tells others of change.
  std::string LiveTag(TimePoint now) const;
  /// Hosts that lately asked this one, or one that asks it, in any state.
  std::vector<SeenHost> Askers(TimePoint now) const;

  /// Number of hosts over which limits are divided; 0: not known yet.
  uint32_t Counted(TimePoint now) const;
  /// Whether the other hosts leave this one its share of limits.
  bool ShareValid(TimePoint now) const;
  /// Latest time at which all counted hosts surely knew of this one; nothing
  /// where they never did.
  std::optional<TimePoint> KnownAt(TimePoint now) const;
  /// Counted hosts that this hub does not hear of.
  std::vector<HostId> Missing(TimePoint now) const;
  /// Hosts of the table that nobody heard of for `age`.
  std::vector<HostId> Abandoned(Duration age, TimePoint now) const;

 private:
  struct Entry {
    HostInfo host;
    bool has_row = false;
    // Asked this host, or one that this one answers for.
    TimePoint asked = TimePoint::min();
    // Last sign of life by any way.
    TimePoint heard;
    // Limits are divided over it.
    bool counted = true;
    TimePoint passed_over_until = TimePoint::min();
    uint32_t failures = 0;
  };

  Entry& Learn(const HostInfo& host, TimePoint now);
  bool Usable(const Entry& entry, TimePoint now) const;
  bool SelfUsable(TimePoint now) const;
  bool Before(const HostInfo& a, const HostInfo& b) const;
  /// The first usable host, of this one's zone or of all; null: none.
  const HostInfo* First(bool of_zone, TimePoint now) const;
  void BecomeHub(TimePoint now);
  void UpdateCounted();
  /// Others know of a run of this host that they take for a later one.
  void Outrun(Incarnation run);
  uint32_t CountedOthers() const;
  void Heard(Entry& entry, TimePoint at);
  void NoteDenied(Entry& entry, const HostInfo& host, TimePoint now);

  const RosterOptions m_options;
  HostInfo m_self;
  std::map<HostId, Entry> m_entries;
  bool m_table_read = false;
  TimePoint m_hosts_current_at = TimePoint::min();
  HostId m_source;
  TimePoint m_hub_since = TimePoint::min();
  TimePoint m_last_hub_at = TimePoint::min();
  TimePoint m_denied_until = TimePoint::min();
  // What the source said last.
  std::vector<HostInfo> m_source_live;
  uint32_t m_source_counted = 0;
  TimePoint m_source_counted_at = TimePoint::min();
  // When this host last took every known host to be alive.
  TimePoint m_all_alive_at = TimePoint::min();
  TimePoint m_answered_at = TimePoint::min();
  // Who answered last, and when he was asked.
  HostId m_answered_by;
  TimePoint m_answered_asked_at = TimePoint::min();
  // Latest time at which the others surely knew of this host.
  TimePoint m_known_at = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_FLEET_ROSTER_H_
