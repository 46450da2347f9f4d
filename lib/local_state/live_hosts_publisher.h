#ifndef LIB_LOCAL_STATE_LIVE_HOSTS_PUBLISHER_H_
#define LIB_LOCAL_STATE_LIVE_HOSTS_PUBLISHER_H_

#include <cstdint>
#include <set>
#include <vector>

#include "lib/local_state/messages.h"

namespace applestand {

/// Decides which list of live hosts a control process gives to the other
/// processes of its host.
///
/// A control process that has just started knows no other host. An entry or
/// lookup process that has a list from the control process before keeps it
/// until the new one has discovered the hosts; one whose list is from this
/// control process follows it from the start.
///
/// Not thread-safe.
class LiveHostsPublisher {
 public:
  /// `started_at` is the time at which the control process started.
  explicit LiveHostsPublisher(TimePoint started_at)
      : m_started_at(started_at) {}

  /// Sets `live_hosts` and `hosts_digest` of `reply` for a process that holds
  /// the list with the digest `known_digest`, or none if that is 0. `live` are
  /// the hosts that this control process knows to be live.
  void Fill(uint64_t known_digest,
            std::vector<HostRecord> live,
            TimePoint now,
            LocalStateReply& reply);

 private:
  const TimePoint m_started_at;
  // Digests of the lists that were given out during the discovery.
  std::set<uint64_t> m_given;
};

}  // namespace applestand

#endif  // LIB_LOCAL_STATE_LIVE_HOSTS_PUBLISHER_H_
