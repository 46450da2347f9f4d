#ifndef LIB_CONFIG_LOG_H_
#define LIB_CONFIG_LOG_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/config/replica.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// What became of a change that was to be appended.
struct AppendOutcome {
  enum class Kind {
    /// The log holds the change at `version`.
    kCommitted,
    /// The log has moved on; `version` is its current version. Not in the log.
    kConflict,
    /// The change may not follow the current state; see `reason`.
    kInvalid,
    /// The store was not reached; the change is not and will not be in the log.
    kNotAccepted,
    /// The change may be in the log now or later. Sending it again under the
    /// same id is safe and tells.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  ConfigVersion version;
  Reason reason;
};

const char* ToString(AppendOutcome::Kind kind);

/// The position that a read of the log's head gave.
struct LogHead {
  ConfigVersion version;
  /// Version of the head's row, for compare-and-set.
  RowVersion row;
};

/// The configuration log in the platform's table service.
///
/// Rows: `config/head` holds the newest version; `config/log/<version>` the
/// change of that version; `config/change/<id>` the version that a change id
/// got; `config/snapshot` names the newest snapshot in the object store. The
/// first three are written in one transaction that compares the head's row
/// version, so the log has no gap, no fork and no change id twice.
///
/// Every call blocks on the platform: the control process calls from a worker
/// thread of its own. Not thread-safe; give each worker its own ConfigLog.
class ConfigLog {
 public:
  struct Options {
    /// A snapshot is written at each multiple of this version.
    uint64_t snapshot_every = 256;
    /// Tries of one Append before it gives up.
    int attempts = 4;
    /// Rows of one scan of the log.
    size_t scan_limit = 500;
  };

  ConfigLog(TableService& table, ObjectStore& objects, Options options)
      : m_table(table), m_objects(objects), m_options(options) {}

  /// Appends `change`, whose version is ignored. With `expected`, only where
  /// the log is still at that version; without, after whatever is there.
  /// A change id that is already in the log gets its first result again.
  [[nodiscard]] AppendOutcome Append(
      Change change,
      std::optional<ConfigVersion> expected = std::nullopt);

  /// Reads the head: one read of the table. The owner notes the time before
  /// the call and hands both to Freshness::OnHeadRead.
  [[nodiscard]] std::optional<LogHead> ReadHead(Reason& reason);

  /// Reads up to `limit` changes that follow `after`, in order, without a gap.
  [[nodiscard]] std::optional<std::vector<Change>>
  ReadChanges(ConfigVersion after, size_t limit, Reason& reason);

  /// Brings `replica` up to the head: by changes where few are missing, else
  /// by the newest snapshot and the changes after it. False where the platform
  /// fails; `replica` then holds what was read so far.
  [[nodiscard]] bool CatchUp(ConfigReplica& replica, Reason& reason);

 private:
  struct Attempt;

  /// One try; nothing where another one may help.
  [[nodiscard]] std::optional<AppendOutcome> Try(Attempt& attempt);
  [[nodiscard]] std::optional<AppendOutcome> Commit(Attempt& attempt,
                                                    const LogHead& head);
  /// What a change id that is already in the log got the first time.
  [[nodiscard]] std::optional<AppendOutcome> FirstResult(const Attempt& attempt,
                                                         const Row& row);
  [[nodiscard]] static std::optional<AppendOutcome> StoreFailed(
      const Attempt& attempt,
      const Reason& reason);
  void InstallNewestSnapshot(ConfigReplica& replica);
  void WriteSnapshotIfDue();

  TableService& m_table;
  ObjectStore& m_objects;
  Options m_options;
  /// State that appended changes are checked against.
  ConfigReplica m_replica;
};

}  // namespace applestand

#endif  // LIB_CONFIG_LOG_H_
