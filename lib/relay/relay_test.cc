#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/raw_connection.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that sends scripted bytes in reply to each request.
class ScriptedServer {
 public:
  explicit ScriptedServer(Reactor& reactor)
      : m_listener(reactor,
                   "127.0.0.1:0",
                   seconds(5),
                   [this](std::unique_ptr<TcpStream> stream) {
                     m_peers.push_back(
                         std::make_unique<Peer>(*this, std::move(stream)));
                   }) {}

  std::string address() const { return m_listener.address(); }
  size_t connections() const { return m_peers.size(); }

  /// Replies to the first, second, ... request, counted over all connections.
  /// The last one repeats. An empty string means no reply.
  std::vector<std::string> responses;
  /// Closes each connection after a response.
  bool close_after_response = false;
  size_t requests = 0;
  size_t ended = 0;

 private:
  class Peer : public StreamObserver {
   public:
    Peer(ScriptedServer& server, std::unique_ptr<TcpStream> stream)
        : m_server(server), m_stream(std::move(stream)) {
      m_stream->Read(*this);
    }
    void OnBytes(std::string_view bytes) override {
      if (bytes.find("\r\n\r\n") == std::string_view::npos) {
        return;
      }
      const size_t index =
          std::min(m_server.requests, m_server.responses.size() - 1);
      ++m_server.requests;
      m_stream->Write(m_server.responses[index]);
      if (m_server.close_after_response) {
        TcpStream::CloseAfterWrites(std::move(m_stream));
      }
    }
    void OnEnd(bool /*orderly*/, const char* /*error*/) override {
      ++m_server.ended;
      m_stream = nullptr;
    }

   private:
    ScriptedServer& m_server;
    std::unique_ptr<TcpStream> m_stream;
  };

  TcpListener m_listener;
  std::vector<std::unique_ptr<Peer>> m_peers;
};

std::string Response(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Request(const std::string& address) {
  return SerializeRequest("GET", "/", {{"Host", address}}, "");
}

uint16_t PortOf(const std::string& address) {
  return static_cast<uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
}

/// Runs the reactor until `done` returns true; fails the test after 10 s.
void RunUntil(Reactor& reactor, const std::function<bool()>& done) {
  Timer guard(reactor);
  guard.Start(seconds(10), [&] { reactor.Stop(); });
  Timer poll(reactor);
  poll.StartRepeating(milliseconds(2), [&] {
    if (done()) {
      reactor.Stop();
    }
  });
  reactor.Run();
  REQUIRE(done());
}

void RunFor(Reactor& reactor, Duration duration) {
  Timer timer(reactor);
  timer.Start(duration, [&] { reactor.Stop(); });
  reactor.Run();
}

/// Makes one call and returns its result.
CallResult CallOnce(Reactor& reactor,
                    HttpClientPool& pool,
                    const std::string& address,
                    CallOptions options = {}) {
  std::optional<CallResult> result;
  const auto call = pool.Call(address, Request(address), std::move(options),
                              [&](CallResult r) { result = std::move(r); });
  RunUntil(reactor, [&] { return result.has_value(); });
  return *result;
}

/// Options of a request whose response has the given X-Id header.
CallOptions Matching(const std::string& id) {
  CallOptions options;
  options.owner_of = [id](const HttpResponse& response) {
    return FindHeader(response.headers, "X-Id") == id
               ? ResponseOwner::kThisRequest
               : ResponseOwner::kOtherRequest;
  };
  options.response_id = id;
  return options;
}

/// Counts requests and passes each one to a function.
class Handler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    ++requests;
    if (on_request) {
      on_request(exchange);
    }
  }
  std::function<void(const std::shared_ptr<ServerExchange>&)> on_request;
  size_t requests = 0;
};

/// Records the received bytes and whether the stream has ended.
class Recorder : public StreamObserver {
 public:
  void OnBytes(std::string_view bytes) override { received += bytes; }
  void OnEnd(bool /*orderly*/, const char* /*error*/) override { ended = true; }
  size_t Count(const std::string& text) const {
    size_t count = 0;
    for (size_t at = received.find(text); at != std::string::npos;
         at = received.find(text, at + 1)) {
      ++count;
    }
    return count;
  }
  std::string received;
  bool ended = false;
};

