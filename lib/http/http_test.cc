#include <doctest/doctest.h>

#include <utility>

#include "lib/http/client.h"
#include "lib/http/server.h"

namespace applestand {

namespace {

HttpCall CallTo(const HttpServer& server, HttpRequest request) {
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(server.port());
  call.request = std::move(request);
  return call;
}

}  // namespace

TEST_CASE(
    "a request and its response are delivered completely, with their headers") {
  HttpServer server({}, [](HttpRequest request, const HttpReply& reply) {
    HttpResponse response;
    response.status = 503;
    response.headers = {{"Retry-After", "7"}, {"X-Target", request.target}};
    response.body = request.method + " " + request.body;
    reply(std::move(response));
  });
  server.Start();
  HttpClient client;
  const std::string body(3000000, 'p');
  const HttpCallResult result =
      client.SendAndWait(CallTo(server, {"POST", "/a?b=c%20d", {}, body, ""}));
  CHECK(result.ran == Ran::kRan);
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "POST " + body);
  CHECK(FindHeader(result.response.headers, "retry-after") == "7");
  CHECK(FindHeader(result.response.headers, "x-target") == "/a?b=c%20d");
}

TEST_CASE("a call whose connection is refused is reported as not run") {
  HttpClient client;
  HttpCall call;
  call.address = "127.0.0.1:1";
  call.request.target = "/";
  call.request.method = "GET";
  const HttpCallResult result = client.SendAndWait(call);
  CHECK(result.ran == Ran::kNotRun);
}

TEST_CASE("a call without a response is reported as possibly run") {
  HttpServer server({}, [](const HttpRequest&, const HttpReply&) {});
  server.Start();
  HttpClient client;
  HttpCall call = CallTo(server, {"GET", "/", {}, "", ""});
  call.timeout = std::chrono::milliseconds(100);
  const HttpCallResult result = client.SendAndWait(call);
  CHECK(result.ran == Ran::kMayHaveRun);
}

TEST_CASE("query parameters are decoded") {
  const HttpRequest request{
      "GET", "/v1/hosts?client=10.0.0.1&k=a%2fb", {}, "", ""};
  CHECK(QueryParameter(request, "client") == "10.0.0.1");
  CHECK(QueryParameter(request, "k") == "a/b");
  CHECK_FALSE(QueryParameter(request, "x").has_value());
  CHECK(PathOf(request) == "/v1/hosts");
}

}  // namespace applestand
