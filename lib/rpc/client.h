#ifndef LIB_RPC_CLIENT_H_
#define LIB_RPC_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/rpc/message_kind.h"

namespace applestand {

/// How a call ended.
struct RpcResult {
  /// kRan: `payload` is the reply. kNotRun: the call was not sent.
  /// kMayHaveRun: the call was sent, but no valid reply was received.
  Ran ran = Ran::kNotRun;
  std::string payload;
  Reason reason;
};

using RpcCallback = std::function<void(RpcResult)>;

/// Calls one peer over a persistent TCP connection. A call is sent at most
/// once. After a call that was sent and got no valid reply, later calls use a
/// new connection. Thread safety: Call may be called from any thread. Callbacks
/// run on transport threads and must not block.
class RpcClient {
 public:
  /// `address` is the peer's "IP:port". Connects in the background.
  explicit RpcClient(const std::string& address);
  /// Ends every outstanding call with kMayHaveRun or kNotRun before it returns.
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Sends `payload`. `done` is called exactly once, no later than after
  /// `timeout`.
  void Call(MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Holds one RpcClient per peer address, created on first use. Thread-safe.
class RpcClientPool {
 public:
  /// Calls the peer at `address` ("IP:port"). See RpcClient::Call.
  void Call(const std::string& address,
            MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done);

 private:
  std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<RpcClient>> m_clients;
};

}  // namespace applestand

#endif  // LIB_RPC_CLIENT_H_