/// An HttpListener on a free loopback port, with its budget and handler.
struct Server {
  explicit Server(Reactor& reactor, ListenerLimits limits = Limits())
      : listener(reactor, "127.0.0.1:0", limits, budget, handler) {
    listener.Listen();
  }
  static ListenerLimits Limits() {
    ListenerLimits limits;
    limits.request.max_head_bytes = 4096;
    limits.request.max_body_bytes = 10000;
    return limits;
  }
  ByteBudget budget{100000};
  Handler handler;
  HttpListener listener;
};

}  // namespace

TEST_CASE("an idle connection is reused for the next call") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("1", "one"), Response("2", "two")};
  const CallResult first = CallOnce(reactor, pool, server.address());
  const CallResult second = CallOnce(reactor, pool, server.address());
  CHECK(first.opened_connection);
  CHECK(second.response.body == "two");
  CHECK_FALSE(second.opened_connection);
  CHECK(server.connections() == 1);
}

TEST_CASE("a surplus response is not taken for the response to the next call") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("1", "one") + Response("1", "again"),
                      Response("2", "two")};
  CHECK(CallOnce(reactor, pool, server.address()).response.body == "one");
  const CallResult next = CallOnce(reactor, pool, server.address());
  CHECK(next.response.body == "two");
  CHECK(next.opened_connection);
}

TEST_CASE("a response to an earlier request is skipped") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("old", "late") + Response("new", "mine")};
  const CallResult result =
      CallOnce(reactor, pool, server.address(), Matching("new"));
  CHECK(result.ran == Ran::kRan);
  CHECK(result.response.body == "mine");
}

// Guards against a server whose responses have come out of step with the
// requests: the next call might get another one's response.
TEST_CASE("a connection that carried an unasked response is not used again") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("1", "one"),
                      Response("1", "again") + Response("2", "two"),
                      Response("3", "three")};
  CHECK(
      CallOnce(reactor, pool, server.address(), Matching("1")).response.body ==
      "one");
  const CallResult second =
      CallOnce(reactor, pool, server.address(), Matching("2"));
  CHECK(second.response.body == "two");
  CHECK_FALSE(second.opened_connection);
  const CallResult third =
      CallOnce(reactor, pool, server.address(), Matching("3"));
  CHECK(third.response.body == "three");
  CHECK(third.opened_connection);
}

// Guards against a connection that carries the same request twice, so that a
// second copy of the first response would be taken for the other one.
TEST_CASE("a call gets a connection that has not carried its id") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("1", "one"), Response("1", "again"),
                      Response("2", "two")};
  CHECK(CallOnce(reactor, pool, server.address(), Matching("1"))
            .opened_connection);
  const CallResult again =
      CallOnce(reactor, pool, server.address(), Matching("1"));
  CHECK(again.opened_connection);
  CHECK(again.requests_on_connection == 1);
  CHECK(pool.idle_connections() == 2);
  CHECK_FALSE(CallOnce(reactor, pool, server.address(), Matching("2"))
                  .opened_connection);
}

// Guards against a caller that gives all its requests one id: each of them
// needs another connection, and a server accepts a limited number of them.
TEST_CASE("calls with one id leave few idle connections") {
  constexpr size_t kMaxIdle = 8;
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {Response("1", "one")};
  for (int i = 0; i < 50; ++i) {
    CHECK(CallOnce(reactor, pool, server.address(), Matching("1"))
              .opened_connection);
  }
  CHECK(pool.idle_connections() <= kMaxIdle);
}

// Guards against stand-ins of faulty servers that do not repeat what they are
// told to, so that tests with them would hold whatever a host does.
TEST_CASE("an exchange can write a response that nobody waits for") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  Server server(reactor);
  std::vector<std::shared_ptr<ServerExchange>> exchanges;
  server.handler.on_request = [&](const auto& exchange) {
    exchanges.push_back(exchange);
    const HttpResponse earlier{503, {{"X-Id", "1"}}, "earlier"};
    if (exchanges.size() == 2) {
      CHECK(exchanges[0]->IsOnSameConnection(*exchanges[1]));
      CHECK(exchanges[0]->WriteUnasked(earlier));
    }
    const std::string id = std::to_string(exchanges.size());
    exchanges.back()->Respond({200, {{"X-Id", id}}, "own"});
  };
  const std::string address = server.listener.address();
  CallOnce(reactor, pool, address, Matching("1"));
  const CallResult second = CallOnce(reactor, pool, address, Matching("2"));
  CHECK_FALSE(second.opened_connection);
  CHECK(second.response.body == "own");
  CHECK(CallOnce(reactor, pool, address, Matching("3")).opened_connection);
  CHECK_FALSE(exchanges[0]->IsOnSameConnection(*exchanges[2]));
  CHECK_FALSE(exchanges[0]->WriteUnasked(HttpResponse()));
}

