#ifndef LIB_RPC_PEER_CALLER_H_
#define LIB_RPC_PEER_CALLER_H_

#include <string>

#include "lib/base/event_loop.h"
#include "lib/rpc/client.h"

namespace applestand {

/// Calls other processes on behalf of one event loop.
class PeerCaller {
 public:
  virtual ~PeerCaller() = default;

  /// Sends `payload` to the process at `address` ("IP:port"). `done` runs once,
  /// on the caller's loop, at the latest after `timeout`.
  virtual void Call(const std::string& address,
                    MessageKind kind,
                    const std::string& payload,
                    Duration timeout,
                    RpcCallback done) = 0;
};

/// Calls over TCP. Thread safety: Call may be called from any thread.
class RpcPeerCaller : public PeerCaller {
 public:
  RpcPeerCaller(RpcClients& clients, EventLoop& loop)
      : m_clients(clients), m_loop(loop) {}

  void Call(const std::string& address,
            MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done) override;

 private:
  RpcClients& m_clients;
  EventLoop& m_loop;
};

}  // namespace applestand

#endif  // LIB_RPC_PEER_CALLER_H_
