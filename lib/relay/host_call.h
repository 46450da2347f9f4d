#ifndef LIB_RELAY_HOST_CALL_H_
#define LIB_RELAY_HOST_CALL_H_

#include <memory>
#include <string>

#include "lib/relay/http_client_pool.h"

namespace applestand {

/// Header that names a call between two hosts. The response repeats it.
constexpr const char* kCallIdHeader = "Call-Id";

/// Sends an encoded message to `path` of the host at `address`. Only a response
/// that names this call is taken for its response. One that names none, as a
/// host of an earlier version sends it, is taken on a new connection only; see
/// ResponseAttribution. CallOptions::owner_of is ignored. Otherwise as
/// HttpClientPool::Call.
[[nodiscard]] std::unique_ptr<PendingCall> CallHost(
    HttpClientPool& pool,
    const std::string& address,
    const char* path,
    const std::string& message,
    CallOptions options,
    HttpClientPool::Callback callback);

}  // namespace applestand

#endif  // LIB_RELAY_HOST_CALL_H_