// Guards against reporting every failure of a connection as a response that was
// cut.
TEST_CASE("a call to an address without a listener reports the refusal") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  std::string address;
  {
    const ScriptedServer server(reactor);
    address = server.address();
  }
  const CallResult result = CallOnce(reactor, pool, address);
  CHECK(result.ran == Ran::kNotRun);
  CHECK(IsConnectionRefused(result.error));
}

TEST_CASE("a failed call reports whether its request may have run") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {""};
  CallOptions options;
  options.call_timeout = milliseconds(50);
  const CallResult silent = CallOnce(reactor, pool, server.address(), options);
  CHECK(silent.ran == Ran::kMayHaveRun);
  CHECK_FALSE(silent.error.empty());
  server.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"};
  CHECK(CallOnce(reactor, pool, server.address(), options).ran ==
        Ran::kMayHaveRun);
  server.responses = {"garbage\r\n\r\n"};
  CHECK(CallOnce(reactor, pool, server.address(), options).ran ==
        Ran::kMayHaveRun);
  // No server listens on this port.
  CHECK(CallOnce(reactor, pool, "127.0.0.1:1", options).ran == Ran::kNotRun);
  CHECK(CallOnce(reactor, pool, "nonsense", options).ran == Ran::kNotRun);
}

// Guards against a success with the first 4 of 10 bytes, and against a later
// call on the connection.
TEST_CASE("a call that gets a truncated chunk fails and ends the connection") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\n0123\r\n0\r\n89\r\n0\r\n\r\n"};
  const CallResult result = CallOnce(reactor, pool, server.address());
  CHECK(result.ran == Ran::kMayHaveRun);
  CHECK(result.error == "malformed trailer");
  CHECK(result.response.body.empty());
  RunUntil(reactor, [&] { return server.ended == 1; });
  CHECK(pool.idle_connections() == 0);
}

TEST_CASE("destroying a pending call closes its connection") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.responses = {""};
  auto call = pool.Call(server.address(), Request(server.address()), {},
                        [](const CallResult&) {
                          FAIL("callback ran after the call was destroyed");
                        });
  RunUntil(reactor, [&] { return server.requests == 1; });
  call = nullptr;
  RunUntil(reactor, [&] { return server.ended == 1; });
}

TEST_CASE("responses to pipelined requests are sent in order") {
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpResponse response;
        response.body = exchange->request().target;
        exchange->Respond(response);
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  const std::string head = " HTTP/1.1\r\nHost: a\r\n\r\n";
  stream->Write("GET /1" + head + "GET /2" + head + "GET /3" + head);
  RunUntil(reactor, [&] { return recorder.Count("HTTP/1.1 200") == 3; });
  CHECK(recorder.received.find("/1") < recorder.received.find("/2"));
  CHECK(recorder.received.find("/2") < recorder.received.find("/3"));
  CHECK(server.listener.open_requests() == 0);
}

TEST_CASE("a disconnect of the caller is reported while its request is open") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  bool disconnected = false;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open = exchange;
        exchange->OnCallerDisconnect(
            [&](const Disconnection&) { disconnected = true; });
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  stream->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  CHECK(server.listener.open_requests() == 1);
  stream = nullptr;
  RunUntil(reactor, [&] { return disconnected; });
  CHECK(open->caller_disconnected());
  CHECK(server.listener.open_requests() == 0);
  // Responding after the disconnect has no effect.
  open->Respond(HttpResponse());
}

// Guards against taking a caller that has sent all its requests for one that
// has left.
TEST_CASE("a caller that closes its sending side gets its responses") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  bool disconnected = false;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open = exchange;
        exchange->OnCallerDisconnect(
            [&](const Disconnection&) { disconnected = true; });
      };
  RawConnection caller(PortOf(server.listener.address()));
  const std::string head = " HTTP/1.1\r\nHost: a\r\n\r\n";
  caller.Send("GET /1" + head + "GET /2" + head);
  caller.CloseSending();
  RunFor(reactor, milliseconds(400));
  for (const char* path : {"/1", "/2"}) {
    REQUIRE_FALSE(disconnected);
    REQUIRE((open != nullptr));
    CHECK(open->request().target == path);
    std::exchange(open, nullptr)->Respond(HttpResponse());
  }
  RunUntil(reactor, [&] { return server.listener.connections() == 0; });
  RunFor(reactor, milliseconds(20));
  CHECK(caller.ReadUntilClosed());
  CHECK(caller.Count("HTTP/1.1 200") == 2);
  CHECK(caller.Count("Connection: close") == 1);
  CHECK(caller.received().find("Connection: close") >
        caller.received().rfind("HTTP/1.1 200"));
  // HTTP libraries give up after more than 5.
  CHECK(caller.Count("HTTP/1.1 100 Continue\r\n\r\n") <= 4);
}

