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
  /// Largest whole request, head and body, in bytes.
  size_t max_request_bytes = size_t{8} << 20;
  std::chrono::seconds header_timeout{10};
  std::chrono::seconds body_timeout{30};
};

/// Sends the answer of one request. May be called from any thread, once.
using HttpReply = std::function<void(HttpResponse)>;

/// Receives whole requests on the server's threads; must not block. It may
/// answer later, from any thread.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// An HTTP/1.1 server. Thread safety: Start and Stop from one thread.
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and serves on threads of its own. Throws std::runtime_error where
  /// the address cannot be bound. Precondition: not started.
  void Start();

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
