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

/// One caller's connection: reads requests one after the other, hands each to
/// the handler, and writes its answer before it goes on to the next. Bytes
/// that arrive meanwhile are kept back.
///
/// It writes to the socket itself: Pistache queues answers by file descriptor,
/// and one queued just before a caller goes away could reach the next caller
/// that is given the same descriptor.
///
/// Thread-safe. The handler is called without any lock held.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Precondition: `fd` stays open until OnClosed, and `watcher` outlives it.
  Connection(int fd,
             uint64_t id,
             std::string peer,
             std::shared_ptr<ServerCore> core,
             ConnectionWatcher& watcher);

  /// Bytes have arrived.
  void OnInput(std::string_view bytes);

  /// The caller has gone or the socket is about to be closed.
  void OnClosed();

  /// The socket takes bytes again.
  void OnWritable();

  /// Goes on with bytes that were kept back.
  void Resume();

  /// Closes where the caller takes too long.
  void CheckTimeouts(TimePoint now);

  /// Makes the reading thread see the connection's end.
  void Abort();

  uint64_t id() const { return m_info->id; }

 private:
  /// The answer still owed to one request.
  class PendingReply;

  enum class Phase {
    /// Waits for, or reads, a request.
    kReading,
    /// The handler has a request, or its answer is being written.
    kAnswering,
    /// The last answer is being written or was; input is dropped.
    kClosing,
    kClosed,
  };

  void Process(std::unique_lock<std::mutex>& lock);
  void Dispatch(std::unique_lock<std::mutex>& lock);
  void Refuse(int status, const std::string& text);
  void Answer(const HttpResponse& response,
              std::unique_ptr<InFlight> in_flight,
              const ResponseContext& context);
  void Write(std::string bytes);
  void Flush();
  void OnAnswerSent();
  void StartClosing();
  void Shutdown();
  void Touch();

  const int m_fd;
  const std::string m_peer;
  const std::shared_ptr<ServerCore> m_core;
  ConnectionWatcher& m_watcher;
  const std::shared_ptr<HttpConnectionInfo> m_info;

  std::mutex m_mutex;
  Phase m_phase = Phase::kReading;
  RequestReader m_reader;
  // Bytes not yet read by m_reader.
  std::string m_input;
  std::string m_output;
  std::unique_ptr<InFlight> m_sending;
  bool m_close_after_output = false;
  // Start of what the caller is being waited for.
  TimePoint m_since;
};

}  // namespace applestand

#endif  // LIB_HTTP_CONNECTION_H_