// Guards against a response that is cut because its caller's end arrives with
// the request, and before the response has left the buffers.
TEST_CASE("an end that arrives with its request does not cut the response") {
  constexpr size_t kBodyBytes = size_t{16} << 20;
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpResponse response;
        response.body = std::string(kBodyBytes, 'x');
        exchange->Respond(response);
      };
  RawConnection caller(PortOf(server.listener.address()));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.CloseSending();
  std::thread reader([&] { caller.ReadUntilClosed(); });
  RunUntil(reactor, [&] { return server.listener.connections() == 0; });
  RunFor(reactor, milliseconds(500));
  reader.join();
  CHECK(caller.Count("x") == kBodyBytes);
}

// Guards against a refusal that its caller never reads, because the connection
// is reset while it sends the rest of its body.
TEST_CASE("a refused upload is sent to its end, and its refusal read late") {
  constexpr size_t kParts = 10;
  const std::string part(20000, 'x');
  Reactor reactor;
  Server server(reactor);
  RawConnection caller(PortOf(server.listener.address()));
  caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
  size_t sent = 0;
  for (size_t i = 0; i < kParts; ++i) {
    RunFor(reactor, milliseconds(20));
    sent += caller.Send(part) ? 1 : 0;
  }
  CHECK(sent == kParts);
  CHECK(server.listener.has_undelivered_responses());
  caller.CloseSending();
  RunFor(reactor, milliseconds(20));
  CHECK_FALSE(server.listener.has_undelivered_responses());
  CHECK(caller.ReadUntilClosed());
  CHECK(caller.Count("HTTP/1.1 413") == 1);
}

// Guards against a response that the start of a further request destroys, when
// the connection is closed before its caller has read the response.
TEST_CASE("bytes behind the last request do not cut its response") {
  constexpr size_t kBodyBytes = size_t{8} << 20;
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) { open = exchange; };
  RawConnection caller(PortOf(server.listener.address()));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  HttpResponse response;
  response.body = std::string(kBodyBytes, 'x');
  open->Respond(response);
  RunFor(reactor, milliseconds(20));
  CHECK(server.listener.has_undelivered_responses());
  caller.Send("GET / HTTP/1.1\r\nHo");
  std::thread reader([&] {
    std::this_thread::sleep_for(milliseconds(200));
    caller.ReadUntilClosed();
    caller.CloseSending();
  });
  RunFor(reactor, milliseconds(1500));
  reader.join();
  CHECK(caller.Count("x") == kBodyBytes);
  CHECK_FALSE(server.listener.has_undelivered_responses());
}

// Guards against interim responses to callers that do not know them.
TEST_CASE("an HTTP/1.0 caller that closes its sending side gets no more") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) { open = exchange; };
  RawConnection caller(PortOf(server.listener.address()));
  caller.Send("GET / HTTP/1.0\r\n\r\n");
  caller.CloseSending();
  RunFor(reactor, milliseconds(300));
  REQUIRE((open != nullptr));
  open->Respond(HttpResponse());
  RunUntil(reactor, [&] { return server.listener.connections() == 0; });
  RunFor(reactor, milliseconds(20));
  CHECK(caller.ReadUntilClosed());
  CHECK(caller.Count("HTTP/1.1 200") == 1);
  CHECK(caller.Count("HTTP/1.1 ") == 1);
}

