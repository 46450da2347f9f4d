#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/raw_connection.h"
#include "lib/http/server.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;

constexpr char kHost[] = "Host: a\r\n";

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\n" + kHost + headers + "\r\n";
}

std::string Post(const std::string& headers, const std::string& body = "") {
  return "POST / HTTP/1.1\r\n" + std::string(kHost) + headers + "\r\n" + body;
}

/// A server whose response states the method, target and body of the request.
class EchoServer {
 public:
  explicit EchoServer(HttpServerOptions options = {})
      : m_server(std::move(options),
                 [this](HttpRequest request, const HttpReply& reply) {
                   ++runs;
                   HttpResponse response;
                   response.body = request.method + " " + request.target +
                                   " <" + request.body + ">";
                   {
                     std::lock_guard<std::mutex> lock(m_mutex);
                     m_last = std::move(request);
                   }
                   reply(std::move(response));
                 }) {
    m_server.Start();
  }

  uint16_t port() const { return m_server.port(); }
  HttpServer& server() { return m_server; }
  HttpRequest last() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_last;
  }

  std::atomic<int> runs{0};

 private:
  std::mutex m_mutex;
  HttpRequest m_last;
  HttpServer m_server;
};

/// A server whose responses are sent by the test.
class DeferredServer {
 public:
  explicit DeferredServer(HttpServerOptions options = {})
      : m_server(std::move(options),
                 [this](HttpRequest request, HttpReply reply) {
                   std::lock_guard<std::mutex> lock(m_mutex);
                   m_requests.push_back(std::move(request));
                   m_replies.push_back(std::move(reply));
                 }) {
    m_server.Start();
  }

  uint16_t port() const { return m_server.port(); }
  HttpServer& server() { return m_server; }

  size_t size() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests.size();
  }
  void AwaitRequests(size_t count) {
    while (size() < count) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  HttpRequest request(size_t index) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests.at(index);
  }
  /// Moves a reply out, so that the test holds its last copy.
  HttpReply TakeReply(size_t index) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_replies.at(index), nullptr);
  }

 private:
  std::mutex m_mutex;
  std::vector<HttpRequest> m_requests;
  std::vector<HttpReply> m_replies;
  HttpServer m_server;
};

HttpResponse Body(std::string text) {
  HttpResponse response;
  response.body = std::move(text);
  return response;
}

size_t OpenDescriptors() {
  size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    ++count;
  }
  return count;
}

/// Sends bytes that must be refused. Checks the status, that the connection is
/// closed and that the handler did not run.
void CheckRefused(const std::string& bytes, const std::string& status) {
  CAPTURE(bytes.substr(0, 200));
  EchoServer server;
  RawConnection caller(server.port());
  caller.Send(bytes);
  CHECK(caller.ReadUntilClosed());
  CHECK(caller.received().rfind("HTTP/1.1 " + status, 0) == 0);
  CHECK(caller.Count("\"ran\":\"no\"") == 1);
  CHECK(server.runs == 0);
}

}  // namespace

TEST_CASE("pipelined requests get their responses in order") {
  DeferredServer server;
  RawConnection caller(server.port());
  caller.Send(Post("Content-Length: 3\r\n", "one") + Get("/two") +
              Get("/three"));
  for (size_t i = 0; i < 3; ++i) {
    server.AwaitRequests(i + 1);
    CHECK(server.size() == i + 1);
    server.TakeReply(i)(Body("<answer " + std::to_string(i) + ">"));
  }
  REQUIRE(caller.ReadUntil("<answer 2>"));
  CHECK(server.request(0).body == "one");
  CHECK(server.request(2).target == "/three");
  const std::string& text = caller.received();
  CHECK(text.find("<answer 0>") < text.find("<answer 1>"));
  CHECK(text.find("<answer 1>") < text.find("<answer 2>"));
}

TEST_CASE("a caller that waits for 100 Continue gets it") {
  EchoServer server;
  RawConnection caller(server.port());
  caller.Send(Post("Content-Length: 2\r\nExpect: 100-continue\r\n"));
  REQUIRE(caller.ReadUntil("HTTP/1.1 100 Continue\r\n\r\n"));
  caller.Send("hi");
  CHECK(caller.ReadUntil("<hi>"));
}

TEST_CASE("a body of ambiguous, invalid or excessive length is refused") {
  CheckRefused(Post("Content-Length: 99999999999\r\n"), "413");
  CheckRefused(Post("Content-Length: 99999999999999999999999\r\n"), "413");
  CheckRefused(Post("Content-Length: -5\r\n"), "400");
  CheckRefused(Post("Content-Length: +5\r\n", "hello"), "400");
  CheckRefused(Post("Content-Length:\r\n"), "400");
  CheckRefused(Post("Content-Length: 5, 5\r\n", "hello"), "400");
  CheckRefused(Post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"),
               "400");
  CheckRefused(
      Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      "400");
  CheckRefused(Post("Transfer-Encoding: gzip\r\n"), "501");
  CheckRefused(Post("Transfer-Encoding: chunked\r\n", "5;x=y\r\nhello\r\n"),
               "400");
  CheckRefused(Post("Transfer-Encoding: chunked\r\n", "FFFFFFF\r\n"), "413");
  CheckRefused(Post("Transfer-Encoding: chunked\r\n", "2\r\nabc\r\n"), "400");
}

