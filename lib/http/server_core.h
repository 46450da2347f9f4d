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

/// What has to happen on the server's own thread, apart from the threads that
/// read. Thread-safe.
class ConnectionWatcher {
 public:
  virtual ~ConnectionWatcher() = default;

  /// Calls Connection::OnWritable once the socket takes bytes again.
  /// Precondition: `fd` is open.
  virtual void WatchWritable(int fd, uint64_t connection) = 0;

  /// Calls Connection::Resume soon.
  virtual void Resume(uint64_t connection) = 0;
};

/// What a server's connections share. It outlives the server while answers
/// are outstanding. Thread-safe.
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

/// Counts one request from its hand-over until its answer is sent, and holds
/// the bytes of its body meanwhile.
class InFlight {
 public:
  InFlight(std::shared_ptr<ServerCore> core, ByteReservation reservation)
      : m_core(std::move(core)), m_reservation(std::move(reservation)) {
    ++m_core->requests_in_flight;
  }
  ~InFlight() { --m_core->requests_in_flight; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  // Declared first: the reservation refers to it.
  std::shared_ptr<ServerCore> m_core;
  ByteReservation m_reservation;
};

}  // namespace applestand

#endif  // LIB_HTTP_SERVER_CORE_H_