// Guards against running a request whose rest never comes.
TEST_CASE("an end within a request closes the connection") {
  for (const bool behind_another : {false, true}) {
    CAPTURE(behind_another);
    Reactor reactor;
    Server server(reactor);
    server.handler.on_request =
        [](const std::shared_ptr<ServerExchange>& exchange) {
          exchange->Respond(HttpResponse());
        };
    RawConnection caller(PortOf(server.listener.address()));
    const std::string head = " HTTP/1.1\r\nHost: a\r\n";
    if (behind_another) {
      caller.Send("GET /1" + head + "\r\n");
    }
    caller.Send("POST /2" + head);
    caller.Send("Content-Length: 9\r\n\r\npart");
    caller.CloseSending();
    RunFor(reactor, milliseconds(50));
    CHECK(server.listener.connections() == 0);
    CHECK(server.handler.requests == (behind_another ? 1 : 0));
    CHECK(caller.ReadUntilClosed());
    CHECK(caller.Count("HTTP/1.1 200") == (behind_another ? 1 : 0));
  }
}

// Guards against targets that work on for callers that have left: rule GONE of
// the users' platform allows half a second over all hops.
TEST_CASE("a caller that closes its connection is noticed in time") {
  Reactor reactor;
  Server server(reactor);
  std::optional<TimePoint> noticed_at;
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open = exchange;
        exchange->OnCallerDisconnect(
            [&](const Disconnection&) { noticed_at = reactor.Now(); });
      };
  std::optional<RawConnection> caller(std::in_place,
                                      PortOf(server.listener.address()));
  // The second request must not begin.
  caller->Send(
      "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  const TimePoint left_at = reactor.Now();
  caller.reset();
  RunUntil(reactor, [&] { return noticed_at.has_value(); });
  MESSAGE(
      "noticed after ",
      std::chrono::duration<double, std::milli>(*noticed_at - left_at).count(),
      " ms");
  CHECK(*noticed_at - left_at < milliseconds(200));
  RunFor(reactor, milliseconds(20));
  CHECK(server.handler.requests == 1);
}

// Guards against a caller that waits for its response with its sending side
// closed, and then aborts, which is not read from the socket any more.
TEST_CASE("a reset after the caller's end is noticed") {
  Reactor reactor;
  Server server(reactor);
  std::optional<TimePoint> noticed_at;
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open = exchange;
        exchange->OnCallerDisconnect(
            [&](const Disconnection&) { noticed_at = reactor.Now(); });
      };
  std::optional<RawConnection> caller(std::in_place,
                                      PortOf(server.listener.address()));
  caller->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  caller->CloseSending();
  RunFor(reactor, milliseconds(500));
  REQUIRE((open != nullptr));
  REQUIRE_FALSE(noticed_at.has_value());
  const TimePoint left_at = reactor.Now();
  // Closing it with unread interim responses sends a reset.
  caller.reset();
  RunUntil(reactor, [&] { return noticed_at.has_value(); });
  CHECK(*noticed_at - left_at < milliseconds(200));
}

// Guards against taking an interim response, which hosts send each other to
// find out whether the other one has left, for the response.
TEST_CASE("interim responses that were not asked for are skipped") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  server.responses = {interim + interim + interim + Response("1", "one"),
                      interim + Response("2", "two")};
  CHECK(CallOnce(reactor, pool, server.address()).response.body == "one");
  CHECK(CallOnce(reactor, pool, server.address()).response.body == "two");
  CHECK(server.connections() == 1);
}

// Guards against taking the end of a target's sending side for a failure of the
// response before it.
TEST_CASE("a whole response before the server's end is served") {
  Reactor reactor;
  HttpClientPool pool(reactor);
  ScriptedServer server(reactor);
  server.close_after_response = true;
  server.responses = {Response("1", "one"), "HTTP/1.1 200 OK\r\n\r\nno length"};
  CHECK(CallOnce(reactor, pool, server.address()).response.body == "one");
  RunFor(reactor, milliseconds(20));
  CHECK(CallOnce(reactor, pool, server.address()).response.body == "no length");
}

// Guards against requests that had been received, and were closed without a
// response because the one before them was answered during a stop.
TEST_CASE("requests received before a close get responses") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) { open = exchange; };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  const std::string head = " HTTP/1.1\r\nHost: a\r\n\r\n";
  stream->Write("GET /1" + head);
  RunUntil(reactor, [&] { return open != nullptr; });
  stream->Write("GET /2" + head + "GET /3" + head);
  RunFor(reactor, milliseconds(20));
  server.listener.CloseAfterResponses();
  for (const char* path : {"/1", "/2", "/3"}) {
    REQUIRE((open != nullptr));
    CHECK(open->request().target == path);
    std::exchange(open, nullptr)->Respond(HttpResponse());
  }
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(recorder.Count("HTTP/1.1 200") == 3);
  // Only the last response announces the close.
  CHECK(recorder.Count("Connection: close") == 1);
}

