#ifndef LIB_LOCAL_STATE_FOLLOWER_H_
#define LIB_LOCAL_STATE_FOLLOWER_H_

#include <functional>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/config/replica.h"
#include "lib/freshness/freshness.h"
#include "lib/local_state/messages.h"
#include "lib/rpc/peer_caller.h"

namespace applestand {

/// Keeps a process up to date with the control process of its host. While that
/// is silent the last state stays in force, and the configuration is fetched
/// from the control processes of other hosts.
/// Single-threaded: lives on the loop of `caller`.
class StateFollower {
 public:
  struct Options {
    std::string control_address;
    Duration period = std::chrono::milliseconds(100);
    Duration timeout = std::chrono::milliseconds(500);
    /// Silence after which other hosts are asked.
    Duration silence = std::chrono::seconds(1);
    Freshness::Options freshness;
  };

  /// Fills what the sender adds to a fetch.
  using FillFetch = std::function<void(LocalStateFetch&)>;
  /// Runs after each reply has been taken in.
  using OnReply = std::function<void(const LocalStateReply&)>;

  StateFollower(Options options,
                EventLoop& loop,
                PeerCaller& caller,
                FillFetch fill,
                OnReply on_reply);

  /// Starts asking. Call once.
  void Start();

  const ConfigState& config() const { return m_replica.state(); }
  const std::vector<HostRecord>& live_hosts() const { return m_live_hosts; }
  const std::vector<TargetId>& leaving_targets() const {
    return m_leaving_targets;
  }
  /// Whether routes that need a key may be served now.
  [[nodiscard]] bool IsFresh() const;

 private:
  void Ask();
  void AskOtherHost();
  void OnLocalReply(TimePoint asked, const RpcResult& result);
  void OnOtherReply(TimePoint asked, const RpcResult& result);
  void TakeConfig(TimePoint asked, const ConfigFetchReply& reply);

  const Options m_options;
  EventLoop& m_loop;
  PeerCaller& m_caller;
  const FillFetch m_fill;
  const OnReply m_on_reply;
  ConfigReplica m_replica;
  Freshness m_freshness;
  std::vector<HostRecord> m_live_hosts;
  uint64_t m_hosts_digest = 0;
  std::vector<TargetId> m_leaving_targets;
  TimePoint m_last_reply;
  bool m_silent = false;
  bool m_asking = false;
  bool m_asking_other = false;
  size_t m_next_other = 0;
};

}  // namespace applestand

#endif  // LIB_LOCAL_STATE_FOLLOWER_H_
