#ifndef LIB_HTTP_SERVER_H_
#define LIB_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lib/http/message.h"

namespace applestand {

struct HttpServerOptions {
  /// IP address to listen on.
  std::string address = "127.0.0.1";
  /// If 0, the system chooses the port.
  uint16_t port = 0;
  int threads = 2;
  /// Maximum size of a request body. Larger requests get status 413.
  size_t max_request_bytes = size_t{8} << 20;
  /// Maximum size of the request line and headers together. Larger requests get
  /// status 431.
  size_t max_head_bytes = size_t{16} << 10;
  /// Maximum total size of the request bodies on all connections. A body counts
  /// until the response is sent. Requests beyond the limit get status 503.
  size_t max_body_bytes_in_flight = size_t{256} << 20;
  /// Connections beyond this number get status 503 and are closed at once.
  size_t max_connections = 8192;
  /// Time limit from the first byte of a request to the end of its head.
  std::chrono::milliseconds header_timeout{10000};
  /// Time limit from the end of a request's head to the end of its body.
  std::chrono::milliseconds body_timeout{30000};
  /// Time limit for which a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{120000};
  /// Time limit for the caller to receive a response.
  std::chrono::milliseconds send_timeout{30000};
};

/// Sends the response to one request. May be called from any thread. Calls
/// after the first, and calls after the caller has disconnected, have no
/// effect. If the last copy is destroyed without a call, the connection is
/// closed.
using HttpReply = std::function<void(HttpResponse)>;

/// Receives complete requests on the server's threads and must not block. The
/// response may be sent later, from any thread.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// An HTTP/1.1 server. Requests on one connection are processed one at a time,
/// and their responses are sent in the same order. After a malformed request is
/// refused, its connection is closed.
/// Thread safety: Start and Stop must be called from one thread.
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts serving on threads of its own. Throws
  /// std::runtime_error if the address cannot be bound.
  /// Precondition: not started.
  void Start();

  /// Begins a graceful shutdown: from now on, every response closes its
  /// connection. Requests are still served. Idempotent, thread-safe.
  void BeginDrain();

  /// Refuses requests that arrive from now on with status 503 and `"ran":"no"`.
  /// Requests in flight are completed. Implies BeginDrain. Idempotent,
  /// thread-safe.
  void RefuseNewRequests();

  /// Returns the number of requests that were passed to the handler and whose
  /// responses are not yet sent in full. The owner polls it after
  /// RefuseNewRequests and calls Stop when it is 0.
  size_t requests_in_flight() const;

  /// Closes the listening socket and every connection. Idempotent.
  void Stop();

  /// Returns the bound port.
  uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_HTTP_SERVER_H_