// Guards against responses that are truncated because a stop closes connections
// on which they are still being sent.
TEST_CASE("a response is sent completely before its idle connection closes") {
  constexpr size_t kBodyBytes = size_t{32} << 20;
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpResponse response;
        response.body = std::string(kBodyBytes, 'x');
        exchange->Respond(response);
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  RunFor(reactor, milliseconds(20));
  stream->PauseReading();
  stream->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return server.handler.requests == 1; });
  RunFor(reactor, milliseconds(20));
  // The stop begins after the response. The caller reads on after a while.
  server.listener.CloseAfterResponses();
  server.listener.CloseIdle();
  RunFor(reactor, milliseconds(20));
  stream->ResumeReading();
  RunUntil(reactor, [&] {
    return recorder.ended || recorder.received.size() > kBodyBytes;
  });
  CHECK(recorder.received.size() > kBodyBytes);
}

// Guards against a process that ends while it sends a response.
TEST_CASE("a response that is being sent holds up the exit") {
  constexpr size_t kBodyBytes = size_t{32} << 20;
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpResponse response;
        response.body = std::string(kBodyBytes, 'x');
        exchange->Respond(response);
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  RunFor(reactor, milliseconds(20));
  server.listener.CloseAfterResponses();
  stream->PauseReading();
  stream->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return server.handler.requests == 1; });
  RunFor(reactor, milliseconds(20));
  const auto holds_up_exit = [&] {
    return server.listener.has_unanswered_requests() ||
           server.listener.has_undelivered_responses();
  };
  CHECK(holds_up_exit());
  stream->ResumeReading();
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(recorder.received.size() > kBodyBytes);
  RunUntil(reactor, [&] { return !holds_up_exit(); });
}

// Guards against responses that a reset destroys because the caller has sent
// more before it closes.
TEST_CASE("bytes that arrive behind a last response do not destroy it") {
  constexpr size_t kBodyBytes = size_t{32} << 20;
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpResponse response;
        response.body = std::string(kBodyBytes, 'x');
        exchange->Respond(response);
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  const std::string head = " HTTP/1.1\r\nHost: a\r\n\r\n";
  server.listener.CloseAfterResponses();
  stream->Write("GET /1" + head);
  RunUntil(reactor, [&] { return !recorder.received.empty(); });
  stream->Write("GET /2" + head);
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(recorder.received.size() > kBodyBytes);
}

// Guards against a process that takes up all memory, and has no time for other
// callers, because one caller sends without waiting during a stop.
TEST_CASE("a listener that closes reads no more ahead than before") {
  constexpr size_t kRequests = 4000;
  constexpr size_t kBodyBytes = 9000;
  signal(SIGPIPE, SIG_IGN);
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->Respond(HttpResponse());
      };
  std::string requests;
  for (size_t i = 0; i < kRequests; ++i) {
    requests += "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(kBodyBytes) + "\r\n\r\n" +
                std::string(kBodyBytes, 'x');
  }
  SUBCASE("while it serves") {}
  SUBCASE("while it closes") {
    server.listener.CloseAfterResponses();
  }
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  RunFor(reactor, milliseconds(20));
  stream->Write(std::move(requests));
  // The kernel holds at most some 20 MB in both directions, so that the last of
  // 36 MB is taken from the caller only after many requests.
  RunUntil(reactor, [&] {
    return stream->flushed() || server.handler.requests >= kRequests / 4 ||
           recorder.ended;
  });
  // Instead of serving them, the listener may close the connection.
  CHECK((server.handler.requests >= kRequests / 4 || recorder.ended));
}

// Guards against targets that work for a caller that has left, because the
// caller's connection is not read.
TEST_CASE("a disconnect is reported while many bytes wait to be used") {
  constexpr size_t kWaitingBytes = 9000;
  Reactor reactor;
  ListenerLimits limits = Server::Limits();
  limits.request.max_body_bytes = size_t{1} << 20;
  Server server(reactor, limits);
  bool disconnected = false;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->OnCallerDisconnect(
            [&](const Disconnection&) { disconnected = true; });
      };
  size_t bodies = 0;
  SUBCASE("one next request") {
    bodies = 1;
  }
  SUBCASE("many next requests") {
    bodies = 20;
  }
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  std::string requests = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  for (size_t i = 0; i < bodies; ++i) {
    requests += "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(kWaitingBytes) + "\r\n\r\n" +
                std::string(kWaitingBytes, 'x');
  }
  stream->Write(std::move(requests));
  RunUntil(reactor,
           [&] { return server.handler.requests == 1 && stream->flushed(); });
  RunFor(reactor, milliseconds(50));
  stream = nullptr;
  RunFor(reactor, milliseconds(500));
  CHECK(disconnected);
}

