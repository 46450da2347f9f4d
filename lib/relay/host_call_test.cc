#include "lib/relay/host_call.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lib/relay/http_listener.h"

namespace applestand {

namespace {

using std::chrono::seconds;

/// Stands for another host. Responds to each call with the bytes that a
/// function returns for the call's id.
class ScriptedHost {
 public:
  ScriptedHost(Reactor& reactor,
               std::function<std::string(const std::string&)> respond)
      : m_respond(std::move(respond)),
        m_listener(reactor,
                   "127.0.0.1:0",
                   seconds(5),
                   [this](std::unique_ptr<TcpStream> stream) {
                     m_peers.push_back(
                         std::make_unique<Peer>(*this, std::move(stream)));
                   }) {}

  std::string address() const { return m_listener.address(); }
  size_t connections() const { return m_peers.size(); }

 private:
  struct Peer : public StreamObserver {
    Peer(ScriptedHost& owner, std::unique_ptr<TcpStream> accepted)
        : host(owner), stream(std::move(accepted)) {
      stream->Read(*this);
    }
    void OnBytes(std::string_view bytes) override {
      constexpr std::string_view kName = "Call-Id: ";
      const size_t at = bytes.find(kName);
      REQUIRE(at != std::string_view::npos);
      const size_t begin = at + kName.size();
      const size_t end = bytes.find("\r\n", begin);
      stream->Write(
          host.m_respond(std::string(bytes.substr(begin, end - begin))));
    }
    void OnEnd(bool /*orderly*/, const char* /*error*/) override {
      stream = nullptr;
    }

    ScriptedHost& host;
    std::unique_ptr<TcpStream> stream;
  };

  std::function<std::string(const std::string&)> m_respond;
  TcpListener m_listener;
  std::vector<std::unique_ptr<Peer>> m_peers;
};

/// A response whose body is the id of its call.
std::string ResponseTo(const std::string& id, bool named = true) {
  return "HTTP/1.1 200 OK\r\n" + (named ? "Call-Id: " + id + "\r\n" : "") +
         "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

CallResult Call(Reactor& reactor,
                HttpClientPool& pool,
                const std::string& address) {
  std::optional<CallResult> result;
  const auto call =
      CallHost(pool, address, "/call", "message", {}, [&](CallResult r) {
        result = std::move(r);
        reactor.Stop();
      });
  reactor.Run();
  REQUIRE(result.has_value());
  return *result;
}

class RepeatingHandler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    exchange->RepeatHeader(kCallIdHeader);
    exchange->Respond({});
  }
};

}  // namespace

// Guards against a second copy of a response, such as another host's refusal,
// that is taken for the response to the next call (REFUSED, TWICE).
TEST_CASE("a response to another call between hosts is skipped") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  std::string last;
  ScriptedHost host(reactor, [&](const std::string& id) {
    const std::string copy = last.empty() ? "" : ResponseTo(last);
    last = id;
    return copy + ResponseTo(id);
  });
  CHECK(Call(reactor, pool, host.address()).response.body == "1");
  const CallResult second = Call(reactor, pool, host.address());
  CHECK(second.response.body == "2");
  CHECK_FALSE(second.opened_connection);
  // A third call does not use that connection.
  CHECK(Call(reactor, pool, host.address()).response.body == "3");
  CHECK(host.connections() == 2);
}

// Guards against the same with a host of an earlier version, which names no
// call.
TEST_CASE("a response that names no call is taken on a new connection only") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedHost host(
      reactor, [](const std::string& id) { return ResponseTo(id, false); });
  CHECK(Call(reactor, pool, host.address()).response.body == "1");
  const CallResult second = Call(reactor, pool, host.address());
  CHECK(second.response.body == "2");
  CHECK(second.opened_connection);
}

TEST_CASE("the response to a call between hosts names the call") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ByteBudget budget(1 << 20);
  RepeatingHandler handler;
  ListenerLimits limits;
  limits.request.max_head_bytes = 8192;
  limits.request.max_body_bytes = 8192;
  HttpListener listener(reactor, "127.0.0.1:0", limits, budget, handler);
  listener.Listen();
  CHECK(Call(reactor, pool, listener.address()).identified);
  CHECK_FALSE(Call(reactor, pool, listener.address()).opened_connection);
}

}  // namespace applestand