TEST_CASE("a malformed request is refused and its connection closed") {
  CheckRefused("garbage\r\n\r\n", "400");
  CheckRefused(std::string("\x16\x03\x01", 3), "400");
  CheckRefused("GET / HTTP/1.1\nHost: a\n\n", "400");
  CheckRefused("GET / HTTP/1.1\r\n\r\n", "400");
  CheckRefused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400");
  CheckRefused("GET / HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n", "400");
  CheckRefused("GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n folded\r\n\r\n", "400");
  CheckRefused("GET / HTTP/3.0\r\nHost: a\r\n\r\n", "505");
  CheckRefused("BREW / HTTP/1.1\r\nHost: a\r\n\r\n", "501");
}

TEST_CASE("headers over the size limit are refused before their end") {
  CheckRefused("GET / HTTP/1.1\r\nX: " + std::string(1 << 20, 'x'), "431");
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 5000; ++i) {
    many += "X-" + std::to_string(i) + ": y\r\n";
  }
  CheckRefused(many, "431");
}

TEST_CASE("the handler gets headers and target as they were sent") {
  EchoServer server;
  RawConnection caller(server.port());
  // Pistache's parser refuses or rewrites each of these.
  caller.Send(Get("/a?z=1&b&a=%20",
                  "X-Key: one\r\nx-key:  two \r\nCookie: a\r\n"
                  "Accept: text/html;q=1.5\r\nCache-Control: foo=bar, x\r\n"));
  REQUIRE(caller.ReadUntil("GET /a?z=1&b&a=%20"));
  const HttpRequest request = server.last();
  REQUIRE(request.headers.size() == 6);
  CHECK(request.headers[1].name == "X-Key");
  CHECK(request.headers[1].value == "one");
  CHECK(request.headers[2].name == "x-key");
  CHECK(request.headers[2].value == "two");
  CHECK(request.peer == "127.0.0.1");
}

TEST_CASE("chunked bodies are read completely for input pieces of any size") {
  EchoServer server;
  const std::string bytes = Post("Transfer-Encoding: chunked\r\n",
                                 "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n") +
                            Get("/next");
  RawConnection single_write(server.port());
  single_write.Send(bytes);
  CHECK(single_write.ReadUntil("/next"));
  CHECK(single_write.Count("POST / <abc0123456789>") == 1);
  RawConnection bytewise(server.port());
  for (const char c : bytes) {
    bytewise.Send(std::string_view(&c, 1));
  }
  CHECK(bytewise.ReadUntil("/next"));
  CHECK(bytewise.Count("POST / <abc0123456789>") == 1);
}

TEST_CASE("connections are kept open or closed as the caller requests") {
  EchoServer server;
  RawConnection persistent(server.port());
  for (size_t i = 1; i <= 3; ++i) {
    persistent.Send(Get("/kept"));
    REQUIRE(persistent.ReadUntil("GET /kept <>", i));
  }
  CHECK(persistent.Count("Connection: keep-alive") == 3);
  persistent.Send(Get("/", "Connection: close\r\n"));
  CHECK(persistent.ReadUntilClosed());
  CHECK(persistent.Count("Connection: close") == 1);
  RawConnection old(server.port());
  old.Send("GET / HTTP/1.0\r\n\r\n");
  CHECK(old.ReadUntilClosed());
  CHECK(old.Count("GET / <>") == 1);
}

TEST_CASE("a response to HEAD has a Content-Length and no body") {
  EchoServer server;
  RawConnection caller(server.port());
  caller.Send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n" + Get("/y"));
  REQUIRE(caller.ReadUntil("GET /y <>"));
  CHECK(caller.Count("HEAD /x") == 0);
  CHECK(caller.Count("Content-Length: 10") == 1);
}

