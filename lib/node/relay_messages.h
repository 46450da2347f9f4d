#ifndef LIB_NODE_RELAY_MESSAGES_H_
#define LIB_NODE_RELAY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/http/message.h"

namespace applestand {

/// Names and values of headers, as in HttpHeader.
using RelayedHeaders = std::vector<std::pair<std::string, std::string>>;

/// A caller's request that a host without links to the targets passes to
/// another host. The sender has checked it and has taken a token of its
/// account's limit.
struct RelayRequest {
  std::string method;
  /// Path and query.
  std::string target;
  RelayedHeaders headers;
  std::string body;
  /// Time until the request's deadline.
  Duration time_left{};
  /// Number of targets that the request may still be sent to.
  uint32_t attempts_left = 0;
  /// Targets that the request has been sent to already.
  std::vector<TargetId> tried;
  /// The service chosen for the request.
  ServiceId service;
  /// The configuration by which the sender has checked the request, and the age
  /// of the sender's copy of it.
  ConfigVersion config;
  Duration config_age{};

  MSGPACK_DEFINE(method,
                 target,
                 headers,
                 body,
                 time_left,
                 attempts_left,
                 tried,
                 service,
                 config,
                 config_age)
};

struct RelayResponse {
  /// The responder cannot serve the request now and has sent it to no target;
  /// another host may. The response below is empty.
  bool declined = false;
  std::string reason;
  /// The response for the caller.
  int status = 0;
  RelayedHeaders headers;
  std::string body;
  /// The target that gave the response; empty if a host did.
  TargetId target;
  Incarnation target_incarnation;
  /// The response is a refusal. The responder has sent the request to no target
  /// because none takes requests from it now; some may take them from another
  /// host.
  bool no_target = false;

  MSGPACK_DEFINE(declined,
                 reason,
                 status,
                 headers,
                 body,
                 target,
                 target_incarnation,
                 no_target)
};

}  // namespace applestand

#endif  // LIB_NODE_RELAY_MESSAGES_H_
