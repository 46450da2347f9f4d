#ifndef LIB_RELAY_HTTP_CALLER_H_
#define LIB_RELAY_HTTP_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/http/message.h"
#include "lib/net/tcp.h"

namespace applestand {

class ClientConnection;
class HttpCaller;

/// How one call to a server ended.
struct CallResult {
  /// kRan: a whole response came. kNotRun: no byte of the request left.
  /// kMayHaveRun: bytes left and no whole response came.
  Ran ran = Ran::kNotRun;
  HttpResponse response;
  /// Why no response came; a constant or the system's text.
  std::string error;
  /// The call opened a connection of its own.
  bool opened_connection = false;
  /// The server refused or reset the connection, rather than fall silent.
  bool refused = false;
  /// For how long the connection had rested before; zero for a new one.
  Duration rested{};
};

struct CallOptions {
  /// Time to open a connection.
  Duration connect_limit = std::chrono::milliseconds(500);
  /// Time for the whole call.
  Duration time_limit = std::chrono::seconds(2);
  /// Kept connections that were idle for longer are not used.
  Duration max_idle = std::chrono::seconds(8);
  /// Unacknowledged data ends the connection after this time.
  Duration silence_limit = std::chrono::seconds(1);
  /// A longer response is malformed.
  size_t max_response_bytes = size_t{16} << 20;
  bool head_request = false;
  /// Whether a response is the one to this request; others are passed over.
  /// Empty: every response is.
  std::function<bool(const HttpResponse&)> matches;
};

/// A call under way. Destroying it closes its connection, which tells the
/// server that nobody waits any more. Not thread-safe.
class PendingCall {
 public:
  ~PendingCall();
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

 private:
  friend class HttpCaller;
  explicit PendingCall(std::shared_ptr<ClientConnection> connection);
  std::shared_ptr<ClientConnection> m_connection;
  uint64_t m_number;
};

/// Makes HTTP/1.1 calls over kept connections, one request at a time on each.
/// No request is sent twice. Not thread-safe.
class HttpCaller {
 public:
  using Callback = std::function<void(CallResult)>;

  explicit HttpCaller(Reactor& reactor);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /// Sends `request`, whole and serialized, to `address` ("IP:port").
  /// `callback` runs once, later, unless the call is destroyed first; it may
  /// destroy the call.
  [[nodiscard]] std::unique_ptr<PendingCall> Call(const std::string& address,
                                                  std::string request,
                                                  CallOptions options,
                                                  Callback callback);

  /// Closes the kept connections to `address`.
  void CloseIdle(const std::string& address);

  size_t idle_connections() const;
  uint64_t opened_connections() const { return m_opened; }

 private:
  friend class ClientConnection;

  void Keep(const std::shared_ptr<ClientConnection>& connection);
  void Sweep();

  Reactor& m_reactor;
  uint64_t m_opened = 0;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
  Timer m_sweep;
};

/// Serializes a request. Connection headers and Content-Length are written
/// anew; `headers` holds Host. Thread-safe.
std::string SerializeRequest(const std::string& method,
                             const std::string& target,
                             const std::vector<HttpHeader>& headers,
                             const std::string& body);

}  // namespace applestand

#endif  // LIB_RELAY_HTTP_CALLER_H_
