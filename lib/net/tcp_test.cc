#include "lib/net/tcp.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <optional>
#include <string>

namespace applestand {

namespace {

/// Remembers what came and how it ended.
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

/// A listener that sends some bytes to each caller and then ends in one way.
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
                     // Unread bytes of the peer turn the close into a reset,
                     // which the peer meets together with the data.
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

TEST_CASE("an orderly end is told from a reset after data") {
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

TEST_CASE("a malformed address is refused") {
  Reactor reactor;
  Recorder recorder(reactor);
  for (const char* address : {"", "127.0.0.1", "host:80", "127.0.0.1:99999"}) {
    CHECK(TcpStream::Connect(reactor, address, std::chrono::seconds(1),
                             recorder) == nullptr);
  }
}

}  // namespace applestand
