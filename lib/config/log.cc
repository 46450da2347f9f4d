#include "lib/config/log.h"

#include <fmt/format.h>

#include <utility>

#include <nlohmann/json.hpp>

#include "lib/config/field_reader.h"

namespace applestand {

namespace {

using nlohmann::json;
using Kind = AppendOutcome::Kind;

constexpr char kHeadKey[] = "config/head";
constexpr char kLogPrefix[] = "config/log/";
constexpr char kChangePrefix[] = "config/change/";
constexpr char kSnapshotKey[] = "config/snapshot";

// The version is zero-padded, so that the order of keys is that of versions.
std::string LogKey(ConfigVersion version) {
  return fmt::format("{}{:020}", kLogPrefix, version.value());
}

std::string ChangeKey(const ChangeId& id) {
  return kChangePrefix + id.value();
}

std::string VersionToJson(ConfigVersion version) {
  return json{{"version", version.value()}}.dump();
}

std::optional<ConfigVersion> ParseVersion(const std::string& text,
                                          Reason& reason) {
  const json parsed = json::parse(text, nullptr, false);
  uint64_t version = 0;
  FieldReader fields(parsed, "row", reason);
  fields.Optional("version", version);
  if (!fields.Finish()) {
    return std::nullopt;
  }
  return ConfigVersion(version);
}

// Returns whether two changes are equal except for their version.
bool IsSameRequest(Change a, Change b) {
  a.version = ConfigVersion();
  b.version = ConfigVersion();
  return ToJson(a) == ToJson(b);
}

}  // namespace

const char* ToString(Kind kind) {
  switch (kind) {
    case Kind::kCommitted:
      return "committed";
    case Kind::kConflict:
      return "conflict";
    case Kind::kInvalid:
      return "invalid";
    case Kind::kNotAccepted:
      return "not-accepted";
    case Kind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// State of one call to Append across its attempts.
struct ConfigLog::PendingAppend {
  Change change;
  std::optional<ConfigVersion> expected;
  /// Row version of the head on which a transaction with unknown outcome was
  /// conditional. As long as the head has this row version, the transaction may
  /// still take effect.
  std::optional<RowVersion> in_doubt_head_row;
};

AppendOutcome ConfigLog::Append(Change change,
                                std::optional<ConfigVersion> expected) {
  change.version = ConfigVersion();
  if (Reason reason;
      !Validate(change, m_replica.state(), reason) && change.id.empty()) {
    return {Kind::kInvalid, {}, reason};
  }
  PendingAppend append{std::move(change), expected, std::nullopt};
  for (int i = 0; i < m_options.max_attempts; ++i) {
    if (auto outcome = TryAppend(append)) {
      return *outcome;
    }
  }
  if (append.in_doubt_head_row) {
    return {Kind::kUnknown,
            {},
            {"the outcome of the store transaction is unknown"}};
  }
  return {Kind::kConflict,
          m_replica.version(),
          {"other changes were appended first in every attempt"}};
}

std::optional<AppendOutcome> ConfigLog::TryAppend(PendingAppend& append) {
  Reason reason;
  // The head is read before the row of the change id: if the head has changed
  // and the row is absent, a transaction in doubt can no longer take effect.
  const auto head = ReadHead(reason);
  if (!head) {
    return OnStoreFailure(append, reason);
  }
  const ReadResult recorded = m_table.Read({ChangeKey(append.change.id)});
  if (recorded.status != TableStatus::kOk) {
    return OnStoreFailure(append, {"reading from the store failed"});
  }
  if (!recorded.rows.empty()) {
    return ReadRecordedOutcome(append, recorded.rows.front());
  }
  if (append.in_doubt_head_row && *append.in_doubt_head_row != head->row) {
    append.in_doubt_head_row.reset();
  }
  if (append.expected && *append.expected != head->version) {
    return AppendOutcome{Kind::kConflict,
                         head->version,
                         {"the expected version is not the newest one"}};
  }
  if (!CatchUp(m_replica, reason)) {
    return OnStoreFailure(append, reason);
  }
  if (m_replica.version() != head->version) {
    return std::nullopt;
  }
  if (!Validate(append.change, m_replica.state(), reason)) {
    return AppendOutcome{Kind::kInvalid, head->version, reason};
  }
  return Commit(append, *head);
}

std::optional<AppendOutcome> ConfigLog::Commit(PendingAppend& append,
                                               const LogHead& head) {
  Change& change = append.change;
  change.version = head.version.Next();
  const std::string change_row = ToJson(change);
  const std::string version_row = VersionToJson(change.version);
  const TableStatus status =
      m_table.Transact({{kHeadKey, head.row, version_row},
                        {LogKey(change.version), RowVersion(), change_row},
                        {ChangeKey(change.id), RowVersion(), version_row}});
  switch (status) {
    case TableStatus::kOk:
      m_replica.Apply(change);
      WriteSnapshotIfDue();
      return AppendOutcome{Kind::kCommitted, change.version, {}};
    case TableStatus::kConflict:
      return std::nullopt;
    case TableStatus::kUnavailable:
      return OnStoreFailure(append, {"the store is unavailable"});
    case TableStatus::kUnknown:
      append.in_doubt_head_row = head.row;
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<AppendOutcome> ConfigLog::OnStoreFailure(
    const PendingAppend& append,
    const Reason& reason) {
  if (append.in_doubt_head_row) {
    return std::nullopt;
  }
  return AppendOutcome{Kind::kNotAccepted, {}, reason};
}

std::optional<AppendOutcome> ConfigLog::ReadRecordedOutcome(
    const PendingAppend& append,
    const Row& row) {
  Reason reason;
  const auto version = ParseVersion(row.value, reason);
  if (!version) {
    return AppendOutcome{Kind::kUnknown, {}, reason};
  }
  const ReadResult logged = m_table.Read({LogKey(*version)});
  if (logged.status != TableStatus::kOk || logged.rows.empty()) {
    // The row of the change id already proves that the change is in the log.
    return AppendOutcome{
        Kind::kUnknown, *version, {"reading from the store failed"}};
  }
  const auto first = ParseChange(logged.rows.front().value, reason);
  if (!first || !IsSameRequest(*first, append.change)) {
    return AppendOutcome{Kind::kInvalid,
                         *version,
                         {"change.id is already used by another change"}};
  }
  return AppendOutcome{Kind::kCommitted, *version, {}};
}

std::optional<LogHead> ConfigLog::ReadHead(Reason& reason) {
  const ReadResult read = m_table.Read({kHeadKey});
  if (read.status != TableStatus::kOk) {
    reason.text = "reading from the store failed";
    return std::nullopt;
  }
  if (read.rows.empty()) {
    return LogHead{};
  }
  const Row& row = read.rows.front();
  const auto version = ParseVersion(row.value, reason);
  if (!version) {
    return std::nullopt;
  }
  return LogHead{*version, row.version};
}

std::optional<std::vector<Change>> ConfigLog::ReadChanges(ConfigVersion after,
                                                          size_t limit,
                                                          Reason& reason) {
  const ReadResult read = m_table.Scan(kLogPrefix, LogKey(after), limit);
  if (read.status != TableStatus::kOk) {
    reason.text = "reading from the store failed";
    return std::nullopt;
  }
  std::vector<Change> changes;
  for (const Row& row : read.rows) {
    auto change = ParseChange(row.value, reason);
    if (!change) {
      return std::nullopt;
    }
    after = after.Next();
    if (change->version != after) {
      reason.text = "the log has no row " + LogKey(after);
      return std::nullopt;
    }
    changes.push_back(std::move(*change));
  }
  return changes;
}

bool ConfigLog::CatchUp(ConfigReplica& replica, Reason& reason) {
  bool tried_snapshot = false;
  while (true) {
    if (replica.version() == ConfigVersion() && !tried_snapshot) {
      tried_snapshot = true;
      InstallNewestSnapshot(replica);
    }
    const auto changes =
        ReadChanges(replica.version(), m_options.scan_limit, reason);
    if (!changes) {
      return false;
    }
    replica.Apply(*changes);
    if (changes->size() < m_options.scan_limit) {
      return true;
    }
    if (!tried_snapshot) {
      tried_snapshot = true;
      InstallNewestSnapshot(replica);
    }
  }
}

void ConfigLog::InstallNewestSnapshot(ConfigReplica& replica) {
  const ReadResult read = m_table.Read({kSnapshotKey});
  if (read.status != TableStatus::kOk || read.rows.empty()) {
    return;
  }
  const json row = json::parse(read.rows.front().value, nullptr, false);
  std::string object;
  uint64_t version = 0;
  Reason reason;
  FieldReader fields(row, "row", reason);
  fields.Required("object", object);
  fields.Optional("version", version);
  if (!fields.Finish()) {
    return;
  }
  const ObjectStore::GetResult result = m_objects.Get(object);
  if (result.status == TableStatus::kOk && result.bytes) {
    // If the snapshot is damaged, all changes are read from the log instead;
    // this is only slower.
    (void)replica.InstallSnapshot(*result.bytes, reason);
  }
}

void ConfigLog::WriteSnapshotIfDue() {
  const ConfigVersion version = m_replica.version();
  if (version.value() % m_options.snapshot_interval != 0) {
    return;
  }
  const std::string object =
      fmt::format("config/snapshot/{:020}", version.value());
  const TableStatus created =
      m_objects.Create(object, EncodeSnapshot(m_replica.state()));
  if (created != TableStatus::kOk && created != TableStatus::kConflict) {
    return;
  }
  const ReadResult read = m_table.Read({kSnapshotKey});
  if (read.status != TableStatus::kOk) {
    return;
  }
  RowVersion expected;
  if (!read.rows.empty()) {
    const json row = json::parse(read.rows.front().value, nullptr, false);
    expected = read.rows.front().version;
    if (row.is_object() &&
        row.value("version", uint64_t{0}) >= version.value()) {
      return;
    }
  }
  const json row = {{"version", version.value()}, {"object", object}};
  // On a conflict or failure the row may continue to name an older snapshot,
  // from which catching up only takes longer.
  (void)m_table.Transact({{kSnapshotKey, expected, row.dump()}});
}

}  // namespace applestand
