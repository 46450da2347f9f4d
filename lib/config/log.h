#ifndef LIB_CONFIG_LOG_H_
#define LIB_CONFIG_LOG_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/config/replica.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// Result of ConfigLog::Append.
struct AppendOutcome {
  enum class Kind {
    /// The log contains the change at `version`.
    kCommitted,
    /// The change was not appended: the log is not at the expected version, or
    /// other changes were appended first in every attempt. `version` is the
    /// newest known version of the log.
    kConflict,
    /// The change is not valid for the current state, or its id belongs to a
    /// different change; see `reason`.
    kInvalid,
    /// The store failed before the change was written. The change is not in the
    /// log and will not be added to it.
    kNotAccepted,
    /// The change may be in the log already or may be added later. Appending it
    /// again with the same id is safe and determines the outcome.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  ConfigVersion version;
  Reason reason;
};

const char* ToString(AppendOutcome::Kind kind);

/// The contents of the log's head row.
struct LogHead {
  ConfigVersion version;
  /// Version of the head row, for compare-and-set.
  RowVersion row;
};

/// The configuration log in the platform's table service.
///
/// Rows: `config/head` holds the newest version, `config/log/<version>` the
/// change of that version, `config/change/<id>` the version assigned to a
/// change id, and `config/snapshot` the name of the newest snapshot in the
/// object store. The first three are written in one transaction that is
/// conditional on the row version of the head. The log therefore has no gap and
/// no fork, and contains each change id at most once.
///
/// All calls block on the platform and are made from a worker thread. Not
/// thread-safe; each worker needs its own ConfigLog.
class ConfigLog {
 public:
  struct Options {
    /// A snapshot is written whenever the version is a multiple of this number.
    uint64_t snapshot_interval = 256;
    /// Maximum number of attempts per Append.
    int max_attempts = 4;
    /// Maximum number of rows per scan of the log.
    size_t scan_limit = 500;
  };

  /// `table` and `objects` must outlive this object.
  ConfigLog(TableService& table, ObjectStore& objects, Options options)
      : m_table(table), m_objects(objects), m_options(options) {}

  /// Appends `change`; its version is ignored. If `expected` is set, the change
  /// is appended only if the log is at that version. If the change id is
  /// already in the log, returns the outcome of the first append of that
  /// change, and kInvalid if the id belongs to a different change.
  [[nodiscard]] AppendOutcome Append(
      Change change,
      std::optional<ConfigVersion> expected = std::nullopt);

  /// Reads the head with a single read of the table. Returns std::nullopt and
  /// sets `reason` on failure. The caller passes the version to
  /// Freshness::OnHeadRead together with the time before this call.
  [[nodiscard]] std::optional<LogHead> ReadHead(Reason& reason);

  /// Reads up to `limit` changes that follow `after`, in order and without
  /// gaps. Returns std::nullopt and sets `reason` if the store fails or a row
  /// is missing or malformed.
  [[nodiscard]] std::optional<std::vector<Change>>
  ReadChanges(ConfigVersion after, size_t limit, Reason& reason);

  /// Updates `replica` to the head: with the missing changes if they are few,
  /// otherwise with the newest snapshot and the changes after it. Returns false
  /// and sets `reason` if the log cannot be read; changes read before the
  /// failure remain applied.
  [[nodiscard]] bool CatchUp(ConfigReplica& replica, Reason& reason);

 private:
  struct PendingAppend;

  /// Makes one attempt. Returns std::nullopt if the append should be retried.
  [[nodiscard]] std::optional<AppendOutcome> TryAppend(PendingAppend& append);
  /// Writes the change after `head`. Returns std::nullopt if the append should
  /// be retried.
  [[nodiscard]] std::optional<AppendOutcome> Commit(PendingAppend& append,
                                                    const LogHead& head);
  /// Returns the outcome of the first append of a change id that is already in
  /// the log. `row` is the row of that change id.
  [[nodiscard]] std::optional<AppendOutcome> ReadRecordedOutcome(
      const PendingAppend& append,
      const Row& row);
  /// Returns kNotAccepted, or std::nullopt if an earlier transaction is in
  /// doubt and the append must be retried to determine its outcome.
  [[nodiscard]] static std::optional<AppendOutcome> OnStoreFailure(
      const PendingAppend& append,
      const Reason& reason);
  void InstallNewestSnapshot(ConfigReplica& replica);
  void WriteSnapshotIfDue();

  TableService& m_table;
  ObjectStore& m_objects;
  Options m_options;
  /// State that changes are validated against before they are appended.
  ConfigReplica m_replica;
};

}  // namespace applestand

#endif  // LIB_CONFIG_LOG_H_
