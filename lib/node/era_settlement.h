#ifndef LIB_NODE_ERA_SETTLEMENT_H_
#define LIB_NODE_ERA_SETTLEMENT_H_

#include <optional>
#include <string>

#include "lib/base/clock.h"
#include "lib/fleet/store_version.h"

namespace applestand {

/// Key of the host table's row that holds the latest settled era: operators
/// have written again what the store had lost, or had the time to. Whatever a
/// host reads of that era or an earlier one is complete.
constexpr const char* kSettledEraKey = "era";

std::string FormatEra(StoreEra era);
/// Returns zero if the value is malformed.
StoreEra ParseEraRow(const std::string& value);

/// Decides whether a host knows what operators have last written, although the
/// store may have come back from an older copy.
///
/// A host that has run since before the store came back knows it, and so does
/// a host that has heard from such a host. If all hosts have started since,
/// none does: the row kSettledEraKey, which is of an earlier era then, tells
/// them so. They wait until operators have written again, for a limited time.
///
/// Does no I/O and reads no clock. Not thread-safe.
class EraSettlement {
 public:
  /// Operators have written again after `rewrite_time`, counted from the first
  /// read of an era.
  explicit EraSettlement(Duration rewrite_time)
      : m_rewrite_time(rewrite_time) {}

  /// What this host has read and heard.
  struct Observation {
    /// Version of this host's copy of the operators' table.
    StoreVersion operators;
    /// When the configuration was last seen to be written, as read with a
    /// change.
    StoreVersion config_written_at;
    /// The store's configuration is older than one that is known to have been
    /// in force.
    bool store_is_behind = false;
    /// Whether the host table has been read.
    bool hosts_loaded = false;
    /// The value of the row kSettledEraKey, or std::nullopt if there is none.
    std::optional<StoreEra> settled_row;
    /// The latest KnownEra() of another host.
    StoreEra peers_known_era;
  };
  /// Must be called after the operators' table has been read first, when one of
  /// its rows has changed, and about every 250 ms.
  void Update(const Observation& seen, TimePoint now);

  /// Returns whether this host knows what operators have last written.
  bool IsKnown() const { return m_known_by != nullptr; }
  /// Returns when this host presumes that it knows it, unless the store is
  /// behind then. Precondition: Update() has been called.
  TimePoint PresumedAt() const { return m_era_read_at + m_rewrite_time; }
  /// Returns how this host came to know it, or null if it does not.
  const char* known_by() const { return m_known_by; }
  /// Returns whether the era that this host waits for is known to be unsettled,
  /// rather than that the host table has not been read yet.
  bool is_unsettled() const { return m_unsettled; }
  /// The era of this host's copy of the operators' table.
  StoreEra era() const { return m_era; }
  /// The latest era of which this host knows what operators have last written,
  /// for other hosts. Zero if there is none.
  StoreEra KnownEra() const { return IsKnown() ? m_era : StoreEra(); }
  /// Returns the era to write to the row kSettledEraKey, or std::nullopt if the
  /// row is not to be written.
  std::optional<StoreEra> EraToWrite() const { return m_era_to_write; }

 private:
  /// Returns why the store's rows of this era are complete, or null if they may
  /// not be.
  const char* FindSettled(const Observation& seen, TimePoint now) const;

  const Duration m_rewrite_time;
  bool m_has_read = false;
  // This host has read operators' rows of an earlier era.
  bool m_has_seen_restore = false;
  StoreEra m_era;
  // The first read of the era.
  TimePoint m_era_read_at;
  StoreVersion m_first_version;
  bool m_settled = false;
  bool m_unsettled = false;
  const char* m_known_by = nullptr;
  std::optional<StoreEra> m_era_to_write;
};

}  // namespace applestand

#endif  // LIB_NODE_ERA_SETTLEMENT_H_
