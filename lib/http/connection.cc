#include "lib/http/connection.h"

#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <utility>

namespace applestand {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// Time that a caller has to close the connection after the last response.
/// Closing a socket with unread input resets the connection, and the caller may
/// then lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

}  // namespace

class Connection::PendingResponse {
 public:
  PendingResponse(std::shared_ptr<Connection> connection,
                  std::unique_ptr<InFlightRequest> in_flight,
                  const ResponseContext& context)
      : m_connection(std::move(connection)),
        m_in_flight(std::move(in_flight)),
        m_context(context) {}

  ~PendingResponse() {
    if (!m_sent) {
      m_connection->Abort();
    }
  }

  PendingResponse(const PendingResponse&) = delete;
  PendingResponse& operator=(const PendingResponse&) = delete;

  void Send(const HttpResponse& response) {
    if (m_sent.exchange(true)) {
      return;
    }
    m_connection->SendResponse(response, std::move(m_in_flight), m_context);
  }

 private:
  const std::shared_ptr<Connection> m_connection;
  std::unique_ptr<InFlightRequest> m_in_flight;
  const ResponseContext m_context;
  std::atomic<bool> m_sent{false};
};

Connection::Connection(int fd,
                       uint64_t id,
                       std::string peer,
                       std::shared_ptr<ServerCore> core,
                       ConnectionWatcher& watcher)
    : m_fd(fd),
      m_peer(std::move(peer)),
      m_core(std::move(core)),
      m_watcher(watcher),
      m_info(std::make_shared<HttpConnectionInfo>()),
      m_reader(
          {m_core->options.max_head_bytes, m_core->options.max_request_bytes},
          m_core->body_budget),
      m_timer_start(m_core->clock.Now()) {
  m_info->id = id;
}

void Connection::OnInput(std::string_view bytes) {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_phase == Phase::kClosing || m_phase == Phase::kClosed) {
    return;
  }
  if (m_phase == Phase::kResponding &&
      m_input.size() + bytes.size() > m_core->options.max_head_bytes) {
    // The pipelined requests exceed the input buffer. Discards them and closes
    // the connection after the current response. None of them has run, and the
    // caller gets no response to any of them.
    m_close_after_output = true;
    return;
  }
  m_input.append(bytes);
  Process(lock);
}

void Connection::Resume() {
  std::unique_lock<std::mutex> lock(m_mutex);
  Process(lock);
}

void Connection::Process(std::unique_lock<std::mutex>& lock) {
  while (m_phase == Phase::kReading && !m_input.empty()) {
    const RequestReader::State before = m_reader.state();
    const bool started = m_reader.started();
    const size_t used = m_reader.Read(m_input);
    m_input.erase(0, used);
    switch (m_reader.state()) {
      case RequestReader::State::kHead:
        if (!started) {
          RestartTimer();
        }
        return;
      case RequestReader::State::kBody:
        if (before == RequestReader::State::kHead) {
          RestartTimer();
        }
        if (m_reader.expects_continue()) {
          Write(std::string(kContinue));
        }
        return;
      case RequestReader::State::kDone:
        Dispatch(lock);
        break;
      case RequestReader::State::kRefused:
        Refuse(m_reader.refusal().status, m_reader.refusal().text);
        return;
    }
  }
}

void Connection::Dispatch(std::unique_lock<std::mutex>& lock) {
  if (m_core->refusing) {
    Refuse(kServiceUnavailable, "the host is stopping");
    return;
  }
  ByteReservation reservation(m_core->body_budget);
  HttpRequest request = m_reader.TakeRequest(reservation);
  request.peer = m_peer;
  request.connection = m_info;
  ResponseContext context;
  context.head = request.method == "HEAD";
  context.close = !m_reader.keep_alive();
  m_reader.Reset();
  m_phase = Phase::kResponding;
  auto in_flight =
      std::make_unique<InFlightRequest>(m_core, std::move(reservation));
  auto pending = std::make_shared<PendingResponse>(
      shared_from_this(), std::move(in_flight), context);

  lock.unlock();
  m_core->handler(std::move(request),
                  [pending = std::move(pending)](const HttpResponse& response) {
                    pending->Send(response);
                  });
  lock.lock();
}

