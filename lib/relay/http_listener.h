#ifndef LIB_RELAY_HTTP_LISTENER_H_
#define LIB_RELAY_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/http/byte_budget.h"
#include "lib/http/message.h"
#include "lib/http/request_reader.h"
#include "lib/net/tcp.h"
#include "lib/relay/caller_exchange.h"

namespace applestand {

class ServerConnection;

/// A request received by a listener. Not thread-safe.
class ServerExchange : public CallerExchange {
 public:
  ServerExchange(HttpRequest request,
                 ByteReservation reservation,
                 TimePoint arrival_time,
                 std::weak_ptr<ServerConnection> connection)
      : m_request(std::move(request)),
        m_reservation(std::move(reservation)),
        m_arrival_time(arrival_time),
        m_connection(std::move(connection)) {}

  const HttpRequest& request() const override { return m_request; }
  TimePoint arrival_time() const override { return m_arrival_time; }
  bool caller_disconnected() const override { return m_caller_disconnected; }
  /// Returns whether Respond or Abort has been called.
  bool responded() const { return m_responded; }

  void Respond(const HttpResponse& response) override;

  /// Closes the caller's connection without a response.
  void Abort();
  /// Writes a response that the caller does not wait for, as a faulty server
  /// does. Returns false if the connection is closed. For stand-ins only.
  bool WriteUnasked(const HttpResponse& response) const;
  /// Returns whether `other` was received on the same connection.
  bool IsOnSameConnection(const ServerExchange& other) const {
    return !m_connection.owner_before(other.m_connection) &&
           !other.m_connection.owner_before(m_connection);
  }
  /// Makes the response repeat a header of the request, if the request has it.
  /// `name` must outlive this object.
  void RepeatHeader(const char* name) { m_repeated_header = name; }

  void OnCallerDisconnect(
      std::function<void(const Disconnection&)> on_caller_disconnect) override {
    m_on_caller_disconnect = std::move(on_caller_disconnect);
  }

 private:
  friend class ServerConnection;

  HttpRequest m_request;
  ByteReservation m_reservation;
  TimePoint m_arrival_time;
  std::weak_ptr<ServerConnection> m_connection;
  std::function<void(const Disconnection&)> m_on_caller_disconnect;
  const char* m_repeated_header = nullptr;
  bool m_caller_disconnected = false;
  bool m_responded = false;
};

/// Processes the requests that an HttpListener receives.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Called once for each completely received request.
  virtual void OnRequest(const std::shared_ptr<ServerExchange>& exchange) = 0;
  /// Returns the id that names a request with these headers in log lines, empty
  /// if there is none. Called for requests that are not passed to OnRequest.
  virtual std::string RequestId(
      const std::vector<HttpHeader>& /*headers*/) const {
    return "";
  }
};

struct ListenerLimits {
  RequestLimits request;
  /// Maximum time to receive the head and body of a request.
  Duration request_timeout = std::chrono::seconds(10);
  /// Maximum time that a connection may stay open without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  /// A connection is closed if sent data stays unacknowledged for this long.
  /// See TcpListener.
  Duration tcp_user_timeout = std::chrono::seconds(5);
  /// Requests that wait behind others of their connections take about this many
  /// bytes in total at most. Beyond that, no more of them are read. Has an
  /// effect only on construction.
  size_t max_waiting_bytes = size_t{16} << 20;
  /// Maximum number of open connections; further ones are closed at once.
  size_t max_connections = 2048;
};

/// Serves HTTP/1.1 on one address. The requests of a connection are processed
/// one at a time, in order. Each body is received completely before its request
/// is handled, and its bytes are reserved in the byte budget. Not thread-safe.
class HttpListener {
 public:
  /// Does not listen yet. Precondition: `reactor`, `budget` and `handler`
  /// outlive the listener.
  HttpListener(Reactor& reactor,
               const std::string& address,
               const ListenerLimits& limits,
               ByteBudget& budget,
               RequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Starts to accept connections. Throws std::runtime_error if listening on
  /// the address fails.
  void Listen();

  /// Replaces the limits. New timeouts apply to all connections, new limits on
  /// the size of a request to connections accepted later. `tcp_user_timeout`
  /// has an effect only before Listen.
  void SetLimits(const ListenerLimits& limits) { m_limits = limits; }

  /// Closes each connection after its next response.
  void CloseAfterResponses() { m_closing = true; }
  /// Closes the listening socket; open connections stay open.
  void StopAccepting() { m_listener.reset(); }
  /// Closes the connections without a request in progress, partly received or,
  /// on a connection that has just been accepted, about to come.
  void CloseIdle();
  /// Returns whether a request is in progress, partly received or about to come
  /// on a connection that has just been accepted.
  bool has_unanswered_requests() const;

  /// Returns whether responses have not been passed to the operating system, or
  /// connections of the reactor are being closed in a way that lets their peers
  /// receive what was written to them.
  bool has_undelivered_responses() const;

  /// Returns the number of requests without a response yet.
  size_t open_requests() const { return m_open_requests; }
  size_t connections() const { return m_connections.size(); }
  /// Returns the bytes of requests that wait behind others.
  size_t waiting_bytes() const { return m_waiting_budget.held(); }
  /// Returns the bound address as "IP:port". Precondition: Listen has been
  /// called and StopAccepting has not.
  std::string address() const { return m_listener->address(); }

 private:
  friend class ServerConnection;

  void CloseTimedOutConnections();

  Reactor& m_reactor;
  const std::string m_address;
  ListenerLimits m_limits;
  ByteBudget& m_budget;
  ByteBudget m_waiting_budget;
  RequestHandler& m_handler;
  bool m_closing = false;
  size_t m_open_requests = 0;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  Timer m_sweep_timer;
  std::optional<TcpListener> m_listener;
};

}  // namespace applestand

#endif  // LIB_RELAY_HTTP_LISTENER_H_
