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

// Zero-padded, so that key order is version order.
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
  if (!fields.Done()) {
    return std::nullopt;
  }
  return ConfigVersion(version);
}

// Whether two changes are the same but for their position.
bool SameRequest(Change a, Change b) {
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

/// One Append in progress.
struct ConfigLog::Attempt {
  Change change;
  std::optional<ConfigVersion> expected;
  /// Head row that a transaction with an unknown end was conditional on. While
  /// the head is still there, the transaction may take effect.
  std::optional<RowVersion> in_doubt;
};

AppendOutcome ConfigLog::Append(Change change,
                                std::optional<ConfigVersion> expected) {
  change.version = ConfigVersion();
  if (Reason reason;
      !Validate(change, m_replica.state(), reason) && change.id.empty()) {
    return {Kind::kInvalid, {}, reason};
  }
  Attempt attempt{std::move(change), expected, std::nullopt};
  for (int i = 0; i < m_options.attempts; ++i) {
    if (auto outcome = Try(attempt)) {
      return *outcome;
    }
  }
  if (attempt.in_doubt) {
    return {Kind::kUnknown, {}, {"the store's answer was lost"}};
  }
  return {Kind::kConflict,
          m_replica.version(),
          {"other changes came first at each try"}};
}

std::optional<AppendOutcome> ConfigLog::Try(Attempt& attempt) {
  Reason reason;
  // The head is read before the change's row: if the head has moved on and the
  // row is absent, a transaction in doubt can no longer take effect.
  const auto head = ReadHead(reason);
  if (!head) {
    return StoreFailed(attempt, reason);
  }
  const ReadResult found = m_table.Read({ChangeKey(attempt.change.id)});
  if (found.status != TableStatus::kOk) {
    return StoreFailed(attempt, {"the store did not answer"});
  }
  if (!found.rows.empty()) {
    return FirstResult(attempt, found.rows.front());
  }
  if (attempt.in_doubt && *attempt.in_doubt != head->row) {
    attempt.in_doubt.reset();
  }
  if (attempt.expected && *attempt.expected != head->version) {
    return AppendOutcome{Kind::kConflict, head->version, {"not the newest"}};
  }
  if (!CatchUp(m_replica, reason)) {
    return StoreFailed(attempt, reason);
  }
  if (m_replica.version() != head->version) {
    return std::nullopt;
  }
  if (!Validate(attempt.change, m_replica.state(), reason)) {
    return AppendOutcome{Kind::kInvalid, head->version, reason};
  }
  return Commit(attempt, *head);
}

std::optional<AppendOutcome> ConfigLog::Commit(Attempt& attempt,
                                               const LogHead& head) {
  Change& change = attempt.change;
  change.version = head.version.Next();
  const std::string row = ToJson(change);
  const std::string position = VersionToJson(change.version);
  const TableStatus status =
      m_table.Transact({{kHeadKey, head.row, position},
                        {LogKey(change.version), RowVersion(), row},
                        {ChangeKey(change.id), RowVersion(), position}});
  switch (status) {
    case TableStatus::kOk:
      m_replica.Apply(change);
      WriteSnapshotIfDue();
      return AppendOutcome{Kind::kCommitted, change.version, {}};
    case TableStatus::kConflict:
      return std::nullopt;
    case TableStatus::kUnavailable:
      return StoreFailed(attempt, {"the store refused"});
    case TableStatus::kUnknown:
      attempt.in_doubt = head.row;
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<AppendOutcome> ConfigLog::StoreFailed(const Attempt& attempt,
                                                    const Reason& reason) {
  if (attempt.in_doubt) {
    return std::nullopt;
  }
  return AppendOutcome{Kind::kNotAccepted, {}, reason};
}

std::optional<AppendOutcome> ConfigLog::FirstResult(const Attempt& attempt,
                                                    const Row& row) {
  Reason reason;
  const auto version = ParseVersion(row.value, reason);
  if (!version) {
    return AppendOutcome{Kind::kUnknown, {}, reason};
  }
  const ReadResult logged = m_table.Read({LogKey(*version)});
  if (logged.status != TableStatus::kOk || logged.rows.empty()) {
    // The row of the change alone proves that it is in the log.
    return AppendOutcome{
        Kind::kUnknown, *version, {"the store did not answer"}};
  }
  const auto first = ParseChange(logged.rows.front().value, reason);
  if (!first || !SameRequest(*first, attempt.change)) {
    return AppendOutcome{
        Kind::kInvalid, *version, {"change.id was used for another change"}};
  }
  return AppendOutcome{Kind::kCommitted, *version, {}};
}

std::optional<LogHead> ConfigLog::ReadHead(Reason& reason) {
  const ReadResult read = m_table.Read({kHeadKey});
  if (read.status != TableStatus::kOk) {
    reason.text = "the store did not answer";
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
    reason.text = "the store did not answer";
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
      reason.text = "the log lacks " + LogKey(after);
      return std::nullopt;
    }
    changes.push_back(std::move(*change));
  }
  return changes;
}

bool ConfigLog::CatchUp(ConfigReplica& replica, Reason& reason) {
  bool snapshot_tried = false;
  while (true) {
    if (replica.version() == ConfigVersion() && !snapshot_tried) {
      snapshot_tried = true;
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
    if (!snapshot_tried) {
      snapshot_tried = true;
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
  if (!fields.Done()) {
    return;
  }
  const ObjectStore::GetResult got = m_objects.Get(object);
  if (got.status == TableStatus::kOk && got.bytes) {
    // The log itself is whole, so a damaged snapshot only costs time.
    (void)replica.InstallSnapshot(*got.bytes, reason);
  }
}

void ConfigLog::WriteSnapshotIfDue() {
  const ConfigVersion version = m_replica.version();
  if (version.value() % m_options.snapshot_every != 0) {
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
  // A lost race or answer leaves an older snapshot named, which only costs
  // time.
  (void)m_table.Transact({{kSnapshotKey, expected, row.dump()}});
}

}  // namespace applestand