// Guards against many callers that each send a long request behind one that has
// no response yet.
TEST_CASE("requests that wait take bounded memory over all connections") {
  // More than the system's buffers take.
  constexpr size_t kBodyBytes = size_t{24} << 20;
  constexpr size_t kCallers = 6;
  Reactor reactor;
  ListenerLimits limits = Server::Limits();
  limits.request.max_body_bytes = kBodyBytes;
  limits.max_waiting_bytes = size_t{1} << 20;
  Server server(reactor, limits);
  std::vector<std::shared_ptr<ServerExchange>> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open.push_back(exchange);
      };
  const std::string requests =
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
  std::vector<std::unique_ptr<Recorder>> callers;
  std::vector<std::unique_ptr<TcpStream>> streams;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Recorder>());
    streams.push_back(TcpStream::Connect(reactor, server.listener.address(),
                                         seconds(5), *callers.back()));
    streams.back()->Write(requests);
  }
  RunUntil(reactor, [&] { return open.size() == kCallers; });
  RunFor(reactor, milliseconds(500));
  for (size_t i = 0; i < kCallers; ++i) {
    CHECK_FALSE(streams[i]->flushed());
  }
  // Those that wait are read once the response before them is sent.
  open.front()->Respond(JsonResponse(200, "{}"));
  RunUntil(reactor, [&] {
    return std::any_of(streams.begin(), streams.end(),
                       [](const auto& stream) { return stream->flushed(); });
  });
}

// Guards against targets that are given more time than the caller still waits,
// because the time is counted from the response to the request before.
TEST_CASE("the time of a pipelined request counts from its arrival") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) { open = exchange; };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  const std::string head = " HTTP/1.1\r\nHost: a\r\n\r\n";
  stream->Write("GET /1" + head + "GET /2" + head);
  RunUntil(reactor, [&] { return open != nullptr; });
  const TimePoint arrival_time = open->arrival_time();
  RunFor(reactor, milliseconds(300));
  std::exchange(open, nullptr)->Respond(HttpResponse());
  RunUntil(reactor, [&] { return open != nullptr; });
  CHECK(open->request().target == "/2");
  CHECK(ToMillis(open->arrival_time() - arrival_time) < 150);
}

