#include "lib/relay/client_connection.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Subtracted from the idle timeout that a server announces. The server may
// close the connection this much earlier than expected, because its timeout
// starts when it sends the response and the announced value is in whole
// seconds.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(1500);
// Interval between checks whether a server that does not read its request is
// alive; see TcpStream::AllowSlowReading.
constexpr Duration kSlowReadingPeriod = std::chrono::milliseconds(100);
// Maximum number of responses that are skipped in one call.
constexpr size_t kMaxSkippedResponses = 8;

}  // namespace

ClientConnection::ClientConnection(HttpClientPool& pool, std::string address)
    : m_pool(pool),
      m_address(std::move(address)),
      m_slow_reading_timer(pool.m_reactor) {}

ClientConnection::~ClientConnection() {
  ResetReader();
}

bool ClientConnection::usable(TimePoint now, Duration max_idle) const {
  return m_stream != nullptr &&
         now - m_idle_since < std::min(max_idle, m_server_idle_timeout);
}

bool ClientConnection::CloseIfNotSilent() {
  const std::optional<size_t> arrived = m_stream->PeekArrived();
  if (!arrived) {
    return true;
  }
  if (*arrived > 0) {
    LogSkipped(0, ResponseOwner::kUnknown, *arrived);
  }
  Close();
  return false;
}

void ClientConnection::Begin(std::string request,
                             CallOptions options,
                             HttpClientPool::Callback callback) {
  m_request = std::move(request);
  m_options = std::move(options);
  m_callback = std::move(callback);
  m_sent = false;
  ++m_last_call_number;
  EmplaceReader();
  m_skipped_responses = 0;
  m_attribution.OnRequest(m_options.response_id);
  m_timer.emplace(m_pool.m_reactor);
  m_call_begun = m_pool.m_reactor.Now();
  m_opened_for_call = m_stream == nullptr;
  m_connection_idle_time = Duration::zero();
  if (!m_opened_for_call) {
    m_connection_idle_time = m_call_begun - m_idle_since;
    OnConnected();
    return;
  }
  ++m_pool.m_opened_connections;
  m_stream = TcpStream::Connect(m_pool.m_reactor, m_address,
                                m_options.tcp_user_timeout, *this);
  if (m_stream == nullptr) {
    m_timer->Start(Duration::zero(), [self = shared_from_this()] {
      self->Fail("malformed address", true);
    });
    return;
  }
  m_timer->Start(std::min(m_options.connect_timeout, m_options.call_timeout),
                 [this] { Fail("connection timed out", false); });
}

void ClientConnection::OnConnected() {
  m_connected = true;
  m_sent = true;
  m_stream->Write(std::move(m_request));
  m_request.clear();
  m_slow_reading_timer.StartRepeating(kSlowReadingPeriod,
                                      [this] { m_stream->AllowSlowReading(); });
  m_timer->Start(m_options.call_timeout,
                 [this] { Fail("no complete response in time", false); });
}

void ClientConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!m_reader) {
    // Without a call in progress these bytes belong to no request.
    LogSkipped(0, ResponseOwner::kUnknown, bytes.size());
    Close();
    return;
  }
  ReadResponses(bytes);
}

void ClientConnection::ReadResponses(std::string_view bytes) {
  while (m_reader) {
    bytes.remove_prefix(m_reader->Read(bytes));
    if (m_reader->state() == ResponseReader::State::kMalformed) {
      Fail(m_reader->error(), false);
      return;
    }
    if (m_reader->state() != ResponseReader::State::kDone) {
      ReportMemory(m_reader->held_bytes());
      return;
    }
    const bool keep = m_reader->keep_alive();
    HttpResponse response = m_reader->TakeResponse();
    const ResponseOwner owner = m_options.owner_of
                                    ? m_options.owner_of(response)
                                    : ResponseOwner::kThisRequest;
    if (!m_attribution.OnResponse(owner)) {
      LogSkipped(response.status, owner, 0);
      EmplaceReader();
      if (++m_skipped_responses > kMaxSkippedResponses) {
        Fail("too many responses that are not known to be this request's",
             false);
        return;
      }
      if (!keep) {
        Fail(
            "server closed the connection after a response that is not known "
            "to be this request's",
            false);
        return;
      }
      continue;
    }
    UpdateServerIdleTimeout(response);
    CallResult result;
    result.ran = Ran::kRan;
    result.response = std::move(response);
    result.identified = owner == ResponseOwner::kThisRequest;
    if (!bytes.empty()) {
      LogSkipped(0, ResponseOwner::kUnknown, bytes.size());
      m_attribution.OnUnaskedBytes();
    }
    // A request that is not yet written in full would be confused with the next
    // call.
    if (!keep || !m_attribution.may_carry_request() || !m_stream->flushed()) {
      m_stream = nullptr;
    }
    ResetReader();
    m_timer.reset();
    m_idle_since = m_pool.m_reactor.Now();
    if (m_stream != nullptr) {
      m_pool.AddIdle(shared_from_this());
    }
    Report(std::move(result));
    return;
  }
}

