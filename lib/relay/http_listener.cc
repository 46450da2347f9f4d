#include "lib/relay/http_listener.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <vector>

#include "lib/http/response_writer.h"
#include "lib/log/log.h"
#include "lib/relay/server_connection.h"

namespace applestand {

namespace {

// Interval between checks for timed-out connections.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
// Callers send their first request within this time after they have connected.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
constexpr int kStatusRequestTimeout = 408;
// Requests of one connection that are passed on in a row, before other
// connections get a turn.
constexpr int kRequestsPerTurn = 16;
// Not zero, because timers that are due run before other connections.
constexpr Duration kTurnPause = std::chrono::milliseconds(1);
// Interval between checks whether a caller has read its responses.
constexpr Duration kUnreadResponsesPeriod = std::chrono::milliseconds(5);
// All but the rest of a request that has begun is read in pieces of this size,
// so that little is read beyond ListenerLimits::max_waiting_bytes.
constexpr size_t kSmallReadBytes = 4096;
constexpr const char* kClosed = "closed";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// When interim responses are written to a caller that has closed its sending
// side, counted from then. A caller that has closed its socket answers them
// with a reset. Few, because some HTTP libraries take no more than 5.
constexpr std::array<Duration, 3> kProbeTimes = {
    std::chrono::milliseconds(0), std::chrono::milliseconds(100),
    std::chrono::milliseconds(250)};
// Interval between checks for the reset.
constexpr Duration kProbeCheckPeriod = std::chrono::milliseconds(10);

}  // namespace

void ServerExchange::Respond(const HttpResponse& response) {
  if (m_responded) {
    return;
  }
  m_responded = true;
  m_on_caller_disconnect = nullptr;
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_caller_disconnected) {
    return;
  }
  const bool head_request = m_request.method == "HEAD";
  const auto repeated = m_repeated_header != nullptr
                            ? FindHeader(m_request.headers, m_repeated_header)
                            : std::nullopt;
  if (!repeated) {
    connection->Send(response, head_request);
    return;
  }
  HttpResponse named = response;
  named.headers.push_back({m_repeated_header, *repeated});
  connection->Send(named, head_request);
}

void ServerExchange::Abort() {
  m_responded = true;
  m_on_caller_disconnect = nullptr;
  if (const auto connection = m_connection.lock();
      connection && !m_caller_disconnected) {
    connection->Close({false, "aborted"});
  }
}

bool ServerExchange::WriteUnasked(const HttpResponse& response) const {
  const auto connection = m_connection.lock();
  return connection != nullptr && connection->WriteUnasked(response);
}

HttpListener::HttpListener(Reactor& reactor,
                           const std::string& address,
                           const ListenerLimits& limits,
                           ByteBudget& budget,
                           RequestHandler& handler)
    : m_reactor(reactor),
      m_address(address),
      m_limits(limits),
      m_budget(budget),
      m_waiting_budget(limits.max_waiting_bytes),
      m_handler(handler),
      m_sweep_timer(reactor) {
  m_sweep_timer.StartRepeating(kSweepPeriod,
                               [this] { CloseTimedOutConnections(); });
}

void HttpListener::Listen() {
  m_listener.emplace(m_reactor, m_address, m_limits.tcp_user_timeout,
                     [this](std::unique_ptr<TcpStream> stream) {
                       if (m_connections.size() >= m_limits.max_connections) {
                         return;
                       }
                       const auto connection =
                           std::make_shared<ServerConnection>(
                               *this, std::move(stream));
                       m_connections.insert(connection);
                       connection->Start();
                     });
}

HttpListener::~HttpListener() {
  for (const auto& connection : std::exchange(m_connections, {})) {
    connection->Close({true, "the process ends"});
  }
}

void HttpListener::CloseTimedOutConnections() {
  const TimePoint now = m_reactor.Now();
  const std::vector<std::shared_ptr<ServerConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) {
    connection->CloseIfTimedOut(now);
  }
}

void HttpListener::CloseIdle() {
  const TimePoint now = m_reactor.Now();
  const std::vector<std::shared_ptr<ServerConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) {
    connection->CloseIfIdle(now);
  }
}

bool HttpListener::has_unanswered_requests() const {
  const TimePoint now = m_reactor.Now();
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [now](const auto& connection) {
                       return !connection->idle() ||
                              connection->awaits_first_request(now);
                     });
}

bool HttpListener::has_undelivered_responses() const {
  return m_reactor.background_tasks() > 0 ||
         std::any_of(
             m_connections.begin(), m_connections.end(),
             [](const auto& connection) { return !connection->flushed(); });
}

