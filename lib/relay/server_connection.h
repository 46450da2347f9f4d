#ifndef LIB_RELAY_SERVER_CONNECTION_H_
#define LIB_RELAY_SERVER_CONNECTION_H_

#include <memory>
#include <string>

#include "lib/relay/http_listener.h"

namespace applestand {

/// A connection of a caller to a listener. Not thread-safe.
class ServerConnection : public StreamObserver,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream);
  ~ServerConnection() override;

  /// Starts to read requests. Must be called once, after construction.
  void Start();

  void OnBytes(std::string_view bytes) override;
  void OnEnd(bool orderly, const char* error) override;

  /// Sends the response to the request in progress, then reads the next request
  /// or closes the connection, as it does after the last request of a caller
  /// that has closed its sending side. Precondition: a request is in progress.
  void Send(const HttpResponse& response, bool head_request);
  /// See ServerExchange::WriteUnasked().
  bool WriteUnasked(const HttpResponse& response);
  /// Closes the connection. For a request in progress this counts as a
  /// disconnect of its caller.
  void Close(const Disconnection& disconnection);
  /// Closes the connection if it has been idle, or its current request has been
  /// incomplete, for longer than the limits allow. Called periodically by the
  /// listener.
  void CloseIfTimedOut(TimePoint now);

  /// Reads the bytes that have arrived, and closes the connection if no request
  /// is in progress, partly received or about to come.
  void CloseIfIdle(TimePoint now);

  /// Returns whether no request is in progress, partly received or waiting.
  bool idle() const {
    return m_exchange == nullptr && !m_reader.started() && m_input.empty();
  }
  /// Returns whether the operating system has accepted all responses.
  bool flushed() const { return m_stream == nullptr || m_stream->flushed(); }
  /// Returns whether the connection was accepted a moment ago, so that its
  /// first request may be on its way.
  bool awaits_first_request(TimePoint now) const;

 private:
  // Passes the requests in m_input to the handler, until one waits for its
  // response or others must get a turn.
  void ReadRequests();
  // Passes on the next request. Returns whether there may be another one.
  bool ReadRequest();
  void UpdateReading();
  // Finds out whether a caller that has closed its sending side has closed its
  // receiving side too.
  void ProbeCaller();
  void WriteProbe();
  void CloseAfterWrites();
  // Responds to the request that is being read, and closes the connection.
  void Refuse(int status, const std::string& reason);
  void Remove();

  HttpListener& m_listener;
  std::unique_ptr<TcpStream> m_stream;
  RequestReader m_reader;
  std::string m_input;
  // Memory of m_input while it waits.
  ByteReservation m_input_reservation;
  bool m_continue_sent = false;
  bool m_reading_requests = false;
  bool m_reading_paused = false;
  // The caller has closed its sending side. All it has sent has been read.
  bool m_caller_sends_no_more = false;
  TimePoint m_caller_ended_at;
  size_t m_probes = 0;
  Timer m_probe_timer;
  // Continues ReadRequests after other connections had a turn.
  Timer m_next_turn;
  bool m_had_request = false;
  const TimePoint m_accepted_at;
  // When bytes were last received; a request has arrived by then.
  TimePoint m_received_at;
  std::shared_ptr<ServerExchange> m_exchange;
  // When the connection became idle, or when the request that is being read
  // began.
  TimePoint m_timeout_start;
};

}  // namespace applestand

#endif  // LIB_RELAY_SERVER_CONNECTION_H_