TEST_CASE("connections of slow senders and slow readers are closed") {
  HttpServerOptions options;
  options.header_timeout = milliseconds(50);
  options.body_timeout = milliseconds(50);
  options.idle_timeout = milliseconds(50);
  options.send_timeout = milliseconds(50);
  DeferredServer server(options);
  RawConnection head(server.port());
  head.Send("GET / HTTP/1.1\r\nX-");
  CHECK(head.ReadUntilClosed());
  CHECK(head.received().rfind("HTTP/1.1 408", 0) == 0);
  RawConnection body(server.port());
  body.Send(Post("Content-Length: 5\r\n", "h"));
  CHECK(body.ReadUntilClosed());
  CHECK(body.received().rfind("HTTP/1.1 408", 0) == 0);
  RawConnection idle(server.port());
  CHECK(idle.ReadUntilClosed());
  CHECK(server.size() == 0);

  RawConnection reader(server.port());
  reader.Send(Get("/"));
  server.AwaitRequests(1);
  server.TakeReply(0)(Body(std::string(32 << 20, 'x')));
  while (server.server().requests_in_flight() > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(server.request(0).connection->closed);
}

TEST_CASE("a large response is sent completely, also to a slow reader") {
  DeferredServer server;
  RawConnection caller(server.port());
  caller.Send(Get("/") + Get("/next"));
  server.AwaitRequests(1);
  server.TakeReply(0)(Body(std::string(8 << 20, 'x') + "<end>"));
  CHECK(server.size() == 1);
  REQUIRE(caller.ReadUntil("<end>"));
  CHECK(caller.Count("x") == (8 << 20));
  server.AwaitRequests(2);
}

TEST_CASE(
    "the total size of bodies in flight is limited over all connections") {
  HttpServerOptions options;
  options.max_body_bytes_in_flight = 1500;
  DeferredServer server(options);
  const std::string body(1000, 'b');
  const std::string post = Post("Content-Length: 1000\r\n", body);
  RawConnection first(server.port());
  first.Send(post);
  server.AwaitRequests(1);
  RawConnection second(server.port());
  second.Send(post);
  CHECK(second.ReadUntilClosed());
  CHECK(second.received().rfind("HTTP/1.1 503", 0) == 0);
  CHECK(second.Count("Retry-After: 1") == 1);
  CHECK(server.size() == 1);
  server.TakeReply(0)(Body("<one>"));
  REQUIRE(first.ReadUntil("<one>"));
  RawConnection third(server.port());
  third.Send(post);
  server.AwaitRequests(2);
}

TEST_CASE("connections over the limit are refused") {
  HttpServerOptions options;
  options.max_connections = 1;
  EchoServer server(options);
  RawConnection first(server.port());
  first.Send(Get("/"));
  REQUIRE(first.ReadUntil("GET / <>"));
  RawConnection second(server.port());
  CHECK(second.ReadUntilClosed());
  CHECK(second.Count("\"ran\":\"no\"") == 1);
  first.Send(Get("/again"));
  CHECK(first.ReadUntil("GET /again <>"));
}

TEST_CASE("a response after the caller or the server has gone is ignored") {
  HttpReply late;
  {
    DeferredServer server;
    auto caller = std::make_unique<RawConnection>(server.port());
    caller->Send(Get("/"));
    server.AwaitRequests(1);
    CHECK_FALSE(server.request(0).connection->closed);
    caller.reset();
    while (!server.request(0).connection->closed) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(server.server().requests_in_flight() == 1);
    const HttpReply reply = server.TakeReply(0);
    reply(Body("nobody reads this"));
    reply(Body("nor this"));
    CHECK(server.server().requests_in_flight() == 0);
    RawConnection other(server.port());
    other.Send(Get("/"));
    server.AwaitRequests(2);
    late = server.TakeReply(1);
  }
  late(Body("the server is gone"));
}

TEST_CASE("a connection is closed if the handler drops its request") {
  DeferredServer server;
  RawConnection caller(server.port());
  caller.Send(Get("/"));
  server.AwaitRequests(1);
  server.TakeReply(0) = nullptr;
  CHECK(caller.ReadUntilClosed());
  CHECK(caller.received().empty());
}

TEST_CASE("a graceful shutdown completes the requests in flight") {
  DeferredServer server;
  RawConnection busy(server.port());
  RawConnection persistent(server.port());
  busy.Send(Get("/busy"));
  server.AwaitRequests(1);
  server.server().BeginDrain();
  persistent.Send(Get("/late"));
  server.AwaitRequests(2);
  server.TakeReply(1)(Body("<late>"));
  CHECK(persistent.ReadUntilClosed());
  CHECK(persistent.Count("<late>") == 1);
  CHECK(persistent.Count("Connection: close") == 1);

  server.server().RefuseNewRequests();
  RawConnection refused(server.port());
  refused.Send(Get("/new"));
  CHECK(refused.ReadUntilClosed());
  CHECK(refused.received().rfind("HTTP/1.1 503", 0) == 0);
  CHECK(refused.Count("\"ran\":\"no\"") == 1);
  CHECK(server.server().requests_in_flight() == 1);
  server.TakeReply(0)(Body("<busy>"));
  CHECK(busy.ReadUntilClosed());
  CHECK(busy.Count("<busy>") == 1);
  CHECK(server.server().requests_in_flight() == 0);
}

TEST_CASE("stopping a server closes its port and every connection") {
  // Pistache's listener leaves some descriptors open, independent of the number
  // of connections.
  const auto left_open_after = [](size_t connections) {
    const size_t before = OpenDescriptors();
    uint16_t port = 0;
    {
      EchoServer server;
      port = server.port();
      std::vector<std::unique_ptr<RawConnection>> callers;
      for (size_t i = 0; i < connections; ++i) {
        callers.push_back(std::make_unique<RawConnection>(port));
        callers.back()->Send(Get("/"));
        CHECK(callers.back()->ReadUntil("GET / <>"));
      }
    }
    CHECK_FALSE(RawConnection(port).open());
    return OpenDescriptors() - before;
  };
  CHECK(left_open_after(20) == left_open_after(0));
}

}  // namespace applestand
