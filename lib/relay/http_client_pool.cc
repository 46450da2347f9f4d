#include "lib/relay/http_client_pool.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "lib/relay/client_connection.h"

namespace applestand {

namespace {

// Interval between removals of idle connections that are closed or too old.
constexpr Duration kSweepPeriod = std::chrono::seconds(2);
// Longer than any server of the platform keeps an idle connection open.
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);
// Maximum number of idle connections to a server that have all carried the id
// of a call. A caller that gives all its requests one id would otherwise use up
// the connections that the server accepts.
constexpr size_t kMaxIdleWithId = 4;

}  // namespace

PendingCall::PendingCall(std::shared_ptr<ClientConnection> connection)
    : m_connection(std::move(connection)),
      m_call_number(m_connection->last_call_number()) {}

PendingCall::~PendingCall() {
  m_connection->Cancel(m_call_number);
}

HttpClientPool::HttpClientPool(Reactor& reactor, size_t max_response_memory)
    : m_reactor(reactor),
      m_max_response_memory(max_response_memory),
      m_sweep_timer(reactor) {
  m_sweep_timer.StartRepeating(kSweepPeriod,
                               [this] { RemoveUnusableConnections(); });
}

HttpClientPool::~HttpClientPool() = default;

std::unique_ptr<PendingCall> HttpClientPool::Call(const std::string& address,
                                                  std::string request,
                                                  CallOptions options,
                                                  Callback callback) {
  std::shared_ptr<ClientConnection> connection =
      options.new_connection ? nullptr : TakeIdle(address, options);
  if (connection == nullptr) {
    connection = std::make_shared<ClientConnection>(*this, address);
  }
  connection->Begin(std::move(request), std::move(options),
                    std::move(callback));
  return std::unique_ptr<PendingCall>(new PendingCall(std::move(connection)));
}

std::shared_ptr<ClientConnection> HttpClientPool::TakeIdle(
    const std::string& address,
    const CallOptions& options) {
  const TimePoint now = m_reactor.Now();
  auto& idle = m_idle[address];
  // Takes the most recently used connection first, so that connections in
  // excess of the load stay idle until they are removed.
  for (size_t i = idle.size(); i-- > 0;) {
    std::shared_ptr<ClientConnection> candidate = idle[i];
    const bool usable = candidate->usable(now, options.max_idle);
    if (usable && !candidate->may_carry_request(options.response_id)) {
      continue;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (usable && candidate->CloseIfNotSilent()) {
      return candidate;
    }
  }
  // All that are left have carried the id. The least recently used come first.
  if (idle.size() > kMaxIdleWithId) {
    idle.erase(idle.begin(), idle.end() - kMaxIdleWithId);
  }
  return nullptr;
}

void HttpClientPool::OnResponseMemory(ClientConnection& connection,
                                      size_t bytes) {
  size_t& held = m_response_memory[&connection];
  m_total_response_memory = m_total_response_memory - held + bytes;
  held = bytes;
  if (bytes == 0) {
    m_response_memory.erase(&connection);
  }
  while (m_total_response_memory > m_max_response_memory) {
    const auto largest = std::max_element(
        m_response_memory.begin(), m_response_memory.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    largest->first->FailForMemory(m_total_response_memory);
  }
}

void HttpClientPool::AddIdle(
    const std::shared_ptr<ClientConnection>& connection) {
  m_idle[connection->address()].push_back(connection);
}

void HttpClientPool::CloseIdle(const std::string& address) {
  m_idle.erase(address);
}

void HttpClientPool::RemoveUnusableConnections() {
  const TimePoint now = m_reactor.Now();
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    auto& idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const auto& connection) {
                                return !connection->usable(now, kMaxIdleTime);
                              }),
               idle.end());
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
}

size_t HttpClientPool::idle_connections() const {
  size_t count = 0;
  for (const auto& [address, idle] : m_idle) {
    count += idle.size();
  }
  return count;
}

std::string SerializeRequest(const std::string& method,
                             const std::string& target,
                             const std::vector<HttpHeader>& headers,
                             const std::string& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  for (const HttpHeader& header : headers) {
    if (IsEndToEndHeader(header.name)) {
      out += header.name + ": " + header.value + "\r\n";
    }
  }
  // A GET or HEAD request without a body has no Content-Length.
  if (!body.empty() || (method != "GET" && method != "HEAD")) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  out += "Connection: keep-alive\r\n\r\n";
  out += body;
  return out;
}

}  // namespace applestand
