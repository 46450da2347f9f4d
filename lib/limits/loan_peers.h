#ifndef LIB_LIMITS_LOAN_PEERS_H_
#define LIB_LIMITS_LOAN_PEERS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// The hosts that may be asked for loans. Each has an index that remains valid
/// when the membership changes. Not thread-safe.
class LoanPeers {
 public:
  /// Replaces the set of hosts that may be asked.
  void Set(const std::vector<HostId>& hosts);

  size_t size() const { return m_peers.size(); }
  const HostId& host(size_t peer) const { return m_peers[peer].host; }

  /// Returns whether `peer` is a member and no request to it timed out
  /// recently.
  bool IsAvailable(size_t peer, TimePoint now) const;

  /// Returns the smoothed round-trip time, or zero if it is not known.
  Duration round_trip(size_t peer) const { return m_peers[peer].round_trip; }

  /// Called when `peer` replied to a request after `round_trip`.
  void OnReply(size_t peer, Duration round_trip);
  /// Called when a request to `peer` timed out.
  void OnTimeout(size_t peer, TimePoint now);

 private:
  struct Peer {
    HostId host;
    bool member = true;
    Duration round_trip{};
    std::optional<TimePoint> paused_until;
  };

  std::vector<Peer> m_peers;
};

}  // namespace applestand

#endif  // LIB_LIMITS_LOAN_PEERS_H_