// Guards against a stack that grows with each request that a caller sends
// without waiting for its responses, and against other callers waiting for all
// of them.
TEST_CASE("a caller that sends many requests at once holds up no other one") {
  constexpr size_t kRequests = 20000;
  Reactor reactor;
  Server server(reactor);
  size_t served = 0;
  size_t served_before = 0;
  size_t served_meanwhile = kRequests;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        if (exchange->request().target == "/other") {
          served_meanwhile = served - served_before;
        } else {
          ++served;
        }
        exchange->Respond(HttpResponse());
      };
  std::string requests;
  for (size_t i = 0; i < kRequests; ++i) {
    requests += "GET /many HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  Recorder many;
  Recorder other;
  auto many_stream =
      TcpStream::Connect(reactor, server.listener.address(), seconds(5), many);
  auto other_stream =
      TcpStream::Connect(reactor, server.listener.address(), seconds(5), other);
  RunFor(reactor, milliseconds(20));
  many_stream->Write(std::move(requests));
  RunUntil(reactor, [&] { return served > 0; });
  served_before = served;
  other_stream->Write("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return other.Count("HTTP/1.1 200") == 1; });
  CHECK(served_meanwhile < kRequests / 10);
  RunUntil(reactor, [&] { return served == kRequests; });
  RunUntil(reactor, [&] { return many.Count("HTTP/1.1 200") == kRequests; });
}

// Guards against logs that cannot tell a caller that has left from a request
// that was cut because the process ends.
TEST_CASE("a disconnect says whether the caller or the process has ended it") {
  Reactor reactor;
  auto server = std::make_unique<Server>(reactor);
  std::optional<Disconnection> seen;
  std::shared_ptr<ServerExchange> open;
  server->handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        open = exchange;
        exchange->OnCallerDisconnect(
            [&](const Disconnection& disconnection) { seen = disconnection; });
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server->listener.address(),
                                   seconds(5), recorder);
  stream->Write("GET /left HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  stream = nullptr;
  RunUntil(reactor, [&] { return seen.has_value(); });
  CHECK_FALSE(seen->process_ends);
  CHECK(seen->cause == "closed");
  open = nullptr;
  seen.reset();
  stream = TcpStream::Connect(reactor, server->listener.address(), seconds(5),
                              recorder);
  stream->Write("GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  // The request holds a part of the server's budget.
  open = nullptr;
  server = nullptr;
  REQUIRE(seen.has_value());
  CHECK(seen->process_ends);
}

TEST_CASE(
    "bodies with a length or in chunks are read, too large ones rejected") {
  Reactor reactor;
  Server server(reactor);
  std::vector<std::string> bodies;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        bodies.push_back(exchange->request().body);
        exchange->Respond(HttpResponse());
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  stream->Write(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n0\r\n\r\n"
      "POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n");
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(bodies == std::vector<std::string>{"abc", "de"});
  CHECK(recorder.Count("HTTP/1.1 413") == 1);
  CHECK(server.budget.held() == 0);
}

TEST_CASE("a slow request gets status 408, an idle connection is closed") {
  Reactor reactor;
  ListenerLimits limits = Server::Limits();
  limits.request_timeout = milliseconds(100);
  limits.idle_timeout = milliseconds(100);
  Server server(reactor, limits);
  Recorder slow;
  Recorder idle;
  auto slow_stream =
      TcpStream::Connect(reactor, server.listener.address(), seconds(5), slow);
  auto idle_stream =
      TcpStream::Connect(reactor, server.listener.address(), seconds(5), idle);
  slow_stream->Write("GET / HT");
  RunUntil(reactor, [&] { return slow.ended && idle.ended; });
  CHECK(slow.Count("HTTP/1.1 408") == 1);
  CHECK(idle.received.empty());
  CHECK(server.handler.requests == 0);
}

TEST_CASE("a listener that stops accepting still completes open requests") {
  Reactor reactor;
  Server server(reactor);
  std::shared_ptr<ServerExchange> open;
  server.handler.on_request =
      [&](const std::shared_ptr<ServerExchange>& exchange) { open = exchange; };
  const std::string address = server.listener.address();
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, address, seconds(5), recorder);
  stream->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return open != nullptr; });
  server.listener.CloseAfterResponses();
  server.listener.StopAccepting();
  server.listener.CloseIdle();
  HttpClientPool pool(reactor);
  CHECK(CallOnce(reactor, pool, address).ran == Ran::kNotRun);
  CHECK_FALSE(recorder.ended);
  open->Respond(HttpResponse());
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(recorder.Count("HTTP/1.1 200") == 1);
  CHECK(recorder.Count("Connection: close") == 1);
}

// Guards against a planned stop that cuts connections whose caller has just
// connected and is sending its first request.
TEST_CASE("a connection that was just accepted is not closed as idle") {
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->Respond(HttpResponse());
      };
  Recorder recorder;
  auto stream = TcpStream::Connect(reactor, server.listener.address(),
                                   seconds(5), recorder);
  RunUntil(reactor, [&] { return server.listener.connections() == 1; });
  server.listener.CloseAfterResponses();
  server.listener.StopAccepting();
  server.listener.CloseIdle();
  CHECK(server.listener.has_unanswered_requests());
  stream->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(reactor, [&] { return recorder.ended; });
  CHECK(recorder.Count("HTTP/1.1 200") == 1);
  CHECK_FALSE(server.listener.has_unanswered_requests());
}

// Guards against closing an open connection whose next request has arrived and
// was not read yet, which resets it.
TEST_CASE("a request that has arrived is answered before its connection ends") {
  Reactor reactor;
  Server server(reactor);
  server.handler.on_request =
      [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->Respond(HttpResponse());
      };
  RawConnection caller(PortOf(server.listener.address()));
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  caller.Send(request);
  RunUntil(reactor, [&] { return server.handler.requests == 1; });
  // Without running the reactor, the bytes stay in the socket.
  caller.Send(request);
  server.listener.CloseAfterResponses();
  server.listener.CloseIdle();
  CHECK(server.handler.requests == 2);
  RunUntil(reactor, [&] { return server.listener.connections() == 0; });
  CHECK(caller.ReadUntil("HTTP/1.1 200", 2));
}

}  // namespace applestand
