#ifndef LIB_RPC_SERVER_H_
#define LIB_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/rpc/message_kind.h"

namespace applestand {

/// Sends the answer to one call. May be called from any thread, once; where it
/// is dropped uncalled the caller learns that its call was refused.
using RpcReply = std::function<void(std::string payload)>;

/// Receives calls on the server's threads; must not block.
using RpcHandler =
    std::function<void(MessageKind kind, std::string payload, RpcReply reply)>;

struct RpcServerOptions {
  /// "IP:port" to listen on.
  std::string address;
  /// Calls served at once; further calls wait in the transport.
  int max_concurrent_calls = 256;
  size_t max_message_bytes = size_t{64} << 20;
};

/// Serves calls from other processes over TCP.
/// Thread safety: construct and destroy on one thread.
class RpcServer {
 public:
  /// Listens at once. Throws std::runtime_error where the address cannot be
  /// bound.
  RpcServer(const RpcServerOptions& options, RpcHandler handler);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// The bound port.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_RPC_SERVER_H_
