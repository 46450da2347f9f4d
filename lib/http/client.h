#ifndef LIB_HTTP_CLIENT_H_
#define LIB_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/http/attempt_id.h"
#include "lib/http/message.h"

namespace applestand {

/// One request to one server.
struct HttpCall {
  /// "IP:port" of the server.
  std::string address;
  HttpRequest request;
  /// Time limit for the whole call, including the time to connect.
  Duration timeout = std::chrono::seconds(10);
  /// Allows the client to send the request again if a pooled connection turns
  /// out to be closed. If false, the request is sent at most once.
  bool may_repeat = false;
  /// A larger response body ends the call with kMayHaveRun.
  size_t max_response_bytes = size_t{16} << 20;
  /// Sent as kAttemptIdHeader, and expected back. If empty, the next response
  /// on the connection is taken, which may be a second copy of the response to
  /// an earlier call. Precondition: unless empty, no other call has this id.
  AttemptId attempt_id;
  /// Sends the request on a new connection and closes that after the call.
  bool own_connection = false;
};

/// How a call ended.
struct HttpCallResult {
  /// kRan: `response` is the server's complete response, whatever its status.
  /// kNotRun: no byte of the request was sent. kMayHaveRun: all other cases.
  Ran ran = Ran::kNotRun;
  HttpResponse response;
  /// With kRan: whether `response` certainly belongs to the request, and covers
  /// all that was sent of it. It names the attempt, or was the first thing that
  /// arrived on a new connection, and the request was sent once. Otherwise a
  /// response that says that the request was not run proves nothing.
  bool attributed = false;
  Reason reason;
};

using HttpCallback = std::function<void(HttpCallResult)>;

/// Identifies a call within one HttpClient.
using HttpCallId = Counter<struct HttpCallTag>;

/// Sends requests over pooled persistent connections, on a thread of its own.
///
/// A request is sent at most once unless HttpCall::may_repeat is set. A
/// response is complete only if it states its length exactly once and was
/// received in full. If a call times out, the client stops using every
/// connection to that server that is older than the call and has received no
/// complete response since the call was sent: a middlebox that loses the state
/// of one connection loses that of the others with it.
///
/// A faulty server may write a response a second time, also where the next one
/// is due. A call with an attempt id is protected from that by the rules of
/// ResponseAttribution: a response that names the attempt is taken; one that
/// names another attempt, or none on a connection that has carried another
/// request, ends the call with kMayHaveRun and closes the connection; one that
/// names none is taken on a new connection, which carries no further request.
/// So a server that does not repeat attempt ids costs a connection for each
/// call.
///
/// Hop-by-hop headers and Content-Length are removed from the request, and a
/// header with the name kAttemptIdHeader if the call has an attempt id; the
/// client writes its own. The latter is removed from the response, too.
///
/// Thread safety: Send, Cancel and SendAndWait may be called from any thread.
/// Callbacks run on the client's thread and must not block.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. `done` is called exactly once.
  HttpCallId Send(HttpCall call, HttpCallback done);

  /// Asks the client's thread to end the call and to close its connection, so
  /// that the server notices. The callback runs as for any call without a
  /// response. Does nothing if the call has ended.
  void Cancel(HttpCallId id);

  /// Sends a request and blocks until the call has ended. Must not be called
  /// from a callback.
  HttpCallResult SendAndWait(HttpCall call);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_HTTP_CLIENT_H_
