#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "lib/http/raw_connection.h"
#include "lib/http/server.h"

namespace applestand {

// Guards against servers that take the end of a caller's sending side for the
// end of its connection, so that the caller never gets the response (RFC 9112,
// 9.6).
TEST_CASE("a caller that closes its sending side gets its response") {
  constexpr std::chrono::milliseconds kWork{100};
  std::thread worker;
  HttpServer server({}, [&](const HttpRequest& /*request*/, HttpReply reply) {
    worker = std::thread([reply = std::move(reply), kWork] {
      std::this_thread::sleep_for(kWork);
      HttpResponse response;
      response.body = "whole";
      reply(std::move(response));
    });
  });
  server.Start();
  RawConnection caller(server.port());
  REQUIRE(caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  caller.CloseSending();
  CHECK(caller.ReadUntil("whole"));
  CHECK(caller.ReadUntilClosed());
  worker.join();
}

}  // namespace applestand
