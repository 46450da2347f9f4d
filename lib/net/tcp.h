#ifndef LIB_NET_TCP_H_
#define LIB_NET_TCP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "lib/net/reactor.h"

namespace applestand {

/// Returns whether `error`, as passed to StreamObserver::OnEnd, means that
/// nothing listens at the address. Thread-safe.
bool IsConnectionRefused(std::string_view error);

/// Returns whether `address` is "IP:port" with an IPv4 address and a port that
/// a stream can be opened to. Thread-safe.
bool IsConnectable(const std::string& address);

/// Receives the events of a TcpStream. Each method may destroy the stream.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  /// Called when a stream opened by TcpStream::Connect is connected.
  virtual void OnConnected() {}
  /// Called with each piece of data read. `bytes` is valid only during the
  /// call.
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called when the stream has ended. `orderly` is true if the peer shut down
  /// its sending side (FIN) and all its data has been read; the stream can
  /// still be written to, and a failure of a write is reported by another call.
  /// It is false if the connection was reset, timed out or was never
  /// established; `error` then describes the cause. Destroy the stream then.
  virtual void OnEnd(bool orderly, const char* error) = 0;
};

/// A TCP connection. Destroying it closes the connection at once and discards
/// data that has not been written yet; the observer is not called afterwards.
/// Not thread-safe.
class TcpStream {
 public:
  /// Starts to connect to `address` ("IP:port", IPv4) and reads once connected.
  /// The stream ends with an error if sent data stays unacknowledged for
  /// `tcp_user_timeout` (TCP_USER_TIMEOUT, in whole milliseconds). Returns null
  /// if the address is malformed or the connection cannot be started; later
  /// failures are reported to StreamObserver::OnEnd.
  /// Precondition: `observer` outlives the stream.
  static std::unique_ptr<TcpStream> Connect(Reactor& reactor,
                                            const std::string& address,
                                            Duration tcp_user_timeout,
                                            StreamObserver& observer);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts to read from an accepted stream and reports events to `observer`.
  /// Precondition: the stream is connected; `observer` outlives it.
  void Read(StreamObserver& observer);

  /// Queues `bytes` for sending, in the order of the calls. May be called
  /// before the stream is connected. Errors are reported to
  /// StreamObserver::OnEnd.
  void Write(std::string bytes);

  /// Passes bytes that have arrived and were not read yet to the observer,
  /// which may destroy the stream: at most one buffer of them. Precondition:
  /// Read has been called, or the stream is connected.
  void ReadArrived();

  /// Returns std::nullopt if nothing has arrived that was not reported yet,
  /// otherwise the number of bytes, at most one buffer of them: 0 if the stream
  /// has ended. Leaves them to be read. Precondition: as for ReadArrived.
  std::optional<size_t> PeekArrived() const;

  /// Stops and resumes reading; meanwhile neither bytes nor the end of the
  /// stream are reported. Precondition: as for ReadArrived.
  void PauseReading();
  void ResumeReading();

  /// Passes at most `bytes` bytes to the observer at a time, and at most one
  /// buffer of them.
  void LimitReads(size_t bytes);

  /// Extends TCP_USER_TIMEOUT while the peer does not read, but acknowledges
  /// the probes of its closed window. Ends the stream, which may destroy it, if
  /// the peer answers no probe. Has no effect if the system does not say when
  /// it last received an acknowledgement. Call it every 100 ms.
  /// Precondition: the stream was opened by Connect and is connected.
  void AllowSlowReading();

  /// Returns the address of the peer as "IP:port", or "unknown".
  std::string peer() const;

  /// Returns whether the operating system has accepted all bytes passed to
  /// Write.
  bool flushed() const;

  /// Returns whether the connection no longer exists, because it was reset or
  /// has timed out. After an orderly end nothing else reports that, until bytes
  /// are written. Precondition: as for ReadArrived.
  bool broken() const;

  /// Closes the connection as RFC 9112, 9.6 says: closes the sending side once
  /// all queued bytes have been written, and discards what the peer still sends
  /// until it ends its side, but for a limited time. The observer is not called
  /// afterwards. The reactor keeps a background task meanwhile; if it has too
  /// many of them, the connection is closed after the writes.
  static void CloseAfterWrites(std::unique_ptr<TcpStream> stream);

 private:
  friend class TcpListener;
  class Closing;
  struct Handle;
  explicit TcpStream(Handle* handle) : m_handle(handle) {}

  Handle* m_handle;
};

/// Listens on an address and accepts TCP connections. Destroying it closes the
/// listening socket; accepted streams stay open. Not thread-safe.
class TcpListener {
 public:
  /// Receives each accepted connection. Call TcpStream::Read to start reading.
  using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;

  /// Listens on `address` ("IP:port", IPv4; port 0 selects a free port).
  /// `tcp_user_timeout` applies to accepted connections as described for
  /// TcpStream::Connect. Throws std::runtime_error if listening fails.
  TcpListener(Reactor& reactor,
              const std::string& address,
              Duration tcp_user_timeout,
              AcceptCallback accept);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Returns the bound address as "IP:port", with the actual port.
  std::string address() const;

 private:
  struct Handle;
  Handle* m_handle;
};

}  // namespace applestand

#endif  // LIB_NET_TCP_H_
