#ifndef LIB_STANDIN_ATTEMPT_REPLY_H_
#define LIB_STANDIN_ATTEMPT_REPLY_H_

#include <utility>

#include "lib/http/attempt_id.h"
#include "lib/http/message.h"
#include "lib/http/server.h"

namespace applestand {

/// Returns a reply that repeats the attempt id of `request`, if it has one, in
/// the response. Thread-safe.
inline HttpReply WithAttemptId(const HttpRequest& request, HttpReply reply) {
  const auto id = FindHeader(request.headers, kAttemptIdHeader);
  if (!id) {
    return reply;
  }
  return [id = *id, reply = std::move(reply)](HttpResponse response) {
    response.headers.push_back({kAttemptIdHeader, id});
    reply(std::move(response));
  };
}

}  // namespace applestand

#endif  // LIB_STANDIN_ATTEMPT_REPLY_H_
