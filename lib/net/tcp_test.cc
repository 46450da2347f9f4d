#include "lib/net/tcp.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "lib/http/raw_connection.h"

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

// Guards against connections that are never closed because their peers keep
// them open.
TEST_CASE("connections that peers keep open are closed, few of them slowly") {
  constexpr size_t kConnections = 300;
  constexpr size_t kMaxSlow = 256;
  Reactor reactor;
  size_t accepted = 0;
  const TcpListener listener(reactor, "127.0.0.1:0", std::chrono::seconds(5),
                             [&](std::unique_ptr<TcpStream> stream) {
                               ++accepted;
                               TcpStream::CloseAfterWrites(std::move(stream));
                             });
  const auto run_for = [&](Duration duration) {
    Timer timer(reactor);
    timer.Start(duration, [&] { reactor.Stop(); });
    reactor.Run();
  };
  const std::string address = listener.address();
  const auto port =
      static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  std::vector<std::unique_ptr<RawConnection>> peers;
  for (size_t i = 0; i < kConnections; ++i) {
    peers.push_back(std::make_unique<RawConnection>(port));
  }
  run_for(std::chrono::milliseconds(200));
  REQUIRE(accepted == kConnections);
  CHECK(reactor.background_tasks() == kMaxSlow);
  // The connections that were closed at once are the first ones.
  peers.back() = nullptr;
  run_for(std::chrono::milliseconds(50));
  CHECK(reactor.background_tasks() == kMaxSlow - 1);
  run_for(std::chrono::milliseconds(1000));
  CHECK(reactor.background_tasks() == 0);
}

// Guards against reading without end from a peer whose upload was refused.
TEST_CASE("a peer that sends on after the close is held up and then cut") {
  constexpr size_t kMinSentBytes = size_t{16} << 20;
  // Allows for the buffers of both sockets.
  constexpr size_t kMaxSentBytes = kMinSentBytes * 2;
  Reactor reactor;
  const TcpListener listener(reactor, "127.0.0.1:0", std::chrono::seconds(5),
                             [](std::unique_ptr<TcpStream> stream) {
                               TcpStream::CloseAfterWrites(std::move(stream));
                             });
  const std::string address = listener.address();
  RawConnection peer(
      static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
  size_t sent_bytes = 0;
  std::thread sender([&] {
    const std::string part(size_t{64} << 10, 'x');
    while (peer.Send(part)) {
      sent_bytes += part.size();
    }
  });
  Timer timer(reactor);
  timer.Start(std::chrono::milliseconds(1500), [&] { reactor.Stop(); });
  reactor.Run();
  CHECK(reactor.background_tasks() == 0);
  sender.join();
  CHECK(sent_bytes >= kMinSentBytes);
  CHECK(sent_bytes <= kMaxSentBytes);
}

TEST_CASE("connecting to a malformed address returns null") {
  Reactor reactor;
  Recorder recorder(reactor);
  for (const char* address : {"", "127.0.0.1", "host:80", "127.0.0.1:99999"}) {
    CHECK(TcpStream::Connect(reactor, address, std::chrono::seconds(1),
                             recorder) == nullptr);
  }
}

// Guards against a process that a peer ends by closing its connection.
TEST_CASE("a write to a stream that the peer has closed ends no process") {
  Reactor reactor;
  std::unique_ptr<TcpStream> accepted;
  const TcpListener listener(
      reactor, "127.0.0.1:0", std::chrono::seconds(5),
      [&](std::unique_ptr<TcpStream> stream) { accepted = std::move(stream); });
  Recorder recorder(reactor);
  auto stream = TcpStream::Connect(reactor, listener.address(),
                                   std::chrono::seconds(5), recorder);
  Timer timer(reactor);
  const auto run_for = [&](Duration duration) {
    timer.Start(duration, [&] { reactor.Stop(); });
    reactor.Run();
  };
  constexpr Duration kPause = std::chrono::milliseconds(30);
  run_for(kPause);
  REQUIRE((accepted != nullptr));
  accepted = nullptr;
  run_for(kPause);
  // The first write draws a reset, the second one meets it.
  stream->Write("a");
  run_for(kPause);
  stream->Write("b");
  run_for(kPause);
  CHECK(recorder.ended_orderly.has_value());
}

// Guards against output of a callback that waits until the next event.
TEST_CASE("a wait hook runs after callbacks and before the reactor waits") {
  Reactor reactor;
  bool pending = false;
  bool handled = false;
  const WaitHook hook(reactor, [&] { handled = handled || pending; });
  Timer work(reactor);
  work.Start(Duration::zero(), [&] { pending = true; });
  Timer later(reactor);
  later.Start(std::chrono::milliseconds(50), [&] {
    CHECK(handled);
    reactor.Stop();
  });
  reactor.Run();
  CHECK(pending);
}

}  // namespace applestand
