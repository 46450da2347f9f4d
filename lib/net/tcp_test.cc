#include "lib/net/tcp.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <optional>
#include <string>

namespace applestand {

namespace {

/// Records the received bytes and how the stream ended; then stops the reactor.
class Recorder : public StreamObserver {
 public:
  explicit Recorder(Reactor& reactor) : m_reactor(reactor) {}

  void OnConnected() override { connected = true; }
  void OnBytes(std::string_view bytes) override { received += bytes; }
  void OnEnd(bool orderly, const char* /*error*/) override {
    ended_orderly = orderly;
    m_reactor.Stop();
  }

  bool connected = false;
  std::string received;
  std::optional<bool> ended_orderly;

 private:
  Reactor& m_reactor;
};

/// A server that sends the same bytes on each connection and then closes it,
/// either in an orderly way or with a reset.
class OneShotServer {
 public:
  OneShotServer(Reactor& reactor, std::string bytes, bool reset)
      : m_reset_timer(reactor),
        m_listener(reactor,
                   "127.0.0.1:0",
                   std::chrono::seconds(5),
                   [this, bytes = std::move(bytes), reset](
                       std::unique_ptr<TcpStream> stream) {
                     m_stream = std::move(stream);
                     if (!reset) {
                       m_stream->Write(bytes);
                       TcpStream::CloseAfterWrites(std::move(m_stream));
                       return;
                     }
                     // Closing a socket with unread data sends a reset. The
                     // peer receives it right after the data, which is the
                     // case in which libuv reports an orderly end.
                     m_reset_timer.Start(std::chrono::milliseconds(50),
                                         [this, bytes] {
                                           m_stream->Write(bytes);
                                           m_stream = nullptr;
                                         });
                   }) {}

  std::string address() const { return m_listener.address(); }

 private:
  std::unique_ptr<TcpStream> m_stream;
  Timer m_reset_timer;
  TcpListener m_listener;
};

}  // namespace

TEST_CASE("a reset after data is not reported as an orderly end") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    Reactor reactor;
    OneShotServer server(reactor, "part of an answer", reset);
    Recorder recorder(reactor);
    auto stream = TcpStream::Connect(reactor, server.address(),
                                     std::chrono::seconds(5), recorder);
    REQUIRE(stream != nullptr);
    stream->Write("the server never reads this");
    Timer guard(reactor);
    guard.Start(std::chrono::seconds(10), [&] { reactor.Stop(); });
    reactor.Run();
    CHECK(recorder.connected);
    CHECK(recorder.received == "part of an answer");
    REQUIRE(recorder.ended_orderly.has_value());
    CHECK(*recorder.ended_orderly == !reset);
  }
}

TEST_CASE("connecting to a malformed address returns null") {
  Reactor reactor;
  Recorder recorder(reactor);
  for (const char* address : {"", "127.0.0.1", "host:80", "127.0.0.1:99999"}) {
    CHECK(TcpStream::Connect(reactor, address, std::chrono::seconds(1),
                             recorder) == nullptr);
  }
}

}  // namespace applestand
