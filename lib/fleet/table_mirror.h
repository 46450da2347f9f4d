#ifndef LIB_FLEET_TABLE_MIRROR_H_
#define LIB_FLEET_TABLE_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/codec/codec.h"
#include "lib/fleet/store_version.h"

namespace applestand {

/// The tables of the metadata store that hosts follow.
enum class StoreTable {
  /// Written by operators: the configuration, evacuations.
  kOperator,
  /// Written by targets about themselves.
  kTargets,
  /// Written by hosts about themselves, and about requests that crash targets.
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

/// Returns about how much memory the row takes, in bytes.
size_t MemoryOf(const MirrorRow& row);

/// Most memory that the rows of a table take that targets or hosts write, in
/// bytes. With the configuration they fit into one message between hosts.
constexpr size_t kMaxTableBytes = size_t{6} << 20;

/// Clears the longest values of `rows`, and logs it, if the rows take more than
/// `max_bytes`: rows that are far longer than others do not crowd them out.
/// They exist, but cannot be read. Leaves an eighth of `max_bytes` free.
/// Returns the rows whose values were cleared.
std::vector<MirrorRow*> ClearLongestValues(const std::vector<MirrorRow*>& rows,
                                           size_t max_bytes);
/// The same. Returns the memory that the rows take then.
size_t ClearLongestValues(std::vector<MirrorRow>& rows, size_t max_bytes);

/// Rows of one table as of one version.
struct TableUpdate {
  /// Whether `rows` is the whole table. Otherwise it holds the rows that
  /// changed after a version that the reader specified.
  bool is_snapshot = false;
  std::vector<MirrorRow> rows;
  StoreVersion version;

  MSGPACK_DEFINE(is_snapshot, rows, version)
};

/// A copy of one table of the metadata store, and the time as of which it is
/// current. Not thread-safe.
class TableMirror {
 public:
  /// If the rows take more than `max_bytes`, the longest values are cleared.
  explicit TableMirror(size_t max_bytes = std::numeric_limits<size_t>::max())
      : m_max_bytes(max_bytes) {}

  /// Applies rows that were read no earlier than `read_at`, a time of this
  /// host's boot clock. Updates may arrive late, more than once and out of
  /// order. Of a later era than the copy, only a snapshot is applied. Returns
  /// the keys that changed.
  std::vector<std::string> Apply(const TableUpdate& update, TimePoint read_at);

  /// Returns what a copy at `version` lacks.
  TableUpdate ChangesSince(StoreVersion version) const;

  /// The copy contains every write that the store acknowledged before this
  /// time.
  TimePoint current_at() const { return m_current_at; }
  StoreVersion version() const { return m_version; }
  /// Version of the latest change of a row. A copy at this version or above
  /// lacks nothing, whereas version() also grows with changes to other tables.
  StoreVersion last_change() const { return m_last_change; }
  /// Whether the table has been read at least once.
  bool loaded() const { return m_loaded; }

  /// The existing rows, by key.
  const std::map<std::string, MirrorRow>& rows() const { return m_rows; }
  /// Returns nullptr if there is no such row.
  const MirrorRow* Find(const std::string& key) const;

 private:
  void RecordRemoval(const std::string& key, StoreVersion version);
  // Returns the keys of the rows whose values were cleared.
  std::vector<std::string> LimitMemory();

  size_t m_max_bytes;
  bool m_loaded = false;
  StoreVersion m_version;
  StoreVersion m_last_change;
  TimePoint m_current_at = TimePoint::min();
  std::map<std::string, MirrorRow> m_rows;
  // Versions at which rows were removed, to pass removals on to other copies.
  std::map<std::string, StoreVersion> m_removed;
  // Copies at an older version get the whole table, because m_removed may lack
  // removals that they have not seen.
  StoreVersion m_removals_known_since;
};

}  // namespace applestand

#endif  // LIB_FLEET_TABLE_MIRROR_H_
