#ifndef LIB_RELAY_SERVER_CONNECTION_H_
#define LIB_RELAY_SERVER_CONNECTION_H_

#include <memory>
#include <string>

#include "lib/relay/http_listener.h"

namespace applestand {

/// A caller's connection to a listener. Not thread-safe.
class ServerConnection : public StreamObserver,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream);
  ~ServerConnection() override;

  /// Begins to read. Call once, after construction.
  void Start();

  void OnBytes(std::string_view bytes) override;
  void OnEnd(bool orderly, const char* error) override;

  /// Answers the request under way.
  void Send(const HttpResponse& response, bool head_request);
  /// Drops the connection; the caller of a request under way is gone.
  void Close();
  /// Closes what has taken too long. Called about every second.
  void CloseIfLate(TimePoint now);

  bool idle() const { return m_exchange == nullptr && !m_reader.started(); }

 private:
  void ReadRequests();
  void Refuse();
  void Remove();

  HttpListener& m_listener;
  std::unique_ptr<TcpStream> m_stream;
  RequestReader m_reader;
  std::string m_input;
  bool m_continue_sent = false;
  std::shared_ptr<Exchange> m_exchange;
  // Start of the idle time or of the request that is being read.
  TimePoint m_since;
};

}  // namespace applestand

#endif  // LIB_RELAY_SERVER_CONNECTION_H_
