#ifndef LIB_HTTP_SERVER_H_
#define LIB_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lib/http/message.h"

namespace applestand {

/// Where and within which bounds a server listens.
struct HttpServerOptions {
  /// IP number to listen on.
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  int threads = 2;
  /// Largest request body, in bytes; 413 over it.
  size_t max_request_bytes = size_t{8} << 20;
  /// Largest request line and headers together, in bytes; 431 over it.
  size_t max_head_bytes = size_t{16} << 10;
  /// Most bytes of request bodies held at once over all connections, until
  /// their answers are sent; 503 over it.
  size_t max_body_bytes_in_flight = size_t{256} << 20;
  /// Connections over this number are closed at once.
  size_t max_connections = 8192;
  /// Time from a request's first byte to the end of its head.
  std::chrono::milliseconds header_timeout{10000};
  /// Time from the end of a request's head to the end of its body.
  std::chrono::milliseconds body_timeout{30000};
  /// Time that a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{120000};
  /// Time in which the caller has to take an answer.
  std::chrono::milliseconds send_timeout{30000};
};

/// Sends the answer of one request. May be called from any thread; only the
/// first call counts, and it does nothing where the caller has gone. When the
/// last copy is destroyed without a call, the connection is closed.
using HttpReply = std::function<void(HttpResponse)>;

/// Receives whole requests on the server's threads; must not block. It may
/// answer later, from any thread.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// An HTTP/1.1 server. Requests of one connection are served one after the
/// other, answers come in their order. Malformed requests are refused and
/// their connection closed.
/// Thread safety: Start and Stop from one thread.
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and serves on threads of its own. Throws std::runtime_error where
  /// the address cannot be bound. Precondition: not started.
  void Start();

  /// Begins a graceful shutdown: every answer from now on tells its caller to
  /// close the connection. Requests are still served. Idempotent, any thread.
  void BeginDrain();

  /// Refuses requests that arrive from now on with 503 and `"ran":"no"`;
  /// requests in flight go on. Implies BeginDrain. Idempotent, any thread.
  void StopAccepting();

  /// Requests handed to the handler whose answers are not yet sent in full.
  /// The owner polls it after StopAccepting and calls Stop when it is 0.
  size_t requests_in_flight() const;

  /// Closes the listener and every connection. Idempotent.
  void Stop();

  /// The port in use; with options.port 0 the one the system chose.
  uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace applestand

#endif  // LIB_HTTP_SERVER_H_
