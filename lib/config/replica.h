#ifndef LIB_CONFIG_REPLICA_H_
#define LIB_CONFIG_REPLICA_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/config/messages.h"
#include "lib/config/model.h"

namespace applestand {

/// A process's copy of the configuration. Its version never decreases: a change
/// is applied only if it is the next one, a snapshot only if it is newer.
///
/// Performs no I/O. Not thread-safe; owned by one EventLoop or one worker.
class ConfigReplica {
 public:
  /// `tail_limit` is the number of recent changes kept in memory, so that
  /// replicas that lag by fewer changes do not need a snapshot.
  explicit ConfigReplica(size_t tail_limit = 1024) : m_tail_limit(tail_limit) {}

  enum class Result {
    kApplied,
    /// The state already contains the change or changes; nothing was applied.
    kAlreadyApplied,
    /// Earlier changes are missing; the owner must obtain them, for example
    /// with a ConfigFetch.
    kGap,
  };

  /// Applies `change` if it is the next one.
  Result Apply(const Change& change);

  /// Applies each of `changes` that is the next one. Stops and returns kGap at
  /// the first change with a gap before it.
  Result Apply(const std::vector<Change>& changes);

  /// Installs an encoded snapshot if it is newer than the state; otherwise
  /// ignores it and returns true. Returns false and sets `reason` if `bytes` is
  /// not a valid snapshot.
  [[nodiscard]] bool InstallSnapshot(const std::string& bytes, Reason& reason);

  /// Applies a peer's reply to a ConfigFetch: first the snapshot, then the
  /// changes. Returns false and sets `reason` if the snapshot is not valid or
  /// changes are missing.
  [[nodiscard]] bool Apply(const ConfigFetchReply& reply, Reason& reason);

  /// Returns what a replica at version `have` lacks: nothing, changes, or a
  /// snapshot. Leaves `evidence` empty; the owner sets it from Freshness.
  ConfigFetchReply UpdateSince(ConfigVersion have) const;

  const ConfigState& state() const { return m_state; }
  ConfigVersion version() const { return m_state.version; }

 private:
  ConfigState m_state;
  /// The newest changes, in order, ending at the state's version.
  std::deque<Change> m_tail;
  size_t m_tail_limit;
};

/// Serializes the state with a checksum. Thread-safe.
std::string EncodeSnapshot(const ConfigState& state);

/// Parses the result of EncodeSnapshot. Returns std::nullopt and sets `reason`
/// if the format is unsupported or the bytes are damaged. Thread-safe.
[[nodiscard]] std::optional<ConfigState> DecodeSnapshot(
    const std::string& bytes,
    Reason& reason);

}  // namespace applestand

#endif  // LIB_CONFIG_REPLICA_H_
