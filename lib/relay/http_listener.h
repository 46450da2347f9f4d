#ifndef LIB_RELAY_HTTP_LISTENER_H_
#define LIB_RELAY_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "lib/http/byte_budget.h"
#include "lib/http/message.h"
#include "lib/http/request_reader.h"
#include "lib/net/tcp.h"

namespace applestand {

class ServerConnection;

/// One request and the right to answer it, once. Not thread-safe.
class Exchange {
 public:
  Exchange(HttpRequest request,
           ByteReservation reservation,
           TimePoint arrived,
           std::weak_ptr<ServerConnection> connection)
      : m_request(std::move(request)),
        m_reservation(std::move(reservation)),
        m_arrived(arrived),
        m_connection(std::move(connection)) {}

  const HttpRequest& request() const { return m_request; }
  /// When the whole request was read.
  TimePoint arrived() const { return m_arrived; }
  /// The caller has closed its connection; an answer would reach nobody.
  bool gone() const { return m_gone; }
  bool answered() const { return m_answered; }

  /// Sends the answer at once; only the first call has an effect.
  void Respond(const HttpResponse& response);

  /// Closes the caller's connection without an answer.
  void Abort();

  /// `on_gone` runs once if the caller goes away before it was answered.
  void OnGone(std::function<void()> on_gone) { m_on_gone = std::move(on_gone); }

 private:
  friend class ServerConnection;

  HttpRequest m_request;
  ByteReservation m_reservation;
  TimePoint m_arrived;
  std::weak_ptr<ServerConnection> m_connection;
  std::function<void()> m_on_gone;
  bool m_gone = false;
  bool m_answered = false;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Called once for each whole request.
  virtual void OnRequest(const std::shared_ptr<Exchange>& exchange) = 0;
};

struct ListenerLimits {
  RequestLimits request;
  /// Time for a request's head and body to come in.
  Duration request_time = std::chrono::seconds(10);
  /// Time that a connection may stay without a request.
  Duration idle_time = std::chrono::seconds(60);
  /// Unacknowledged data ends a connection after this time.
  Duration silence_limit = std::chrono::seconds(5);
  /// Connections held at once; further ones are closed.
  size_t max_connections = 2048;
};

/// Serves HTTP/1.1 on one address, one request at a time a connection, in
/// order. Bodies are read whole, within `budget`. Not thread-safe.
class HttpListener {
 public:
  /// Does not listen yet. Precondition: the references outlive the listener.
  HttpListener(Reactor& reactor,
               const std::string& address,
               const ListenerLimits& limits,
               ByteBudget& budget,
               RequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Begins to accept connections. Throws std::runtime_error where the address
  /// cannot be listened on.
  void Listen();

  /// Applies to requests that begin later.
  void SetLimits(const ListenerLimits& limits) { m_limits = limits; }

  /// From now on each answer ends its connection.
  void CloseAfterAnswers() { m_closing = true; }
  /// Closes the address; connections stay.
  void StopAccepting() { m_listener.reset(); }
  /// Closes the connections that have no request under way.
  void CloseIdle();

  /// Requests that are not yet answered.
  size_t open_requests() const { return m_open_requests; }
  size_t connections() const { return m_connections.size(); }
  /// Precondition: it listens.
  std::string address() const { return m_listener->address(); }

 private:
  friend class ServerConnection;

  void Sweep();

  Reactor& m_reactor;
  const std::string m_address;
  ListenerLimits m_limits;
  ByteBudget& m_budget;
  RequestHandler& m_handler;
  bool m_closing = false;
  size_t m_open_requests = 0;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  Timer m_sweep;
  std::optional<TcpListener> m_listener;
};

}  // namespace applestand

#endif  // LIB_RELAY_HTTP_LISTENER_H_
