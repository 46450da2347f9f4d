#ifndef LIB_RPC_PEER_CLIENT_H_
#define LIB_RPC_PEER_CLIENT_H_

#include <string>

#include "lib/base/event_loop.h"
#include "lib/rpc/client.h"

namespace applestand {

/// Calls other processes on behalf of one event loop.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  /// Sends `payload` to the process at `address` ("IP:port"). `done` runs once
  /// on the event loop. The call ends no later than after `timeout`.
  virtual void Call(const std::string& address,
                    MessageKind kind,
                    const std::string& payload,
                    Duration timeout,
                    RpcCallback done) = 0;
};

/// Calls other processes over TCP. `clients` and `loop` must outlive this
/// object.
/// Thread safety: Call may be called from any thread.
class RpcPeerClient : public PeerClient {
 public:
  RpcPeerClient(RpcClientPool& clients, EventLoop& loop)
      : m_clients(clients), m_loop(loop) {}

  void Call(const std::string& address,
            MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done) override;

 private:
  RpcClientPool& m_clients;
  EventLoop& m_loop;
};

}  // namespace applestand

#endif  // LIB_RPC_PEER_CLIENT_H_
