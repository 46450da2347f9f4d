#ifndef LIB_FLEET_TABLE_MIRROR_H_
#define LIB_FLEET_TABLE_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Position in the store's history; 0 precedes everything.
using StoreVersion = Counter<struct StoreVersionTag>;

/// The tables of the metadata store that hosts follow.
enum class StoreTable {
  /// What operators ask for: the configuration, evacuations.
  kOperator,
  /// What targets say of themselves.
  kTargets,
  /// What hosts say of themselves.
  kHosts,
};
constexpr size_t kStoreTables = 3;

struct MirrorRow {
  std::string key;
  std::string value;
  StoreVersion version;
  /// The row was removed at `version`; `value` is empty.
  bool removed = false;

  MSGPACK_DEFINE(key, value, version, removed)
};

/// Rows of one table as of one version.
struct TableUpdate {
  /// `rows` are the whole table; otherwise what changed since a version that
  /// the reader named.
  bool whole = false;
  std::vector<MirrorRow> rows;
  StoreVersion version;

  MSGPACK_DEFINE(whole, rows, version)
};

/// A copy of one table of the store. Knows since when it may be outdated.
/// Not thread-safe.
class TableMirror {
 public:
  /// Takes in rows that were read no earlier than `read_at`, on this host's
  /// boot clock. Updates may come late, twice and out of order. Returns the
  /// keys that changed.
  std::vector<std::string> Apply(const TableUpdate& update, TimePoint read_at);

  /// What a follower that holds `version` lacks.
  TableUpdate ChangesSince(StoreVersion version) const;

  /// Nothing that the store acknowledged before this time is missing here.
  TimePoint current_at() const { return m_current_at; }
  StoreVersion version() const { return m_version; }
  /// Version of the latest change of a row; a follower that holds it lacks
  /// nothing. The version above also grows by other tables' changes.
  StoreVersion last_change() const { return m_last_change; }
  /// Whether the table was ever read.
  bool known() const { return m_known; }

  /// The rows that exist.
  const std::map<std::string, MirrorRow>& rows() const { return m_rows; }
  const MirrorRow* Find(const std::string& key) const;

 private:
  void Remember(const std::string& key, StoreVersion version);

  bool m_known = false;
  StoreVersion m_version;
  StoreVersion m_last_change;
  TimePoint m_current_at = TimePoint::min();
  std::map<std::string, MirrorRow> m_rows;
  // Removed rows, so that followers learn of them.
  std::map<std::string, StoreVersion> m_removed;
  // Followers that hold less get the whole table.
  StoreVersion m_removals_known_since;
};

}  // namespace applestand

#endif  // LIB_FLEET_TABLE_MIRROR_H_