void Connection::Refuse(int status, const std::string& text) {
  m_phase = Phase::kResponding;
  m_close_after_output = true;
  m_input.clear();
  Write(Serialize(MakeRefusalResponse(status, text), {false, true}).bytes);
  if (m_output.empty()) {
    OnResponseSent();
  }
}

void Connection::SendResponse(const HttpResponse& response,
                              std::unique_ptr<InFlightRequest> in_flight,
                              const ResponseContext& context) {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_phase != Phase::kResponding) {
    return;
  }
  ResponseContext current = context;
  current.close = current.close || m_close_after_output || m_core->draining;
  SerializedResponse serialized = Serialize(response, current);
  m_close_after_output = serialized.close;
  m_in_flight = std::move(in_flight);
  Write(std::move(serialized.bytes));
  if (m_phase == Phase::kResponding && m_output.empty()) {
    OnResponseSent();
  }
}

void Connection::Write(std::string bytes) {
  if (m_output.empty()) {
    m_output = std::move(bytes);
  } else {
    m_output += bytes;
  }
  RestartTimer();
  Flush();
}

void Connection::Flush() {
  size_t sent = 0;
  while (sent < m_output.size()) {
    const ssize_t count =
        ::send(m_fd, m_output.data() + sent, m_output.size() - sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      m_watcher.WatchWritable(m_fd, m_info->id);
    } else {
      Shutdown();
    }
    break;
  }
  m_output.erase(0, sent);
}

void Connection::OnWritable() {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_phase == Phase::kClosed || m_output.empty()) {
    return;
  }
  Flush();
  if (m_phase == Phase::kResponding && m_output.empty()) {
    OnResponseSent();
  }
}

void Connection::OnResponseSent() {
  m_in_flight.reset();
  RestartTimer();
  if (m_close_after_output) {
    StartClosing();
    return;
  }
  m_phase = Phase::kReading;
  if (!m_input.empty()) {
    // Processing continues on the server's thread, because this function may
    // run on any thread of the handler.
    m_watcher.Resume(m_info->id);
  }
}

void Connection::StartClosing() {
  m_phase = Phase::kClosing;
  m_input.clear();
  RestartTimer();
  ::shutdown(m_fd, SHUT_WR);
}

void Connection::Shutdown() {
  if (m_phase != Phase::kClosed) {
    m_info->closed = true;
    m_phase = Phase::kClosing;
    ::shutdown(m_fd, SHUT_RDWR);
  }
}

void Connection::Abort() {
  std::unique_lock<std::mutex> lock(m_mutex);
  Shutdown();
}

void Connection::OnClosed() {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_info->closed = true;
  m_phase = Phase::kClosed;
  m_input.clear();
  m_output.clear();
  m_in_flight.reset();
  m_reader.Reset();
}

void Connection::CheckTimeouts(TimePoint now) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const HttpServerOptions& options = m_core->options;
  const Duration waited = now - m_timer_start;
  if (m_phase == Phase::kClosing) {
    if (waited > kLingerTimeout) {
      Shutdown();
    }
    return;
  }
  if (m_phase == Phase::kResponding) {
    if (!m_output.empty() && waited > options.send_timeout) {
      Shutdown();
    }
    return;
  }
  if (m_phase != Phase::kReading) {
    return;
  }
  if (!m_reader.started()) {
    if (waited > options.idle_timeout) {
      StartClosing();
    }
    return;
  }
  const bool in_body = m_reader.state() == RequestReader::State::kBody;
  if (waited > (in_body ? options.body_timeout : options.header_timeout)) {
    Refuse(kRequestTimeout, "the request came too slowly");
  }
}

void Connection::RestartTimer() {
  m_timer_start = m_core->clock.Now();
}

}  // namespace applestand
