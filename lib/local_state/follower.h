#ifndef LIB_LOCAL_STATE_FOLLOWER_H_
#define LIB_LOCAL_STATE_FOLLOWER_H_

#include <functional>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/config/replica.h"
#include "lib/freshness/freshness.h"
#include "lib/local_state/messages.h"
#include "lib/rpc/peer_client.h"

namespace applestand {

/// Keeps a process up to date with the control process of its host by polling.
/// If the control process does not respond, the last state stays in effect and
/// the configuration is fetched from the control processes of other hosts.
///
/// Single-threaded: `caller` must deliver its callbacks on `loop`. `loop` and
/// `caller` must outlive this object.
class StateFollower {
 public:
  struct Options {
    /// "IP:port" of the control process of this host.
    std::string control_address;
    Duration poll_interval = std::chrono::milliseconds(100);
    /// Timeout of each call.
    Duration timeout = std::chrono::milliseconds(500);
    /// Time without a reply from the control process after which other hosts
    /// are polled.
    Duration unavailable_after = std::chrono::seconds(1);
    Freshness::Options freshness;
  };

  /// Adds the state of this process to a fetch before it is sent.
  using FillFetch = std::function<void(LocalStateFetch&)>;
  /// Called after each reply from the control process has been applied.
  using OnReply = std::function<void(const LocalStateReply&)>;

  StateFollower(Options options,
                EventLoop& loop,
                PeerClient& caller,
                FillFetch fill,
                OnReply on_reply);

  /// Starts polling. Must be called at most once.
  void Start();

  /// The latest configuration received. Empty until the first reply.
  const ConfigState& config() const { return m_replica.state(); }
  const std::vector<HostRecord>& live_hosts() const { return m_live_hosts; }
  const std::vector<TargetId>& leaving_targets() const {
    return m_leaving_targets;
  }
  /// Returns whether the configuration is recent enough to serve routes that
  /// require a key. The result depends on the current time.
  [[nodiscard]] bool IsFresh() const;

 private:
  void Poll();
  /// Requests the configuration from the next of the live hosts.
  void PollPeer();
  void OnLocalReply(TimePoint requested_at, const RpcResult& result);
  void OnPeerReply(TimePoint requested_at, const RpcResult& result);
  void ApplyConfig(TimePoint requested_at, const ConfigFetchReply& reply);

  const Options m_options;
  EventLoop& m_loop;
  PeerClient& m_caller;
  const FillFetch m_fill;
  const OnReply m_on_reply;
  ConfigReplica m_replica;
  Freshness m_freshness;
  std::vector<HostRecord> m_live_hosts;
  uint64_t m_hosts_digest = 0;
  std::vector<TargetId> m_leaving_targets;
  TimePoint m_last_reply;
  bool m_is_unavailable = false;
  bool m_poll_pending = false;
  bool m_peer_poll_pending = false;
  size_t m_next_peer = 0;
};

}  // namespace applestand

#endif  // LIB_LOCAL_STATE_FOLLOWER_H_
