#ifndef LIB_HTTP_CLIENT_H_
#define LIB_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// One request to one server.
struct HttpCall {
  /// "IP:port" of the server.
  std::string address;
  HttpRequest request;
  /// Time for the whole exchange, connecting included.
  Duration timeout = std::chrono::seconds(10);
  /// The request may be sent again by the client itself, where a kept
  /// connection turns out to be closed. Where false it is sent at most once.
  bool may_repeat = false;
  /// A larger answer body ends the call with kMayHaveRun.
  size_t max_response_bytes = size_t{16} << 20;
};

/// How a call ended.
struct HttpCallResult {
  /// kRan: `response` is the server's whole answer, whatever its status.
  /// kNotRun: no byte of the request left. kMayHaveRun: otherwise.
  Ran ran = Ran::kNotRun;
  HttpResponse response;
  Reason reason;
};

using HttpCallback = std::function<void(HttpCallResult)>;

/// Names a call of one client.
using HttpCallId = Counter<struct HttpCallTag>;

/// Sends requests over kept connections, on one thread of its own.
///
/// A request is sent at most once unless it may be repeated. An answer counts
/// as whole only where its length is stated and all of it has come. A call that
/// times out makes the client drop every connection to that server that has
/// shown no sign of life since the call was sent, since connections that
/// something on the way has lost track of are lost together.
///
/// Headers that belong to one connection, Content-Length among them, are left
/// out of the request; the client writes its own.
///
/// Thread safety: Send, Cancel and SendAndWait may be called from any
/// thread.
/// Callbacks run on the client's thread and must not block.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call; `done` runs exactly once.
  HttpCallId Send(HttpCall call, HttpCallback done);

  /// Ends a call soon and closes its connection, so that the server notices;
  /// its callback runs as for any call that got no answer. Does nothing where
  /// the call has ended.
  void Cancel(HttpCallId id);

  /// Sends and blocks until the call has ended. Not from a callback.
  HttpCallResult SendAndWait(HttpCall call);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_HTTP_CLIENT_H_
