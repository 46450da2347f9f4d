#ifndef LIB_HTTP_SERVER_CORE_H_
#define LIB_HTTP_SERVER_CORE_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include "lib/base/clock.h"
#include "lib/http/byte_budget.h"
#include "lib/http/server.h"

namespace applestand {

/// Schedules work of connections on the server's own thread, which is not one
/// of the reading threads. Thread-safe.
class ConnectionWatcher {
 public:
  virtual ~ConnectionWatcher() = default;

  /// Calls Connection::OnWritable when the socket is writable again.
  /// Precondition: `fd` is open.
  virtual void WatchWritable(int fd, uint64_t connection) = 0;

  /// Makes the server's thread call Connection::Resume.
  virtual void Resume(uint64_t connection) = 0;
};

/// State shared by all connections of a server. Outlives the server as long as
/// responses are outstanding. Thread-safe.
struct ServerCore {
  ServerCore(HttpServerOptions options_in, HttpHandler handler_in)
      : options(std::move(options_in)),
        handler(std::move(handler_in)),
        body_budget(options.max_body_bytes_in_flight) {}

  const HttpServerOptions options;
  const HttpHandler handler;
  const BootClock clock;
  ByteBudget body_budget;
  std::atomic<bool> draining{false};
  std::atomic<bool> refusing{false};
  std::atomic<size_t> requests_in_flight{0};
};

/// Counts one request, and keeps the bytes of its body reserved, from the time
/// it is passed to the handler until its response is sent.
class InFlightRequest {
 public:
  InFlightRequest(std::shared_ptr<ServerCore> core, ByteReservation reservation)
      : m_core(std::move(core)), m_reservation(std::move(reservation)) {
    ++m_core->requests_in_flight;
  }
  ~InFlightRequest() { --m_core->requests_in_flight; }
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;

 private:
  // Declared first, because the reservation refers to its byte budget.
  std::shared_ptr<ServerCore> m_core;
  ByteReservation m_reservation;
};

}  // namespace applestand

#endif  // LIB_HTTP_SERVER_CORE_H_
