#include "lib/relay/host_call.h"

#include <utility>

namespace applestand {

std::unique_ptr<PendingCall> CallHost(HttpClientPool& pool,
                                      const std::string& address,
                                      const char* path,
                                      const std::string& message,
                                      CallOptions options,
                                      HttpClientPool::Callback callback) {
  const std::string id = std::to_string(pool.TakeCallId());
  options.owner_of = [id](const HttpResponse& response) {
    const auto named = FindHeader(response.headers, kCallIdHeader);
    if (!named) {
      return ResponseOwner::kUnknown;
    }
    return *named == id ? ResponseOwner::kThisRequest
                        : ResponseOwner::kOtherRequest;
  };
  return pool.Call(address,
                   SerializeRequest("POST", path,
                                    {{"Host", address},
                                     {"Content-Type", "application/msgpack"},
                                     {kCallIdHeader, id}},
                                    message),
                   std::move(options), std::move(callback));
}

}  // namespace applestand
