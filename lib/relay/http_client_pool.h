#ifndef LIB_RELAY_HTTP_CLIENT_POOL_H_
#define LIB_RELAY_HTTP_CLIENT_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/http/message.h"
#include "lib/http/response_attribution.h"
#include "lib/http/response_reader.h"
#include "lib/net/tcp.h"

namespace applestand {

class ClientConnection;
class HttpClientPool;

/// The outcome of one call to a server.
struct CallResult {
  /// kRan: a complete response was received. kNotRun: no byte of the request
  /// was sent. kMayHaveRun: sending of the request had begun, but no complete
  /// response was received.
  Ran ran = Ran::kNotRun;
  HttpResponse response;
  /// Why no complete response was received: a fixed text or an error text of
  /// the operating system. Empty if `ran` is kRan.
  std::string error;
  /// Whether the call opened a new connection instead of reusing an idle one.
  bool opened_connection = false;
  /// Whether the connection could not be established or ended before a complete
  /// response, for example because the server refused, reset or closed it.
  /// False if a timeout of CallOptions expired or a received response was
  /// unusable.
  bool connection_failed = false;
  /// How long the connection was idle before the call; zero for a new one.
  Duration connection_idle_time{};
  /// Number of requests that the connection has carried, with this one.
  uint64_t requests_on_connection = 0;
  /// Whether the response bore the id of the request, or the server is trusted
  /// to respond in order. False without a response.
  bool identified = false;
};

struct CallOptions {
  /// Maximum time to establish a connection.
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// Maximum time from sending the request until the complete response is
  /// received. Also bounds the time to establish a connection.
  Duration call_timeout = std::chrono::seconds(2);
  /// Connections that have been idle for this long are not reused.
  Duration max_idle = std::chrono::seconds(8);
  /// The connection fails if sent data stays unacknowledged for this long. See
  /// TcpStream::Connect.
  Duration tcp_user_timeout = std::chrono::seconds(1);
  /// A longer response is treated as malformed.
  size_t max_response_bytes = size_t{16} << 20;
  /// Opens a new connection even if there is an idle one.
  bool new_connection = false;
  /// Names the call in log lines: the id of the caller's request, or the
  /// purpose of the call.
  std::string log_id;
  /// Receives the body of a response with status 200, which has none then. Only
  /// for servers that are trusted to respond in order (without `owner_of`).
  std::shared_ptr<BodySink> body_sink;
  /// Whether the request method is HEAD, so that the response has no body.
  bool head_request = false;
  /// Returns what a response says of the request that it belongs to. If empty,
  /// the server is trusted to respond in order, and the first response is
  /// taken. See ResponseAttribution, and CallHost for calls between hosts.
  std::function<ResponseOwner(const HttpResponse&)> owner_of;
  /// The id by which `owner_of` recognizes the response. The call gets a
  /// connection that has carried no other one with this id, as a second copy of
  /// the response to that could not be told from its own. Empty if responses
  /// bear no id, or if no two calls have the same.
  std::string response_id;
};

/// A call in progress. Destroying it cancels the call: the connection is
/// closed, which tells the server that the response is no longer needed. Has no
/// effect once the call has ended. Not thread-safe.
class PendingCall {
 public:
  ~PendingCall();
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

 private:
  friend class HttpClientPool;
  explicit PendingCall(std::shared_ptr<ClientConnection> connection);
  std::shared_ptr<ClientConnection> m_connection;
  uint64_t m_call_number;
};

/// Pools client connections to HTTP/1.1 servers. A connection carries one
/// request at a time. A request is never sent twice, not even if a reused
/// connection turns out to be closed. Not thread-safe.
class HttpClientPool {
 public:
  using Callback = std::function<void(CallResult)>;
  /// In bytes.
  static constexpr size_t kDefaultMaxResponseMemory = size_t{32} << 20;

  /// The responses that are being received take about `max_response_memory`
  /// bytes in total at most. Beyond that, the largest of them fails.
  explicit HttpClientPool(
      Reactor& reactor,
      size_t max_response_memory = kDefaultMaxResponseMemory);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Sends `request`, a complete serialized request, to `address` ("IP:port").
  /// `callback` runs once, after this method has returned, unless the returned
  /// PendingCall is destroyed first. The callback may destroy the PendingCall.
  [[nodiscard]] std::unique_ptr<PendingCall> Call(const std::string& address,
                                                  std::string request,
                                                  CallOptions options,
                                                  Callback callback);

  /// Closes the idle connections to `address`.
  void CloseIdle(const std::string& address);

  /// Returns a number that differs from all that were returned before.
  uint64_t TakeCallId() { return ++m_last_call_id; }

  size_t idle_connections() const;
  /// Returns the memory of the responses that are being received, in bytes.
  size_t response_memory() const { return m_total_response_memory; }
  /// Returns the number of connections opened since construction.
  uint64_t opened_connections() const { return m_opened_connections; }

 private:
  friend class ClientConnection;

  /// Called when the memory of the response that `connection` receives has
  /// changed. May fail calls, and thus run callbacks, of any connection.
  void OnResponseMemory(ClientConnection& connection, size_t bytes);
  void AddIdle(const std::shared_ptr<ClientConnection>& connection);
  /// Returns an idle connection that can carry the call, or null. Then closes
  /// all but a few of the idle connections that have carried its id.
  std::shared_ptr<ClientConnection> TakeIdle(const std::string& address,
                                             const CallOptions& options);
  void RemoveUnusableConnections();

  Reactor& m_reactor;
  const size_t m_max_response_memory;
  // Memory of the responses that are being received, and its sum.
  std::map<ClientConnection*, size_t> m_response_memory;
  size_t m_total_response_memory = 0;
  uint64_t m_opened_connections = 0;
  uint64_t m_last_call_id = 0;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
  Timer m_sweep_timer;
};

/// Serializes a request. Connection headers and Content-Length in `headers` are
/// ignored; Connection and Content-Length are generated instead. Precondition:
/// `headers` contains Host. Thread-safe.
std::string SerializeRequest(const std::string& method,
                             const std::string& target,
                             const std::vector<HttpHeader>& headers,
                             const std::string& body);

}  // namespace applestand

#endif  // LIB_RELAY_HTTP_CLIENT_POOL_H_
