#ifndef LIB_RPC_SERVER_H_
#define LIB_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/rpc/message_kind.h"

namespace applestand {

/// Sends the reply to one call. May be called from any thread; only the first
/// call has an effect. If the last copy is destroyed without a call, the sender
/// is told that its call was dropped.
using RpcReply = std::function<void(std::string payload)>;

/// Receives calls on the server's threads and must not block. The reply may be
/// sent later.
using RpcHandler =
    std::function<void(MessageKind kind, std::string payload, RpcReply reply)>;

struct RpcServerOptions {
  /// "IP:port" to listen on.
  std::string address;
  /// Maximum number of calls processed concurrently. Further calls wait in the
  /// transport.
  int max_concurrent_calls = 256;
  size_t max_message_bytes = size_t{64} << 20;
};

/// Serves calls from other processes over TCP.
/// Thread safety: must be constructed and destroyed on one thread.
class RpcServer {
 public:
  /// Starts listening. Throws std::runtime_error if the address cannot be
  /// bound.
  RpcServer(const RpcServerOptions& options, RpcHandler handler);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Returns the bound port.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_RPC_SERVER_H_
