#include "lib/rpc/peer_client.h"

#include <utility>

namespace applestand {

void RpcPeerClient::Call(const std::string& address,
                         MessageKind kind,
                         const std::string& payload,
                         Duration timeout,
                         RpcCallback done) {
  EventLoop& loop = m_loop;
  m_clients.Call(address, kind, payload, timeout,
                 [&loop, done = std::move(done)](RpcResult result) {
                   loop.Post([done, result = std::move(result)]() mutable {
                     done(std::move(result));
                   });
                 });
}

}  // namespace applestand
