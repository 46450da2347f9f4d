#ifndef LIB_FLEET_FLEET_MEMBERSHIP_H_
#define LIB_FLEET_FLEET_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/messages.h"

namespace applestand {

struct FleetMembershipOptions {
  /// A host that polled within this time is considered live.
  Duration live_timeout = std::chrono::milliseconds(1500);
  /// A host that has not been heard from for this long stops being counted
  /// among the hosts that share the limits. Must exceed `share_timeout`, so
  /// that the host has stopped using its share by then.
  Duration counted_timeout = std::chrono::milliseconds(8000);
  /// A host may use its share of the limits for this long after the last time
  /// at which all counted hosts knew of it.
  Duration share_timeout = std::chrono::milliseconds(6000);
  /// Time for which a host that failed to respond is not polled. Doubles with
  /// each consecutive failure, up to `max_backoff`.
  Duration initial_backoff = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::seconds(16);
  /// Time for which a host that could not read the store is not used as hub.
  Duration store_backoff = std::chrono::seconds(3);
  /// If more other hosts than this are known, only the first-ranked host of
  /// each zone polls the hub. The hub then serves a few dozen requesters for
  /// fleets of up to some hundreds of hosts.
  size_t max_direct_hosts = 24;
};

/// Tracks which hosts exist, which of them are live, and which one this host
/// polls for updates (its update source).
///
/// One host, the hub, reads the metadata store on behalf of all. The other
/// hosts poll it; in large fleets they poll the first-ranked host of their
/// zone, which reports them to the hub as live. Any host can be the hub. A host
/// whose update source fails switches to the next host in rank order; several
/// hubs at the same time do no harm.
///
/// Limits are divided among the counted hosts. A host uses its share only while
/// every counted host is certain to know of it, and stops being counted only
/// after it is certain to have stopped using its share. While the store is
/// unreachable no host stops being counted, because a host that is not heard
/// from here may still be live and heard from elsewhere.
///
/// Does no I/O and reads no clock. Not thread-safe.
class FleetMembership {
 public:
  FleetMembership(const FleetMembershipOptions& options, HostInfo self);

  HostInfo& self() { return m_self; }
  const HostInfo& self() const { return m_self; }

  /// Called when the host table has been read, so that every host is known.
  void OnHostTableRead() { m_host_table_read = true; }
  /// Called for a row of the host table: this host exists or existed.
  void OnHostRow(const HostInfo& host, TimePoint now);
  void OnHostRowRemoved(const HostId& host);
  /// Called when another hub reports that it recently heard from `host`.
  void OnSeenByOtherHub(const HostId& host, TimePoint now);
  /// Called when `host` polls this host.
  void OnRequest(const HostInfo& host, TimePoint now);
  /// Called when a requester of this host reports that `host` polled it at
  /// `requested_at`.
  void OnIndirectRequest(const HostInfo& host,
                         TimePoint requested_at,
                         TimePoint now);
  /// Called when a host responds to a request that was sent at `requested_at`.
  /// `live` is its list of live hosts, or std::nullopt if the list has not
  /// changed since the previous response.
  void OnResponse(const PullResponse& response,
                  const std::optional<std::vector<HostInfo>>& live,
                  TimePoint requested_at,
                  TimePoint now);
  /// Called when `host` did not respond, or its copies are stale.
  void OnHostFailed(const HostId& host, TimePoint now);
  /// Called when the store rejected a read by this host or did not respond.
  void OnStoreUnreachable(TimePoint now);
  /// Called when the store answered this host.
  void OnStoreAnswered();
  /// Called when this host's copy of the host table contains everything that
  /// was written before `time`.
  void OnHostTableCurrent(TimePoint time);
  /// Called when this host has written to the host table, in a call that
  /// started at `started_at`.
  void OnHostTableWritten(TimePoint started_at);

  /// Returns the host to poll next, or this host itself if it is to read the
  /// store as hub.
  HostId ChooseSource(TimePoint now);
  /// Returns the latest known incarnation of `host`, or zero if none is known.
  Incarnation IncarnationOf(const HostId& host) const;
  /// Returns nullptr if the host is unknown or is this host itself.
  const HostInfo* Find(const HostId& host) const;
  /// Returns the first-ranked live host of this host's region, which is this
  /// host itself if there is no other.
  HostId FirstInRegion(TimePoint now) const;
  /// Returns the number of eligible hosts that rank before this one as hub.
  size_t Rank(TimePoint now) const;
  /// Returns Rank(), or std::nullopt if this host cannot be the hub.
  std::optional<size_t> RankAsHub(TimePoint now) const;
  bool IsHub() const { return m_source == m_self.id; }
  /// The host that this host polls; its own id if it is the hub.
  const HostId& source() const { return m_source; }

