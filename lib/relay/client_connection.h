#ifndef LIB_RELAY_CLIENT_CONNECTION_H_
#define LIB_RELAY_CLIENT_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "lib/http/response_reader.h"
#include "lib/relay/http_caller.h"

namespace applestand {

/// A connection to a server, idle or with one call under way. Not thread-safe.
class ClientConnection : public StreamObserver,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpCaller& caller, std::string address);
  ~ClientConnection() override;

  /// Begins a call, opening the connection where it is not open.
  /// Precondition: no call is under way.
  void Begin(std::string request,
             CallOptions options,
             HttpCaller::Callback callback);
  /// Closes the connection if the call numbered `call` is still under way; its
  /// callback does not run.
  void Cancel(uint64_t call);
  void Close();

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(bool orderly, const char* error) override;

  const std::string& address() const { return m_address; }
  /// Whether a call may begin that accepts connections idle for `max_idle`.
  bool usable(TimePoint now, Duration max_idle) const;
  /// Number of the call under way or the last one.
  uint64_t calls() const { return m_calls; }

 private:
  void ReadResponses(std::string_view bytes);
  void Finish();
  void Fail(const std::string& error, bool refused);
  void Report(CallResult result);
  void NoteIdleLimit(const HttpResponse& response);

  HttpCaller& m_caller;
  const std::string m_address;
  uint64_t m_calls = 0;
  std::unique_ptr<TcpStream> m_stream;
  bool m_connected = false;
  bool m_opened_for_call = false;
  std::string m_request;
  bool m_sent = false;
  CallOptions m_options;
  HttpCaller::Callback m_callback;
  std::optional<ResponseReader> m_reader;
  std::optional<Timer> m_timer;
  TimePoint m_idle_since;
  // Idle time before the present call.
  Duration m_rested{};
  // How long the server keeps an idle connection, where it says so.
  Duration m_server_idle = Duration::max();
};

}  // namespace applestand

#endif  // LIB_RELAY_CLIENT_CONNECTION_H_
