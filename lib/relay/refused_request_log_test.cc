// The macros of glog have the short names of those of doctest.
#define DOCTEST_CONFIG_NO_SHORT_MACRO_NAMES
#include <doctest/doctest.h>
#include <glog/logging.h>

#include <string>
#include <string_view>
#include <vector>

#include "lib/relay/http_listener.h"

namespace applestand {

namespace {

/// Keeps the lines about requests that were refused before they were read.
class RefusalLines : public google::LogSink {
 public:
  RefusalLines() { google::AddLogSink(this); }
  ~RefusalLines() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity /*severity*/,
            const char* /*full_filename*/,
            const char* /*base_filename*/,
            int /*line*/,
            const struct tm* /*time*/,
            const char* message,
            size_t length) override {
    const std::string_view line(message, length);
    if (line.find("RequestUnread") != std::string_view::npos) {
      text += line;
      ++count;
    }
  }

  std::string text;
  int count = 0;
};

class IgnoringHandler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerExchange>&) override {}
  std::string RequestId(const std::vector<HttpHeader>& headers) const override {
    return FindHeader(headers, "X-Id").value_or("");
  }
};

class Caller : public StreamObserver {
 public:
  explicit Caller(Reactor& reactor) : m_reactor(reactor) {}
  void OnBytes(std::string_view bytes) override { received += bytes; }
  void OnEnd(bool /*orderly*/, const char* /*error*/) override {
    m_reactor.Stop();
  }

  std::string received;

 private:
  Reactor& m_reactor;
};

/// Sends `request` to a listener, waits until the connection ends and returns
/// what was received.
std::string Exchange(const std::string& request, size_t budget_bytes) {
  Reactor reactor;
  ListenerLimits limits;
  limits.request = {1024, 1024};
  ByteBudget budget(budget_bytes);
  IgnoringHandler handler;
  HttpListener listener(reactor, "127.0.0.1:0", limits, budget, handler);
  listener.Listen();
  Caller caller(reactor);
  const auto stream = TcpStream::Connect(reactor, listener.address(),
                                         std::chrono::seconds(5), caller);
  stream->Write(request);
  reactor.Run();
  return caller.received;
}

}  // namespace

// Guards against refusals that the log cannot explain.
DOCTEST_TEST_CASE("a request that is refused before it is read has a line") {
  const RefusalLines lines;
  DOCTEST_SUBCASE("malformed") {
    DOCTEST_CHECK(Exchange("{}\r\n\r\n", 4096).find("400") !=
                  std::string::npos);
    DOCTEST_CHECK(lines.text.find("status=400") != std::string::npos);
  }
  DOCTEST_SUBCASE("no memory left") {
    DOCTEST_CHECK(
        Exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 8).find("503") !=
        std::string::npos);
    DOCTEST_CHECK(lines.text.find("status=503") != std::string::npos);
  }
  DOCTEST_CHECK(lines.count == 1);
}

// Guards against refusals whose line cannot be found by the id of the request.
DOCTEST_TEST_CASE("a request that is refused is named in the line") {
  const RefusalLines lines;
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nX-Id: seven\r\n";
  DOCTEST_SUBCASE("too long") {
    Exchange(head + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", 4096);
    DOCTEST_CHECK(lines.text.find("status=413") != std::string::npos);
  }
  DOCTEST_SUBCASE("no memory left") {
    Exchange(head + "Content-Length: 900\r\n\r\n" + std::string(900, 'x'), 700);
    DOCTEST_CHECK(lines.text.find("status=503") != std::string::npos);
  }
  DOCTEST_SUBCASE("no memory left for its headers") {
    Exchange(head + "\r\n", head.size() + 8);
    DOCTEST_CHECK(lines.text.find("status=503") != std::string::npos);
  }
  DOCTEST_SUBCASE("no memory left for its head") {
    Exchange(head + "\r\n", 8);
    DOCTEST_CHECK(lines.text.find("status=503") != std::string::npos);
  }
  DOCTEST_SUBCASE("no memory left for the begin of its head") {
    Exchange(head + "X-A: b", 8);
    DOCTEST_CHECK(lines.text.find("status=503") != std::string::npos);
  }
  DOCTEST_SUBCASE("a contradicted length") {
    Exchange(head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 4096);
    DOCTEST_CHECK(lines.text.find("status=400") != std::string::npos);
  }
  DOCTEST_SUBCASE("a length that is too long") {
    Exchange(head + "Content-Length: 5000\r\n\r\n", 4096);
    DOCTEST_CHECK(lines.text.find("status=413") != std::string::npos);
  }
  DOCTEST_CHECK(lines.text.find("request=seven ") != std::string::npos);
  DOCTEST_CHECK(lines.count == 1);
}

}  // namespace applestand