void ClientConnection::LogSkipped(int status,
                                  ResponseOwner owner,
                                  size_t unasked_bytes) const {
  LogEvent(Event::kResponseSkipped,
           {{"request", m_callback ? m_options.log_id : "-"},
            {"server", m_address},
            {"owner", ToString(owner)},
            {"status", status},
            {"unasked_bytes", unasked_bytes},
            {"requests_on_connection", m_attribution.requests()},
            {"after_ms", ToMillis(m_pool.m_reactor.Now() - m_call_begun)}});
}

void ClientConnection::EmplaceReader() {
  m_reader.emplace(m_options.head_request, m_options.max_response_bytes,
                   m_options.body_sink.get());
}

void ClientConnection::ResetReader() {
  m_reader.reset();
  m_slow_reading_timer.Cancel();
  ReportMemory(0);
}

void ClientConnection::ReportMemory(size_t bytes) {
  if (bytes != std::exchange(m_reported_memory, bytes)) {
    m_pool.OnResponseMemory(*this, bytes);
  }
}

void ClientConnection::FailForMemory(size_t total_bytes) {
  Fail("the responses of all servers together take " +
           std::to_string(total_bytes) + " bytes",
       false);
}

void ClientConnection::UpdateServerIdleTimeout(const HttpResponse& response) {
  const auto header = FindHeader(response.headers, "Keep-Alive");
  if (!header) {
    return;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const size_t at = header->find(kTimeout);
  if (at == std::string::npos) {
    return;
  }
  int64_t limit_s = 0;
  const char* begin = header->data() + at + kTimeout.size();
  const auto [rest, error] =
      std::from_chars(begin, header->data() + header->size(), limit_s);
  if (error == std::errc() && limit_s >= 0 && limit_s < 1'000'000) {
    m_server_idle_timeout = std::chrono::seconds(limit_s) - kIdleTimeoutMargin;
  }
}

void ClientConnection::OnEnd(bool orderly, const char* error) {
  const auto self = shared_from_this();
  if (!m_reader) {
    Close();
    return;
  }
  const bool response_started = m_reader->started();
  m_reader->OnEnd(orderly);
  if (m_reader->state() == ResponseReader::State::kDone) {
    ReadResponses({});
    return;
  }
  Fail(response_started ? m_reader->error() : error, true);
}

void ClientConnection::Fail(const std::string& error, bool connection_failed) {
  const auto self = shared_from_this();
  CallResult result;
  result.ran = m_sent ? Ran::kMayHaveRun : Ran::kNotRun;
  result.error = error;
  result.connection_failed = connection_failed;
  m_stream = nullptr;
  ResetReader();
  // Cancelled but not destroyed, since this function may run in its callback.
  m_timer->Cancel();
  Report(std::move(result));
}

void ClientConnection::Report(CallResult result) {
  result.opened_connection = m_opened_for_call;
  result.connection_idle_time = m_connection_idle_time;
  result.requests_on_connection = m_attribution.requests();
  if (const auto callback = std::exchange(m_callback, nullptr)) {
    callback(std::move(result));
  }
}

void ClientConnection::Cancel(uint64_t call) {
  if (call == m_last_call_number && m_callback) {
    Close();
  }
}

void ClientConnection::Close() {
  m_callback = nullptr;
  m_stream = nullptr;
  ResetReader();
  if (m_timer) {
    m_timer->Cancel();
  }
}

}  // namespace applestand
