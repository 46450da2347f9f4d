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
  /// kRan: `payload` is the answer. kNotRun: the peer never got the call.
  /// kMayHaveRun: the call left, and no answer came.
  Ran ran = Ran::kNotRun;
  std::string payload;
  Reason reason;
};

using RpcCallback = std::function<void(RpcResult)>;

/// Calls one peer over a kept TCP connection. A call is sent at most once.
/// After a call that got no answer in time, later calls use a new connection.
/// Thread safety: Call may be called from any thread. Callbacks run on
/// transport threads and must not block.
class RpcClient {
 public:
  /// `address` is the peer's "IP:port". Connects in the background.
  explicit RpcClient(const std::string& address);
  /// Ends every call as kMayHaveRun or kNotRun, then returns.
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Sends `payload`; `done` runs exactly once, at the latest after `timeout`.
  void Call(MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// One client a peer address, made on first use. Thread-safe.
class RpcClients {
 public:
  /// As RpcClient::Call, to the peer at `address`.
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
