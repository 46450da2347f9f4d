#ifndef LIB_LIMITS_LOAN_PEERS_H_
#define LIB_LIMITS_LOAN_PEERS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// The hosts that may be asked for loans, by an index that stays valid when
/// membership changes. Not thread-safe.
class LoanPeers {
 public:
  /// Replaces the set of hosts that may be asked.
  void Set(const std::vector<HostId>& hosts);

  size_t size() const { return m_peers.size(); }
  const HostId& host(size_t peer) const { return m_peers[peer].host; }

  /// Whether `peer` is a member and has not been silent lately.
  bool MayAsk(size_t peer, TimePoint now) const;

  /// Smoothed round trip; zero if it is not known.
  Duration round_trip(size_t peer) const { return m_peers[peer].round_trip; }

  void OnReply(size_t peer, Duration round_trip);
  /// A request to `peer` had no reply in time.
  void OnTimeout(size_t peer, TimePoint now);

 private:
  struct Peer {
    HostId host;
    bool member = true;
    Duration round_trip{};
    std::optional<TimePoint> avoid_until;
  };

  std::vector<Peer> m_peers;
};

}  // namespace applestand

#endif  // LIB_LIMITS_LOAN_PEERS_H_
