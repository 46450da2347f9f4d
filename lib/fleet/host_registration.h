#ifndef LIB_FLEET_HOST_REGISTRATION_H_
#define LIB_FLEET_HOST_REGISTRATION_H_

#include <memory>
#include <string>
#include <string_view>

#include "lib/fleet/fleet_membership.h"
#include "lib/fleet/metadata_store.h"
#include "lib/net/reactor.h"

namespace applestand {

/// Prefixes of the keys of the host table's rows: what a host publishes about
/// itself, and the hosts that a hub hears from. The host's id follows.
constexpr std::string_view kHostRowPrefix = "host/";
constexpr std::string_view kSeenRowPrefix = "seen/";

/// Keeps the rows that this host writes about itself and its fleet in the host
/// table. Not thread-safe.
class HostRegistration {
 public:
  /// All references must outlive this object.
  HostRegistration(Reactor& reactor,
                   MetadataStore& store,
                   FleetMembership& membership);

  /// Writes this host's row.
  void Register();
  /// Writes this host's row again if the last write failed, its incarnation has
  /// changed, or the store lost the row. Must be called periodically.
  void Step(TimePoint now);
  /// Writes for the other hubs which hosts this hub hears from, if it misses
  /// some or its own share is about to expire. Must be called periodically on
  /// a hub.
  void WriteSeenRow(TimePoint now);
  /// Called when the store has come back from an older copy, which contains
  /// `host_rows`.
  void OnStoreRestored(const TableMirror& host_rows);

 private:
  Reactor& m_reactor;
  MetadataStore& m_store;
  FleetMembership& m_membership;
  const TimePoint m_started_at;
  std::unique_ptr<StoreCall> m_register_write;
  // The incarnation in this host's row of the host table, or zero if the row
  // has not been written.
  Incarnation m_registered_incarnation;
  TimePoint m_next_register_at;
  std::unique_ptr<StoreCall> m_seen_write;
  uint64_t m_seen_counter = 0;
  TimePoint m_seen_written_at;
};

}  // namespace applestand

#endif  // LIB_FLEET_HOST_REGISTRATION_H_
