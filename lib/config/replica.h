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

/// A process's copy of the configuration. It only moves forward: a change is
/// applied when it is the next one, a snapshot when it is newer.
///
/// Pure. Single-threaded: owned by one EventLoop or one worker.
class ConfigReplica {
 public:
  /// `tail_limit` recent changes are kept for others that are a little behind.
  explicit ConfigReplica(size_t tail_limit = 1024) : m_tail_limit(tail_limit) {}

  enum class Result {
    kApplied,
    /// Already in the state; ignored.
    kOld,
    /// Changes are missing before this one; the owner sends a ConfigFetch.
    kGap,
  };

  /// Applies `change` where it is the next one.
  Result Apply(const Change& change);

  /// Applies what is next of `changes`; kGap where some could not be applied.
  Result Apply(const std::vector<Change>& changes);

  /// Installs an encoded snapshot where it is newer than the state. False,
  /// with the reason, where `bytes` are damaged; an older one is ignored and
  /// returns true.
  [[nodiscard]] bool InstallSnapshot(const std::string& bytes, Reason& reason);

  /// Applies a peer's answer to a ConfigFetch: its snapshot, then its changes.
  [[nodiscard]] bool Apply(const ConfigFetchReply& reply, Reason& reason);

  /// What someone at version `have` lacks: nothing, changes, or a snapshot.
  /// `head` fields are left for the owner to fill from Freshness.
  ConfigFetchReply UpdateSince(ConfigVersion have) const;

  const ConfigState& state() const { return m_state; }
  ConfigVersion version() const { return m_state.version; }

 private:
  ConfigState m_state;
  std::deque<Change> m_tail;
  size_t m_tail_limit;
};

/// Serializes the state with a checksum. Thread-safe.
std::string EncodeSnapshot(const ConfigState& state);

/// Parses EncodeSnapshot's bytes; nothing, with the reason, where they are
/// damaged. Thread-safe.
[[nodiscard]] std::optional<ConfigState> DecodeSnapshot(
    const std::string& bytes,
    Reason& reason);

}  // namespace applestand

#endif  // LIB_CONFIG_REPLICA_H_
