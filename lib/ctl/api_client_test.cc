#include "lib/ctl/api_client.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "lib/http/raw_server.h"

namespace applestand {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string Response(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Guards against a change that is reported as accepted because an earlier call
// was answered.
TEST_CASE("a second copy of a response does not count for a later call") {
  RawServer server([](RawServer::Peer& peer, size_t index) {
    for (int i = 0; peer.ReadRequest(); ++i) {
      if (index == 0 && i == 0) {
        peer.Send(Response("200 OK"));
      } else {
        peer.Send((index == 0 ? Response("200 OK") : "") +
                  Response("409 Conflict"));
      }
    }
  });
  HttpClient client;
  ApiClient api({server.address(), "token"}, client);
  Reason reason;
  const std::optional<ApiResponse> first = api.Get("/v1/status", reason);
  REQUIRE(first.has_value());
  CHECK(first->status == kOk);
  const std::optional<ApiResponse> second = api.Get("/v1/changes", reason);
  REQUIRE(second.has_value());
  CHECK(second->status == kConflict);
}

}  // namespace applestand
