#ifndef LIB_RELAY_CLIENT_CONNECTION_H_
#define LIB_RELAY_CLIENT_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "lib/http/response_attribution.h"
#include "lib/http/response_reader.h"
#include "lib/relay/http_client_pool.h"

namespace applestand {

/// A client connection to a server that is idle or carries one call. Owned by
/// the pool while idle and by the PendingCall during a call. Not thread-safe.
class ClientConnection : public StreamObserver,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpClientPool& pool, std::string address);
  ~ClientConnection() override;

  /// Begins a call and opens the connection if it is not open.
  /// Precondition: no call is in progress, and no connection was opened before
  /// unless usable() and may_carry_request() hold.
  void Begin(std::string request,
             CallOptions options,
             HttpClientPool::Callback callback);
  /// Closes the connection if the call with number `call` is still in progress.
  /// The callback of the call does not run.
  void Cancel(uint64_t call);
  /// Closes the connection. The callback of a call in progress does not run.
  void Close();
  /// Fails the call in progress, because the responses that are being received
  /// take `total_bytes` of memory together. Precondition: a response is being
  /// received.
  void FailForMemory(size_t total_bytes);

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(bool orderly, const char* error) override;

  const std::string& address() const { return m_address; }
  /// Returns whether the connection is open and has been idle for less than
  /// both `max_idle` and the server's idle timeout.
  bool usable(TimePoint now, Duration max_idle) const;
  /// Returns whether the connection may carry a call whose response bears `id`;
  /// see CallOptions::response_id.
  bool may_carry_request(const std::string& id) const {
    return m_attribution.may_carry_request(id);
  }
  /// Closes the connection if the server has sent something or ended it since
  /// the last call, which may not have been reported yet. Returns whether the
  /// connection is open. Precondition: the connection is idle and usable.
  bool CloseIfNotSilent();
  /// Returns the number of the call in progress, or of the last one; calls are
  /// numbered from 1.
  uint64_t last_call_number() const { return m_last_call_number; }

 private:
  void ReadResponses(std::string_view bytes);
  // Logs a response, or `unasked_bytes` that are none, that are not taken.
  void LogSkipped(int status, ResponseOwner owner, size_t unasked_bytes) const;
  void ReportMemory(size_t bytes);
  void EmplaceReader();
  // Discards the response that is being received, if any.
  void ResetReader();
  void Finish();
  void Fail(const std::string& error, bool connection_failed);
  void Report(CallResult result);
  void UpdateServerIdleTimeout(const HttpResponse& response);

  HttpClientPool& m_pool;
  const std::string m_address;
  uint64_t m_last_call_number = 0;
  std::unique_ptr<TcpStream> m_stream;
  bool m_connected = false;
  bool m_opened_for_call = false;
  ResponseAttribution m_attribution;
  std::string m_request;
  bool m_sent = false;
  CallOptions m_options;
  HttpClientPool::Callback m_callback;
  std::optional<ResponseReader> m_reader;
  // Memory of the response that is being received, as the pool knows it.
  size_t m_reported_memory = 0;
  // Responses that were skipped during the current call.
  size_t m_skipped_responses = 0;
  std::optional<Timer> m_timer;
  // Runs during calls.
  Timer m_slow_reading_timer;
  TimePoint m_call_begun;
  TimePoint m_idle_since;
  // How long the connection was idle before the current call.
  Duration m_connection_idle_time{};
  // The idle timeout that the server announces in Keep-Alive headers, less a
  // safety margin.
  Duration m_server_idle_timeout = Duration::max();
};

}  // namespace applestand

#endif  // LIB_RELAY_CLIENT_CONNECTION_H_
