#include "lib/http/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>
#include <utility>

#include "lib/http/connection.h"
#include "lib/http/connection_table.h"
#include "lib/http/response_writer.h"
#include "lib/http/server_core.h"

namespace applestand {

namespace {

constexpr char kConnectionData[] = "connection";
constexpr int kServiceUnavailable = 503;
constexpr int kMaxCloseAttempts = 500;
constexpr std::chrono::milliseconds kCloseRetryInterval{2};

/// Sends a 503 response for a connection beyond the maximum number and shuts
/// the connection down. The socket's send buffer is still empty, so the
/// response fits into it.
void RefuseConnection(int fd) {
  const std::string bytes =
      Serialize(
          MakeRefusalResponse(kServiceUnavailable, "too many connections"),
          {false, true})
          .bytes;
  static_cast<void>(
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
  ::shutdown(fd, SHUT_RDWR);
}

/// Makes the kernel close the connection if the caller does not acknowledge
/// bytes for `limit`.
void SetTcpUserTimeout(int fd, std::chrono::milliseconds limit) {
  const auto millis = static_cast<unsigned int>(limit.count());
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

/// Passes the events of Pistache's threads on to the connections.
class PistacheHandler : public Pistache::Tcp::Handler {
 public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, PistacheHandler)

  PistacheHandler(std::shared_ptr<ServerCore> core, ConnectionTable& table)
      : m_core(std::move(core)), m_table(&table) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    auto connection = m_table->Open(peer->fd(), peer->address().host());
    if (connection == nullptr) {
      RefuseConnection(peer->fd());
      return;
    }
    SetTcpUserTimeout(peer->fd(), m_core->options.send_timeout);
    peer->putData(kConnectionData, connection);
  }

  void onInput(const char* buffer,
               size_t len,
               const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    if (const auto connection = Find(peer)) {
      connection->OnInput({buffer, len});
    }
  }

  void onDisconnection(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    if (const auto connection = Find(peer)) {
      m_table->Close(connection);
    }
  }

 private:
  static std::shared_ptr<Connection> Find(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
    return std::static_pointer_cast<Connection>(
        peer->tryGetData(kConnectionData));
  }

  std::shared_ptr<ServerCore> m_core;
  ConnectionTable* m_table;
};

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, HttpHandler handler)
      : m_core(std::make_shared<ServerCore>(std::move(options),
                                            std::move(handler))),
        m_table(m_core) {}

  void Start() {
    using Pistache::Tcp::Options;
    const HttpServerOptions& options = m_core->options;
    m_listener = std::make_unique<Pistache::Tcp::Listener>(
        Pistache::Address(options.address, Pistache::Port(options.port)));
    m_listener->init(
        static_cast<size_t>(options.threads),
        Pistache::Flags<Options>(Options::ReuseAddr | Options::NoDelay));
    m_listener->setHandler(std::make_shared<PistacheHandler>(m_core, m_table));
    m_listener->bind();
    m_port = m_listener->getPort();
    m_table.Start();
    m_listener->runThreaded();
  }

  void Stop() {
    if (m_listener == nullptr) {
      return;
    }
    m_core->refusing = true;
    m_core->draining = true;
    CloseConnections();
    // Joins the reading threads.
    m_listener->shutdown();
    m_listener.reset();
    m_table.Stop();
    for (const auto& connection : m_table.All()) {
      m_table.Close(connection);
    }
  }

  void BeginDrain() { m_core->draining = true; }

  void RefuseNewRequests() {
    m_core->draining = true;
    m_core->refusing = true;
  }

  size_t requests_in_flight() const { return m_core->requests_in_flight; }

  uint16_t port() const { return m_port; }

 private:
  /// Shuts all connections down and waits until Pistache has closed their
  /// sockets. Pistache does not close them when its listener is shut down.
  void CloseConnections() {
    for (int attempt = 0; attempt < kMaxCloseAttempts; ++attempt) {
      const auto connections = m_table.All();
      if (connections.empty()) {
        return;
      }
      for (const auto& connection : connections) {
        connection->Abort();
      }
      std::this_thread::sleep_for(kCloseRetryInterval);
    }
  }

  const std::shared_ptr<ServerCore> m_core;
  ConnectionTable m_table;
  std::unique_ptr<Pistache::Tcp::Listener> m_listener;
  uint16_t m_port = 0;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Start() {
  m_impl->Start();
}

void HttpServer::BeginDrain() {
  m_impl->BeginDrain();
}

void HttpServer::RefuseNewRequests() {
  m_impl->RefuseNewRequests();
}

size_t HttpServer::requests_in_flight() const {
  return m_impl->requests_in_flight();
}

void HttpServer::Stop() {
  m_impl->Stop();
}

uint16_t HttpServer::port() const {
  return m_impl->port();
}

}  // namespace applestand
