#ifndef LIB_FLEET_UPDATE_SERVER_H_
#define LIB_FLEET_UPDATE_SERVER_H_

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lib/fleet/fleet_membership.h"
#include "lib/relay/http_listener.h"

namespace applestand {

/// Copies of the metadata store's tables, by StoreTable.
using TableMirrors = std::array<TableMirror, kStoreTables>;

/// Serves the long-polling requests of other hosts for updates: holds each
/// request back until there is an update for it, and reports the requesters to
/// the membership. Not thread-safe.
class UpdateServer {
 public:
  /// Holds requests back for `max_wait` at most. `membership` and `mirrors`
  /// must outlive this object.
  UpdateServer(FleetMembership& membership,
               const TableMirrors& mirrors,
               Duration max_wait)
      : m_membership(membership), m_mirrors(mirrors), m_max_wait(max_wait) {}

  void OnRequest(const std::shared_ptr<ServerExchange>& exchange,
                 TimePoint now);
  /// Called when a configuration is known to have been in force.
  void OnConfigKnown(ConfigVersion version) {
    m_newest_config = std::max(m_newest_config, version);
  }
  /// The newest configuration that is known to have been in force on any host,
  /// zero if none is. The store may hold an older one after it came back from
  /// an older copy.
  ConfigVersion newest_config() const { return m_newest_config; }
  /// Sets the latest era of which this host knows what operators have last
  /// written.
  void SetKnownEra(StoreEra era) { m_known_era = era; }
  StoreEra known_era() const { return m_known_era; }
  /// Called when another host has told its PullRequest::known_era.
  void OnPeerKnownEra(StoreEra era) {
    m_peers_known_era = std::max(m_peers_known_era, era);
  }
  StoreEra peers_known_era() const { return m_peers_known_era; }

  /// Responds to the requests for which there is an update or whose wait has
  /// ended.
  void RespondToDue(TimePoint now);
  void RespondToAll(TimePoint now);
  /// Whether too many requests wait to respond to all of them at each change.
  bool has_many_waiting() const;

 private:
  struct WaitingRequest {
    std::shared_ptr<ServerExchange> exchange;
    PullRequest request;
    TimePoint received_at;
    TimePoint respond_by;
  };
  /// The versions and the tag of the live list that a host holds. They
  /// determine the update that it lacks.
  using HeldState =
      std::pair<std::array<StoreVersion, kStoreTables>, std::string>;

  bool HasUpdateFor(const WaitingRequest& waiting) const;
  /// Renews the list of live hosts that is sent to requesters, and its tag.
  void RefreshLive(TimePoint now);
  /// Returns the encoded update for a requester, which is computed once for all
  /// that hold the same state.
  const Deflated& UpdateFor(const PullRequest& request);
  void Respond(const WaitingRequest& waiting, TimePoint now);

  FleetMembership& m_membership;
  const TableMirrors& m_mirrors;
  const Duration m_max_wait;
  ConfigVersion m_newest_config;
  StoreEra m_known_era;
  StoreEra m_peers_known_era;
  std::list<WaitingRequest> m_waiting;
  std::vector<HostInfo> m_live;
  std::string m_live_tag;
  TimePoint m_live_at = TimePoint::min();
  // Encoded updates by the requester's state. Cleared whenever this host's own
  // state differs from m_cache_state.
  std::map<HeldState, Deflated> m_cached_updates;
  HeldState m_cache_state;
};

}  // namespace applestand

#endif  // LIB_FLEET_UPDATE_SERVER_H_
