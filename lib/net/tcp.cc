#include "lib/net/tcp.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <utility>

namespace applestand {

namespace {

// Maximum number of connections that wait in the kernel to be accepted.
constexpr int kListenBacklog = 511;
// Size of the read buffer. All streams of a thread share one buffer, because
// each read is passed to its observer before the next read begins.
constexpr size_t kReadBufferBytes = size_t{64} << 10;

// For this long the bytes of a peer are discarded after the sending side was
// closed. Closing the socket earlier could reset the connection, which destroys
// bytes that the peer has not received or not read yet.
constexpr Duration kDiscardTime = std::chrono::seconds(1);
// After this many discarded bytes the peer is held up for the rest of the time.
// As large as the largest body that a listener takes.
constexpr size_t kMaxDiscardedBytes = size_t{16} << 20;
// Maximum number of connections that are being closed and still read.
constexpr size_t kMaxClosingStreams = 256;

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  int port = 0;
  const char* end = address.data() + address.size();
  const auto [rest, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  constexpr int kMaxPort = 65535;
  if (rest != end || error != std::errc() || port < 0 || port > kMaxPort) {
    return std::nullopt;
  }
  sockaddr_in out{};
  if (uv_ip4_addr(address.substr(0, colon).c_str(), port, &out) != 0) {
    return std::nullopt;
  }
  return out;
}

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  uv_ip4_name(&address, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

// While a peer's window is closed, the time-out is set to this long after the
// last check. The system sends its next probe no later than the time-out that
// it knows then, so that this is also about the interval between probes. They
// have to be over 500 ms apart, as Linux answers only one probe in that time.
constexpr Duration kProbePeriod = std::chrono::milliseconds(450);
// A peer that has acknowledged nothing for this much longer than
// TCP_USER_TIMEOUT is dead: the second probe is not answered, since it comes
// too soon after the first one, and the third follows the first after about 1
// s.
constexpr Duration kProbeMargin = std::chrono::milliseconds(200);

/// What the system says of data that the peer has not acknowledged.
struct Outstanding {
  size_t bytes = 0;
  /// The peer's window is closed: nothing is on its way but probes.
  bool window_closed = false;
  /// Since the peer has last acknowledged anything, a probe included;
  /// std::nullopt if unknown.
  std::optional<Duration> acknowledged_age;
};

Outstanding ReadOutstanding(int fd) {
  Outstanding out;
  int bytes = 0;
  if (ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0) {
    out.bytes = static_cast<size_t>(bytes);
  }
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr socklen_t kNeeded =
      offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < kNeeded) {
    return out;
  }
  out.window_closed = out.bytes > 0 && info.tcpi_unacked == 0;
  // Systems that do not know it say 0.
  if (info.tcpi_last_ack_recv > 0) {
    out.acknowledged_age = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  }
  return out;
}

char* ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer.data();
}

}  // namespace

bool IsConnectionRefused(std::string_view error) {
  return error == uv_strerror(UV_ECONNREFUSED);
}

bool IsConnectable(const std::string& address) {
  const auto parsed = ParseAddress(address);
  return parsed && parsed->sin_port != 0;
}

struct TcpStream::Handle : BackloggedStream {
  uv_tcp_t tcp;
  Reactor* reactor = nullptr;
  Closing* closing = nullptr;
  TcpStream* owner = nullptr;
  StreamObserver* observer = nullptr;
  size_t max_read_bytes = kReadBufferBytes;
  // As given to Connect, and as set on the socket.
  Duration min_user_timeout{};
  Duration user_timeout{};
  // Bytes that the peer had not acknowledged at the last check, and since when
  // their number has not changed.
  size_t last_unread = 0;
  TimePoint stalled_since;

  uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&tcp); }
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }

  size_t unsent_bytes() const override {
    return uv_stream_get_write_queue_size(
        reinterpret_cast<const uv_stream_t*>(&tcp));
  }

  std::string peer() const override {
    sockaddr_in name{};
    int length = sizeof(name);
    return uv_tcp_getpeername(&tcp, reinterpret_cast<sockaddr*>(&name),
                              &length) == 0
               ? FormatAddress(name)
               : "unknown";
  }

  void EndForBacklog() override {
    uv_read_stop(stream());
    if (observer != nullptr) {
      observer->OnEnd(false, "the peer does not read");
    }
  }

  static Handle* New(Reactor& reactor) {
    auto* handle = new Handle;
    handle->reactor = &reactor;
    uv_tcp_init(reactor.loop(), &handle->tcp);
    handle->tcp.data = handle;
    return handle;
  }

  void SetSocketOptions(Duration tcp_user_timeout) {
    uv_tcp_nodelay(&tcp, 1);
    min_user_timeout = tcp_user_timeout;
    uv_os_fd_t fd = -1;
    if (uv_fileno(handle(), &fd) == 0) {
      SetUserTimeout(fd, tcp_user_timeout);
    }
  }

  void SetUserTimeout(int fd, Duration timeout) {
    if (timeout == std::exchange(user_timeout, timeout)) {
      return;
    }
    const auto timeout_ms = static_cast<unsigned>(ToMillis(timeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
  }

  void AllowSlowReading(TimePoint now) {
    uv_os_fd_t fd = -1;
    if (uv_fileno(handle(), &fd) != 0) {
      return;
    }
    const Outstanding outstanding = ReadOutstanding(fd);
    const size_t unread = outstanding.bytes + unsent_bytes();
    if (unread != std::exchange(last_unread, unread) ||
        !outstanding.window_closed) {
      stalled_since = now;
      SetUserTimeout(fd, min_user_timeout);
      return;
    }
    if (!outstanding.acknowledged_age) {
      return;
    }
    if (*outstanding.acknowledged_age >= min_user_timeout + kProbeMargin) {
      ReportEnd(UV_ETIMEDOUT);
      return;
    }
    // The system counts the time-out from its first probe.
    SetUserTimeout(
        fd, std::max(min_user_timeout, now - stalled_since + kProbePeriod));
  }

  void Close() {
    owner = nullptr;
    closing = nullptr;
    observer = nullptr;
    reactor->write_backlog().Remove(*this);
    if (uv_is_closing(handle()) == 0) {
      uv_close(handle(), [](uv_handle_t* closed) {
        delete static_cast<Handle*>(closed->data);
      });
    }
  }

  /// Reads the data that is left, passes it to the observer and returns
  /// UV_EOF or the error that ended the stream. Needed because libuv reports
  /// UV_EOF after a short read even if the peer has reset the connection.
  int ReadRemaining() {
    int error = 0;
    while (error == 0) {
      error = ReadOnce();
    }
    return error;
  }

  /// Reads up to one buffer and passes it to the observer. Returns zero if
  /// there may be more, otherwise UV_EOF or the error.
  int ReadOnce() {
    uv_os_fd_t fd = -1;
    if (uv_fileno(handle(), &fd) != 0) {
      return UV_EBADF;
    }
    const ssize_t count =
        recv(fd, ReadBuffer(), kReadBufferBytes, MSG_DONTWAIT);
    if (count < 0) {
      return uv_translate_sys_error(errno);
    }
    if (count == 0 || observer == nullptr) {
      return UV_EOF;
    }
    observer->OnBytes({ReadBuffer(), static_cast<size_t>(count)});
    return observer == nullptr ? UV_EOF : 0;
  }

  void ReportEnd(int error) {
    uv_read_stop(stream());
    if (error == UV_EOF) {
      error = ReadRemaining();
    }
    if (observer != nullptr) {
      const bool orderly = error == UV_EOF;
      observer->OnEnd(orderly, orderly ? "closed" : uv_strerror(error));
    }
  }

  void StartReading() {
    uv_read_start(
        stream(),
        [](uv_handle_t* handle, size_t, uv_buf_t* buffer) {
          const auto* self = static_cast<Handle*>(handle->data);
          *buffer = uv_buf_init(ReadBuffer(),
                                static_cast<unsigned>(self->max_read_bytes));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          auto* self = static_cast<Handle*>(stream->data);
          if (count < 0) {
            self->ReportEnd(static_cast<int>(count));
          } else if (count > 0 && self->observer != nullptr) {
            self->observer->OnBytes({buffer->base, static_cast<size_t>(count)});
          }
        });
  }
};

/// A stream that is being closed after its writes. Not thread-safe.
class TcpStream::Closing : public StreamObserver, public BackgroundTask {
 public:
  explicit Closing(std::unique_ptr<TcpStream> stream)
      : m_stream(std::move(stream)),
        m_reactor(*m_stream->m_handle->reactor),
        m_timer(m_reactor) {}

  /// Must be called once, after the reactor keeps the object; may destroy it.
  void Start() {
    Handle* const handle = m_stream->m_handle;
    handle->closing = this;
    m_stream->Read(*this);
    auto* request = new uv_shutdown_t;
    request->data = handle;
    const int error =
        uv_shutdown(request, handle->stream(), [](uv_shutdown_t* done, int) {
          auto* self = static_cast<Handle*>(done->data);
          delete done;
          if (self->closing != nullptr) {
            self->closing->OnShutDown();
          }
        });
    if (error != 0) {
      delete request;
      Finish();
    }
  }

  void OnBytes(std::string_view bytes) override {
    m_discarded_bytes += bytes.size();
    if (m_discarded_bytes > kMaxDiscardedBytes) {
      m_stream->PauseReading();
    }
  }

  void OnEnd(bool orderly, const char* /*error*/) override {
    m_peer_ended = true;
    if (!orderly || m_shut_down) {
      Finish();
    }
  }

 private:
  void OnShutDown() {
    m_shut_down = true;
    if (m_peer_ended || m_reactor.background_tasks() > kMaxClosingStreams) {
      Finish();
      return;
    }
    m_timer.Start(kDiscardTime, [this] { Finish(); });
  }

  void Finish() { m_reactor.Release(this); }

  std::unique_ptr<TcpStream> m_stream;
  Reactor& m_reactor;
  Timer m_timer;
  bool m_shut_down = false;
  bool m_peer_ended = false;
  size_t m_discarded_bytes = 0;
};

std::unique_ptr<TcpStream> TcpStream::Connect(Reactor& reactor,
                                              const std::string& address,
                                              Duration tcp_user_timeout,
                                              StreamObserver& observer) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return nullptr;
  }
  Handle* handle = Handle::New(reactor);
  std::unique_ptr<TcpStream> stream(new TcpStream(handle));
  handle->owner = stream.get();
  handle->observer = &observer;
  auto* request = new uv_connect_t;
  request->data = handle;
  const int error = uv_tcp_connect(
      request, &handle->tcp, reinterpret_cast<const sockaddr*>(&*parsed),
      [](uv_connect_t* done, int status) {
        auto* self = static_cast<Handle*>(done->data);
        delete done;
        if (self->observer == nullptr) {
          return;
        }
        if (status != 0) {
          self->ReportEnd(status);
          return;
        }
        self->StartReading();
        self->observer->OnConnected();
      });
  if (error != 0) {
    delete request;
    return nullptr;
  }
  handle->SetSocketOptions(tcp_user_timeout);
  return stream;
}