ServerConnection::ServerConnection(HttpListener& listener,
                                   std::unique_ptr<TcpStream> stream)
    : m_listener(listener),
      m_stream(std::move(stream)),
      m_reader(listener.m_limits.request, listener.m_budget),
      m_input_reservation(listener.m_waiting_budget),
      m_probe_timer(listener.m_reactor),
      m_next_turn(listener.m_reactor),
      m_accepted_at(listener.m_reactor.Now()),
      m_received_at(m_accepted_at),
      m_timeout_start(m_accepted_at) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Start() {
  m_stream->LimitReads(kSmallReadBytes);
  m_stream->Read(*this);
}

void ServerConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (m_reader.state() == RequestReader::State::kRefused) {
    return;
  }
  // Pipelined requests wait in m_input until the current one has a response.
  m_input.append(bytes);
  m_received_at = m_listener.m_reactor.Now();
  ReadRequests();
}

void ServerConnection::ReadRequests() {
  // A response that is sent at once calls this again; the loop goes on then.
  if (m_reading_requests) {
    return;
  }
  m_reading_requests = true;
  int passed_on = 0;
  while (passed_on < kRequestsPerTurn && ReadRequest()) {
    ++passed_on;
  }
  m_reading_requests = false;
  if (m_stream == nullptr) {
    return;
  }
  if (m_caller_sends_no_more && m_exchange == nullptr && m_input.empty()) {
    // What is left is part of a request.
    CloseAfterWrites();
    return;
  }
  if (m_exchange == nullptr && !m_input.empty() &&
      (passed_on == kRequestsPerTurn || !m_stream->flushed())) {
    m_next_turn.Start(m_stream->flushed() ? kTurnPause : kUnreadResponsesPeriod,
                      [self = weak_from_this()] {
                        if (const auto connection = self.lock()) {
                          connection->ReadRequests();
                        }
                      });
  }
  UpdateReading();
}

bool ServerConnection::ReadRequest() {
  if (m_exchange != nullptr || m_stream == nullptr || m_input.empty() ||
      // A caller that does not read its responses gets no more of them.
      (!m_reader.started() && !m_stream->flushed())) {
    return false;
  }
  if (!m_reader.started()) {
    m_timeout_start = m_listener.m_reactor.Now();
  }
  const size_t used = m_reader.Read(m_input);
  m_input.erase(0, used);
  if (m_reader.state() == RequestReader::State::kRefused) {
    Refuse(m_reader.refusal().status, m_reader.refusal().text);
    return false;
  }
  if (m_reader.state() != RequestReader::State::kDone) {
    if (m_reader.expects_continue() && !m_continue_sent) {
      m_continue_sent = true;
      m_stream->Write(std::string(kContinue));
    }
    return false;
  }
  m_continue_sent = false;
  m_had_request = true;
  ByteReservation reservation(m_listener.m_budget);
  HttpRequest request = m_reader.TakeRequest(reservation);
  m_exchange = std::make_shared<ServerExchange>(
      std::move(request), std::move(reservation), m_received_at,
      weak_from_this());
  ++m_listener.m_open_requests;
  m_listener.m_handler.OnRequest(m_exchange);
  return true;
}

void ServerConnection::UpdateReading() {
  const bool within_request = m_exchange == nullptr && m_reader.started();
  m_stream->LimitReads(within_request ? std::numeric_limits<size_t>::max()
                                      : kSmallReadBytes);
  if (m_input.empty()) {
    // Released, since the next bytes may come much later.
    m_input = std::string();
  }
  // While reading is paused, a disconnect of the caller is not noticed. Only a
  // caller that has sent more than one further request of any size gets there,
  // or one that has sent further requests while those of others take much
  // memory.
  const RequestLimits& limits = m_listener.m_limits.request;
  const bool pause =
      m_input.size() > limits.max_head_bytes + limits.max_body_bytes ||
      !m_input_reservation.TryResize(m_input.size());
  if (m_caller_sends_no_more ||
      pause == std::exchange(m_reading_paused, pause)) {
    return;
  }
  if (pause) {
    m_stream->PauseReading();
  } else {
    m_stream->ResumeReading();
  }
}

