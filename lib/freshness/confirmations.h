#ifndef LIB_FRESHNESS_CONFIRMATIONS_H_
#define LIB_FRESHNESS_CONFIRMATIONS_H_

#include <map>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/freshness/freshness.h"

namespace applestand {

/// Tells the host that appended a change when it counts as accepted, and which
/// hosts hold it.
///
/// After AppendOutcome::kCommitted the owner pushes the change to its peers,
/// calls OnApplied for itself and for each ConfigPushReply, and answers the
/// operator "accepted" once IsAccepted; or, after a time-out, "in the log, not
/// yet confirmed" with ConfirmedBy.
///
/// Pure. Single-threaded: owned by one EventLoop.
class Confirmations {
 public:
  explicit Confirmations(QuorumSizes quorum) : m_quorum(quorum) {}

  /// `host` holds everything up to `version`.
  void OnApplied(const HostId& host,
                 bool in_store_region,
                 ConfigVersion version);

  /// Whether enough hosts of the store's region hold `version`.
  [[nodiscard]] bool IsAccepted(ConfigVersion version) const;

  /// Every host known to hold `version`.
  [[nodiscard]] std::vector<HostId> ConfirmedBy(ConfigVersion version) const;

  /// Drops a host that is gone. Its confirmations no longer count.
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

#endif  // LIB_FRESHNESS_CONFIRMATIONS_H_