TcpStream::~TcpStream() {
  if (m_handle != nullptr) {
    m_handle->Close();
  }
}

void TcpStream::Read(StreamObserver& observer) {
  m_handle->observer = &observer;
  m_handle->StartReading();
}

void TcpStream::Write(std::string bytes) {
  size_t written = 0;
  if (flushed()) {
    const uv_buf_t buffer =
        uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    const int count = uv_try_write(m_handle->stream(), &buffer, 1);
    if (count == static_cast<int>(bytes.size())) {
      return;
    }
    // The reading side reports the error of a failed write.
    written = count > 0 ? static_cast<size_t>(count) : 0;
  }
  struct PendingWrite {
    uv_write_t request;
    std::string bytes;
  };
  auto* pending = new PendingWrite{{}, std::move(bytes)};
  pending->request.data = pending;
  const uv_buf_t buffer =
      uv_buf_init(pending->bytes.data() + written,
                  static_cast<unsigned>(pending->bytes.size() - written));
  const int error =
      uv_write(&pending->request, m_handle->stream(), &buffer, 1,
               [](uv_write_t* done, int status) {
                 auto* handle = static_cast<Handle*>(done->handle->data);
                 auto* const ended = static_cast<PendingWrite*>(done->data);
                 handle->reactor->write_backlog().OnReleased(
                     *handle, ended->bytes.size());
                 delete ended;
                 if (status < 0 && status != UV_ECANCELED) {
                   handle->ReportEnd(status);
                 }
               });
  if (error != 0) {
    delete pending;
    return;
  }
  m_handle->reactor->write_backlog().OnQueued(*m_handle, pending->bytes.size(),
                                              m_handle->reactor->Now());
}

