#ifndef LIB_HTTP_RAW_CONNECTION_H_
#define LIB_HTTP_RAW_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace applestand {

/// A plain TCP connection to a server on loopback, for tests that send bytes
/// which an HTTP library would not send. Not thread-safe.
class RawConnection {
 public:
  explicit RawConnection(uint16_t port)
      : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_open = connect(m_fd, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0;
  }
  ~RawConnection() { close(m_fd); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Returns false if the server has closed the connection.
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
  }

  /// Closes the sending side; the receiving side stays open.
  void CloseSending() { shutdown(m_fd, SHUT_WR); }

  /// Reads until the received bytes contain `text` at least `times` times.
  /// Returns false if the server closes the connection or sends nothing for
  /// kReadTimeoutMs before that.
  bool ReadUntil(std::string_view text, size_t times = 1) {
    while (Count(text) < times) {
      if (!ReadSome()) {
        return false;
      }
    }
    return true;
  }

  /// Reads until the server closes the connection. Returns false if it sends
  /// nothing for kReadTimeoutMs before that.
  bool ReadUntilClosed() {
    while (m_open) {
      if (!ReadSome() && m_open) {
        return false;
      }
    }
    return true;
  }

  size_t Count(std::string_view text) const {
    size_t count = 0;
    for (size_t at = m_received.find(text); at != std::string::npos;
         at = m_received.find(text, at + text.size())) {
      ++count;
    }
    return count;
  }

  void ClearReceived() { m_received.clear(); }

  const std::string& received() const { return m_received; }
  /// Returns whether the connection was established and has not been found
  /// closed.
  bool open() const { return m_open; }

 private:
  static constexpr int kReadTimeoutMs = 3000;

  /// Returns false if nothing was received in time or the server has closed the
  /// connection. The latter clears m_open.
  bool ReadSome() {
    pollfd entry{m_fd, POLLIN, 0};
    if (poll(&entry, 1, kReadTimeoutMs) <= 0) {
      return false;
    }
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      m_open = false;
      return false;
    }
    m_received.append(buffer.data(), static_cast<size_t>(count));
    return true;
  }

  int m_fd;
  bool m_open = false;
  std::string m_received;
};

}  // namespace applestand

#endif  // LIB_HTTP_RAW_CONNECTION_H_
