#ifndef LIB_FRESHNESS_CONFIRMATION_TRACKER_H_
#define LIB_FRESHNESS_CONFIRMATION_TRACKER_H_

#include <map>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/freshness/freshness.h"

namespace applestand {

/// Tracks, on the host that appended a configuration change, which hosts hold
/// the change and whether a quorum has accepted it.
///
/// After AppendOutcome::kCommitted the owner pushes the change to its peers and
/// calls OnApplied for itself and for each ConfigPushReply. It reports the
/// change as accepted to the operator once IsAccepted returns true. After a
/// timeout it reports instead that the change is in the log but not yet
/// confirmed, together with ConfirmedBy.
///
/// Performs no I/O. Single-threaded: owned by one EventLoop.
class ConfirmationTracker {
 public:
  explicit ConfirmationTracker(QuorumSizes quorum) : m_quorum(quorum) {}

  /// Records that `host` has applied all changes up to `version`.
  void OnApplied(const HostId& host,
                 bool in_store_region,
                 ConfigVersion version);

  /// Returns true if at least QuorumSizes::confirm hosts of the store's region
  /// hold `version`.
  [[nodiscard]] bool IsAccepted(ConfigVersion version) const;

  /// Returns all hosts known to hold `version`, in any region.
  [[nodiscard]] std::vector<HostId> ConfirmedBy(ConfigVersion version) const;

  /// Removes a host that no longer exists. Its confirmations no longer count.
  void Forget(const HostId& host);

 private:
  struct Applied {
    bool in_store_region = false;
    ConfigVersion version;
  };

  QuorumSizes m_quorum;
  std::map<HostId, Applied> m_applied;
};

}  // namespace applestand

#endif  // LIB_FRESHNESS_CONFIRMATION_TRACKER_H_