void TcpStream::ReadArrived() {
  // If the stream has ended, libuv reports it later.
  m_handle->ReadOnce();
}

std::optional<size_t> TcpStream::PeekArrived() const {
  uv_os_fd_t fd = -1;
  if (uv_fileno(m_handle->handle(), &fd) != 0) {
    return 0;
  }
  const ssize_t count =
      recv(fd, ReadBuffer(), kReadBufferBytes, MSG_PEEK | MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return std::nullopt;
  }
  return count > 0 ? static_cast<size_t>(count) : 0;
}

void TcpStream::PauseReading() {
  uv_read_stop(m_handle->stream());
}

void TcpStream::ResumeReading() {
  m_handle->StartReading();
}

void TcpStream::LimitReads(size_t bytes) {
  m_handle->max_read_bytes = std::min(bytes, kReadBufferBytes);
}

void TcpStream::AllowSlowReading() {
  m_handle->AllowSlowReading(m_handle->reactor->Now());
}

std::string TcpStream::peer() const {
  return m_handle->peer();
}

bool TcpStream::flushed() const {
  return m_handle->unsent_bytes() == 0;
}

bool TcpStream::broken() const {
  uv_os_fd_t fd = -1;
  tcp_info info{};
  socklen_t length = sizeof(info);
  return uv_fileno(m_handle->handle(), &fd) == 0 &&
         getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

void TcpStream::CloseAfterWrites(std::unique_ptr<TcpStream> stream) {
  Reactor& reactor = *stream->m_handle->reactor;
  auto closing = std::make_unique<Closing>(std::move(stream));
  Closing* const kept = closing.get();
  reactor.Keep(std::move(closing));
  kept->Start();
}

struct TcpListener::Handle {
  uv_tcp_t tcp;
  Reactor* reactor = nullptr;
  Duration tcp_user_timeout{};
  AcceptCallback accept;
};

TcpListener::TcpListener(Reactor& reactor,
                         const std::string& address,
                         Duration tcp_user_timeout,
                         AcceptCallback accept)
    : m_handle(new Handle) {
  m_handle->reactor = &reactor;
  m_handle->tcp_user_timeout = tcp_user_timeout;
  m_handle->accept = std::move(accept);
  uv_tcp_init(reactor.loop(), &m_handle->tcp);
  m_handle->tcp.data = m_handle;
  const auto parsed = ParseAddress(address);
  int error = UV_EINVAL;
  if (parsed) {
    error = uv_tcp_bind(&m_handle->tcp,
                        reinterpret_cast<const sockaddr*>(&*parsed), 0);
  }
  if (error == 0) {
    error =
        uv_listen(reinterpret_cast<uv_stream_t*>(&m_handle->tcp),
                  kListenBacklog, [](uv_stream_t* server, int status) {
                    if (status < 0) {
                      return;
                    }
                    auto* self = static_cast<Handle*>(server->data);
                    auto* handle = TcpStream::Handle::New(*self->reactor);
                    std::unique_ptr<TcpStream> stream(new TcpStream(handle));
                    handle->owner = stream.get();
                    if (uv_accept(server, handle->stream()) != 0) {
                      return;
                    }
                    handle->SetSocketOptions(self->tcp_user_timeout);
                    self->accept(std::move(stream));
                  });
  }
  if (error != 0) {
    uv_close(
        reinterpret_cast<uv_handle_t*>(&m_handle->tcp),
        [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
    throw std::runtime_error("cannot listen on " + address + ": " +
                             uv_strerror(error));
  }
}

TcpListener::~TcpListener() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_handle->tcp),
      [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

std::string TcpListener::address() const {
  sockaddr_in name{};
  int length = sizeof(name);
  uv_tcp_getsockname(&m_handle->tcp, reinterpret_cast<sockaddr*>(&name),
                     &length);
  return FormatAddress(name);
}

}  // namespace applestand
