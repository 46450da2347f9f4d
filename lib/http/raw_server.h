#ifndef LIB_HTTP_RAW_SERVER_H_
#define LIB_HTTP_RAW_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace applestand {

/// A server of plain TCP connections on loopback, for tests of how a client
/// handles responses that an HTTP library would not send.
class RawServer {
 public:
  /// The server's end of one connection.
  class Peer {
   public:
    explicit Peer(int fd) : m_fd(fd) {}

    /// Reads one request without a body. Returns false if the client has closed
    /// the connection.
    bool ReadRequest() {
      size_t end = m_input.find("\r\n\r\n");
      while (end == std::string::npos) {
        if (!Receive()) {
          return false;
        }
        end = m_input.find("\r\n\r\n");
      }
      m_head = m_input.substr(0, end + 4);
      m_input.erase(0, end + 4);
      return true;
    }

    /// Request line and headers of the request that was read last.
    const std::string& head() const { return m_head; }

    /// Returns the header of that request which names its attempt, as a line,
    /// empty if there is none.
    std::string AttemptIdLine() const {
      constexpr std::string_view kLineEnd = "\r\n";
      const size_t end_before = m_head.find("\r\nAttempt-Id: ");
      if (end_before == std::string::npos) {
        return "";
      }
      const size_t begin = end_before + kLineEnd.size();
      const size_t end = m_head.find(kLineEnd, begin) + kLineEnd.size();
      return m_head.substr(begin, end - begin);
    }

    /// Reads `count` bytes. Returns fewer if the client has closed the
    /// connection.
    std::string ReadBytes(size_t count) {
      while (m_input.size() < count && Receive()) {
      }
      std::string bytes = m_input.substr(0, count);
      m_input.erase(0, count);
      return bytes;
    }

    void Send(std::string_view bytes) {
      static_cast<void>(send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

   private:
    bool Receive() {
      std::array<char, 4096> buffer{};
      const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return false;
      }
      m_input.append(buffer.data(), static_cast<size_t>(count));
      return true;
    }

    const int m_fd;
    std::string m_input;
    std::string m_head;
  };

  /// Serves the connection with the given index, counted from 0. The connection
  /// is closed when the function returns.
  using Script = std::function<void(Peer& peer, size_t index)>;

  explicit RawServer(Script script)
      : m_script(std::move(script)),
        m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(m_listener, SOMAXCONN) != 0) {
      throw std::runtime_error("cannot listen on loopback");
    }
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { Accept(); });
  }

  ~RawServer() {
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (const int fd : m_descriptors) {
      shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    for (const int fd : m_descriptors) {
      close(fd);
    }
    close(m_listener);
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  void Accept() {
    for (size_t index = 0;; ++index) {
      const int fd = accept(m_listener, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      m_descriptors.push_back(fd);
      m_threads.emplace_back([this, fd, index] {
        Peer peer(fd);
        m_script(peer, index);
        shutdown(fd, SHUT_RDWR);
      });
    }
  }

  const Script m_script;
  const int m_listener;
  uint16_t m_port = 0;
  std::vector<int> m_descriptors;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

}  // namespace applestand

#endif  // LIB_HTTP_RAW_SERVER_H_