  /// Returns the hosts that accept callers, including this one unless it is
  /// leaving.
  std::vector<HostInfo> LiveHosts(TimePoint now) const;
  /// Returns the other hosts with a row in the host table that are not leaving,
  /// live or not.
  std::vector<HostInfo> HostsWithRows() const;
  /// Returns those of LiveHosts() to tell other hosts of. A hub leaves out what
  /// it knows from a former source alone, so that the age of such knowledge
  /// stays bounded.
  std::vector<HostInfo> LiveHostsToReport(TimePoint now) const;
  /// Returns a tag that changes whenever the result of LiveHostsToReport()
  /// changes.
  std::string LiveTag(TimePoint now) const;
  /// Returns the hosts that recently polled this host or one of its requesters,
  /// including those that are leaving.
  std::vector<SeenHost> RecentRequesters(TimePoint now) const;

  /// Returns the number of hosts among which limits are divided, or 0 if it is
  /// not known yet.
  uint32_t CountedHosts(TimePoint now) const;
  /// Returns whether this host may use its share of the limits, because every
  /// other host reserves that share for it.
  bool ShareValid(TimePoint now) const;
  /// Returns the latest time at which all counted hosts were certain to know of
  /// this host, or std::nullopt if there was none.
  std::optional<TimePoint> KnownToAllAt(TimePoint now) const;
  /// Returns the counted hosts that this host, as hub, does not hear from.
  std::vector<HostId> MissingHosts(TimePoint now) const;
  /// Returns the hosts with a row in the host table that have not been heard
  /// from for `age`.
  std::vector<HostId> AbandonedHosts(Duration age, TimePoint now) const;

 private:
  struct Entry {
    HostInfo host;
    bool has_row = false;
    // When the host last polled this host or one of its requesters.
    TimePoint last_request_at = TimePoint::min();
    // Last sign of life, direct or indirect.
    TimePoint last_heard_at;
    // Whether the host is one of those among which limits are divided.
    bool counted = true;
    TimePoint backoff_until = TimePoint::min();
    uint32_t failures = 0;
  };

  Entry& AddOrUpdate(const HostInfo& host, TimePoint now);
  std::vector<HostInfo> CollectLive(bool relies_on_source, TimePoint now) const;
  /// Returns whether the host is eligible as update source.
  bool IsCandidate(const Entry& entry, TimePoint now) const;
  /// Returns whether this host is eligible as hub.
  bool IsSelfCandidate(TimePoint now) const;
  /// The rank order: larger CPU share first, ties broken by hashed id.
  bool RanksBefore(const HostInfo& a, const HostInfo& b) const;
  /// Returns the first-ranked candidate, either of this host's zone or of the
  /// whole fleet, or nullptr if there is none.
  const HostInfo* FirstCandidate(bool own_zone, TimePoint now) const;
  void BecomeHub(TimePoint now);
  void ExpireCounted();
  /// Advances this host's incarnation past `seen`, an incarnation under which
  /// other hosts know this host, so that they do not ignore it as outdated.
  void AdvancePast(Incarnation seen);
  uint32_t CountedOthers() const;
  void MarkHeard(Entry& entry, TimePoint at);
  void UpdateStoreReachability(Entry& entry,
                               const HostInfo& host,
                               TimePoint now);

  const FleetMembershipOptions m_options;
  HostInfo m_self;
  // All known hosts except this one.
  std::map<HostId, Entry> m_entries;
  bool m_host_table_read = false;
  TimePoint m_host_table_current_at = TimePoint::min();
  HostId m_source;
  TimePoint m_hub_since = TimePoint::min();
  TimePoint m_last_hub_at = TimePoint::min();
  TimePoint m_store_backoff_until = TimePoint::min();
  // The update source's last list of live hosts and last count.
  std::vector<HostInfo> m_source_live;
  uint32_t m_source_counted = 0;
  TimePoint m_source_counted_at = TimePoint::min();
  // When this host, as a new hub, last presumed every known host live.
  TimePoint m_all_presumed_live_at = TimePoint::min();
  TimePoint m_last_response_at = TimePoint::min();
  // The sender of the last response, and when its request was sent.
  HostId m_last_responder;
  TimePoint m_last_answered_request_at = TimePoint::min();
  // Latest time at which the other hosts were certain to know of this one,
  // apart from what KnownToAllAt() derives for a hub.
  TimePoint m_known_to_all_at = TimePoint::min();
};

}  // namespace applestand

#endif  // LIB_FLEET_FLEET_MEMBERSHIP_H_
