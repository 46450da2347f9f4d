// Tests of idle connections on which something has arrived that the reactor has
// not reported yet.

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lib/relay/http_client_pool.h"

namespace applestand {

namespace {

using std::chrono::seconds;

/// A server that responds to each request with the number of its connection,
/// from 0. Each stream is open until it is reset.
class NumberingServer {
 public:
  explicit NumberingServer(Reactor& reactor)
      : m_listener(reactor,
                   "127.0.0.1:0",
                   seconds(5),
                   [this](std::unique_ptr<TcpStream> stream) {
                     peers.push_back(std::make_unique<Peer>(peers.size()));
                     peers.back()->stream = std::move(stream);
                     peers.back()->stream->Read(*peers.back());
                   }) {}

  struct Peer : public StreamObserver {
    explicit Peer(size_t connection) : number(connection) {}
    void OnBytes(std::string_view /*bytes*/) override { Respond(); }
    void OnEnd(bool /*orderly*/, const char* /*error*/) override {
      stream = nullptr;
    }
    void Respond() const {
      stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                    std::to_string(number));
    }

    const size_t number;
    std::unique_ptr<TcpStream> stream;
  };

  std::string address() const { return m_listener.address(); }

  std::vector<std::unique_ptr<Peer>> peers;

 private:
  TcpListener m_listener;
};

/// Makes one call without a turn of the reactor before it.
CallResult CallAtOnce(Reactor& reactor,
                      HttpClientPool& pool,
                      const std::string& address) {
  std::optional<CallResult> result;
  const auto call =
      pool.Call(address, SerializeRequest("GET", "/", {{"Host", address}}, ""),
                {}, [&](CallResult r) {
                  result = std::move(r);
                  reactor.Stop();
                });
  Timer guard(reactor);
  guard.Start(seconds(10), [&] { reactor.Stop(); });
  reactor.Run();
  REQUIRE(result.has_value());
  return *result;
}

}  // namespace

// Guards against a surplus response, from a server whose responses bear no id,
// that is taken for the response to the next request (REFUSED, MIXED).
TEST_CASE("a response that lies unread is not that of the next request") {
  Reactor reactor;
  NumberingServer server(reactor);
  HttpClientPool pool(reactor);
  REQUIRE(CallAtOnce(reactor, pool, server.address()).response.body == "0");
  server.peers.front()->Respond();
  const CallResult second = CallAtOnce(reactor, pool, server.address());
  CHECK(second.response.body == "1");
  CHECK(second.opened_connection);
}

// Guards against a request that fails, as one that may have run, because its
// connection had ended before it was sent.
TEST_CASE("a request is not sent on a connection that has ended") {
  Reactor reactor;
  NumberingServer server(reactor);
  HttpClientPool pool(reactor);
  REQUIRE(CallAtOnce(reactor, pool, server.address()).response.body == "0");
  server.peers.front()->stream = nullptr;
  const CallResult second = CallAtOnce(reactor, pool, server.address());
  CHECK(second.ran == Ran::kRan);
  CHECK(second.response.body == "1");
}

}  // namespace applestand