void ServerConnection::Refuse(int status, const std::string& reason) {
  const Duration age = m_listener.m_reactor.Now() - m_timeout_start;
  const std::string id = m_listener.m_handler.RequestId(m_reader.headers());
  LogEvent(Event::kRequestUnread, {{"request", id.empty() ? "-" : id},
                                   {"peer", m_stream->peer()},
                                   {"listener", m_listener.m_address},
                                   {"status", status},
                                   {"reason", reason},
                                   {"age_ms", ToMillis(age)},
                                   {"all_bytes", m_listener.m_budget.held()}});
  const HttpResponse response = MakeRefusalResponse(status, reason);
  m_stream->Write(Serialize(response, {false, true}).bytes);
  CloseAfterWrites();
}

void ServerConnection::Send(const HttpResponse& response, bool head_request) {
  const auto self = shared_from_this();
  if (m_listener.m_closing && m_input.empty()) {
    m_stream->ReadArrived();
  }
  // Requests that have arrived get a response before the connection is closed.
  const bool close =
      ((m_listener.m_closing || m_caller_sends_no_more) && m_input.empty()) ||
      !m_reader.keep_alive();
  SerializedResponse out = Serialize(response, {head_request, close});
  m_exchange = nullptr;
  --m_listener.m_open_requests;
  m_stream->Write(std::move(out.bytes));
  if (out.close) {
    CloseAfterWrites();
    return;
  }
  m_timeout_start = m_listener.m_reactor.Now();
  m_reader.Reset();
  ReadRequests();
}

bool ServerConnection::WriteUnasked(const HttpResponse& response) {
  if (m_stream == nullptr) {
    return false;
  }
  m_stream->Write(Serialize(response, {false, false}).bytes);
  return true;
}

void ServerConnection::OnEnd(bool orderly, const char* error) {
  if (m_caller_sends_no_more) {
    // The caller has closed the rest of the connection, too.
    Close({false, kClosed});
    return;
  }
  const bool within_request = m_exchange == nullptr && m_reader.started();
  if (!orderly || within_request) {
    Close({false, error});
    return;
  }
  const auto self = shared_from_this();
  m_caller_sends_no_more = true;
  m_caller_ended_at = m_listener.m_reactor.Now();
  if (idle()) {
    CloseAfterWrites();
    return;
  }
  ProbeCaller();
}

void ServerConnection::ProbeCaller() {
  if (m_stream->broken()) {
    Close({false, kClosed});
    return;
  }
  const Duration ended_for = m_listener.m_reactor.Now() - m_caller_ended_at;
  if (m_probes < kProbeTimes.size() && ended_for >= kProbeTimes[m_probes]) {
    ++m_probes;
    WriteProbe();
  }
  m_probe_timer.Start(kProbeCheckPeriod, [self = weak_from_this()] {
    if (const auto connection = self.lock();
        connection && connection->m_stream != nullptr) {
      connection->ProbeCaller();
    }
  });
}

void ServerConnection::WriteProbe() {
  // Bytes that wait to be written have the same effect.
  if (m_exchange != nullptr && m_reader.knows_interim_responses() &&
      m_stream->flushed()) {
    m_stream->Write(std::string(kContinue));
  }
}

void ServerConnection::CloseAfterWrites() {
  TcpStream::CloseAfterWrites(std::move(m_stream));
  Remove();
}

void ServerConnection::Close(const Disconnection& disconnection) {
  const auto self = shared_from_this();
  m_stream = nullptr;
  if (const auto exchange = std::exchange(m_exchange, nullptr)) {
    --m_listener.m_open_requests;
    exchange->m_caller_disconnected = true;
    if (const auto on_caller_disconnect =
            std::exchange(exchange->m_on_caller_disconnect, nullptr)) {
      on_caller_disconnect(disconnection);
    }
  }
  Remove();
}

void ServerConnection::Remove() {
  m_listener.m_connections.erase(shared_from_this());
}

bool ServerConnection::awaits_first_request(TimePoint now) const {
  return !m_had_request && now - m_accepted_at < kFirstRequestTime;
}

void ServerConnection::CloseIfIdle(TimePoint now) {
  const auto self = shared_from_this();
  if (idle() && m_stream != nullptr) {
    m_stream->ReadArrived();
  }
  if (idle() && m_stream != nullptr && !awaits_first_request(now)) {
    CloseAfterWrites();
  }
}

void ServerConnection::CloseIfTimedOut(TimePoint now) {
  if (m_exchange != nullptr || m_stream == nullptr) {
    return;
  }
  const Duration age = now - m_timeout_start;
  if (!m_reader.started()) {
    if (age > m_listener.m_limits.idle_timeout) {
      Close({false, "idle"});
    }
    return;
  }
  if (age > m_listener.m_limits.request_timeout) {
    Refuse(kStatusRequestTimeout, "the request came too slowly");
  }
}

}  // namespace applestand
