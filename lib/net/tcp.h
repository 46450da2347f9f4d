#ifndef LIB_NET_TCP_H_
#define LIB_NET_TCP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "lib/net/reactor.h"

namespace applestand {

/// Told what happens on a stream. The stream may be destroyed in any call.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  /// A stream that was opened by Connect is connected.
  virtual void OnConnected() {}
  /// `bytes` are valid during the call only.
  virtual void OnBytes(std::string_view bytes) = 0;
  /// The stream is of no further use. `orderly`: the other side has ended its
  /// half after whole data; otherwise the stream was reset, timed out or never
  /// connected, as `error` tells.
  virtual void OnEnd(bool orderly, const char* error) = 0;
};

/// A TCP connection. Destroying it closes the connection at once and drops what
/// is not yet written; no call comes after that. Not thread-safe.
class TcpStream {
 public:
  /// Starts to connect to `address` ("IP:port"). Unacknowledged data ends the
  /// stream after `silence_limit`. Null where the address is malformed.
  /// Precondition: `observer` outlives the stream.
  static std::unique_ptr<TcpStream> Connect(Reactor& reactor,
                                            const std::string& address,
                                            Duration silence_limit,
                                            StreamObserver& observer);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Begins to read. Precondition: connected, `observer` outlives the stream.
  void Read(StreamObserver& observer);

  /// Queues bytes; they leave in order.
  void Write(std::string bytes);

  /// Whether the operating system has taken every byte written.
  bool flushed() const;

  /// Closes once what is queued has been written.
  static void CloseAfterWrites(std::unique_ptr<TcpStream> stream);

 private:
  friend class TcpListener;
  struct Handle;
  explicit TcpStream(Handle* handle) : m_handle(handle) {}

  Handle* m_handle;
};

/// Accepts TCP connections. Not thread-safe.
class TcpListener {
 public:
  using Accept = std::function<void(std::unique_ptr<TcpStream>)>;

  /// Listens on `address` ("IP:port"; port 0 picks a free one). Throws
  /// std::runtime_error where that fails.
  TcpListener(Reactor& reactor,
              const std::string& address,
              Duration silence_limit,
              Accept accept);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// "IP:port" with the port in use.
  std::string address() const;

 private:
  struct Handle;
  Handle* m_handle;
};

}  // namespace applestand

#endif  // LIB_NET_TCP_H_
