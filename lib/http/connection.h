#ifndef LIB_HTTP_CONNECTION_H_
#define LIB_HTTP_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "lib/http/request_reader.h"
#include "lib/http/response_writer.h"
#include "lib/http/server_core.h"

namespace applestand {

/// One caller's connection. Reads one request at a time, passes it to the
/// handler and writes the response before it reads the next request. Bytes
/// received in the meantime are buffered.
///
/// Writes to the socket directly: Pistache queues responses by file descriptor,
/// so a response queued just before a caller disconnects could be sent to the
/// next caller that gets the same descriptor.
///
/// Thread-safe. The handler is called without any lock held.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Precondition: `fd` stays open until OnClosed is called, and `watcher`
  /// outlives this object.
  Connection(int fd,
             uint64_t id,
             std::string peer,
             std::shared_ptr<ServerCore> core,
             ConnectionWatcher& watcher);

  /// Called when bytes were received.
  void OnInput(std::string_view bytes);

  /// Called when the caller has disconnected or the socket is about to be
  /// closed.
  void OnClosed();

  /// Called when the socket is writable again.
  void OnWritable();

  /// Processes the buffered bytes.
  void Resume();

  /// Closes the connection if the caller has exceeded one of the time limits.
  void CheckTimeouts(TimePoint now);

  /// Shuts the socket down, so that the reading thread sees the connection end.
  void Abort();

  uint64_t id() const { return m_info->id; }

 private:
  /// The outstanding response to one request. Aborts the connection if it is
  /// destroyed before a response was sent.
  class PendingResponse;

  enum class Phase {
    /// Waiting for a request or reading one.
    kReading,
    /// The handler is processing a request, or its response is being written.
    kResponding,
    /// The last response was written, the idle time limit was exceeded or the
    /// socket was shut down. Input is discarded.
    kClosing,
    kClosed,
  };

  void Process(std::unique_lock<std::mutex>& lock);
  void Dispatch(std::unique_lock<std::mutex>& lock);
  void Refuse(int status, const std::string& text);
  void SendResponse(const HttpResponse& response,
                    std::unique_ptr<InFlightRequest> in_flight,
                    const ResponseContext& context);
  void Write(std::string bytes);
  void Flush();
  void OnResponseSent();
  void StartClosing();
  void Shutdown();
  void RestartTimer();

  const int m_fd;
  const std::string m_peer;
  const std::shared_ptr<ServerCore> m_core;
  ConnectionWatcher& m_watcher;
  const std::shared_ptr<HttpConnectionInfo> m_info;

  std::mutex m_mutex;
  Phase m_phase = Phase::kReading;
  RequestReader m_reader;
  // Bytes not yet consumed by m_reader.
  std::string m_input;
  std::string m_output;
  std::unique_ptr<InFlightRequest> m_in_flight;
  bool m_close_after_output = false;
  // Start of the current wait for the caller, to which the time limits apply.
  TimePoint m_timer_start;
};

}  // namespace applestand

#endif  // LIB_HTTP_CONNECTION_H_
