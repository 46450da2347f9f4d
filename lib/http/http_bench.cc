#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "lib/http/client.h"
#include "lib/http/raw_connection.h"
#include "lib/http/server.h"

namespace applestand {

namespace {

constexpr char kRequest[] =
    "GET /v1/hosts?client=10.1.0.3&key=lenha-1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
    "Accept: */*\r\nAuthorization: Bearer lenha-1.secret\r\n\r\n";
constexpr char kBody[] =
    "<a body of about one hundred bytes for one answer "
    "of a look-up with two hosts in it ...............>";

/// One server for all threads of a benchmark.
HttpServer& SharedServer() {
  static const auto server = [] {
    auto made = std::make_unique<HttpServer>(
        HttpServerOptions(), [](const HttpRequest&, const HttpReply& reply) {
          reply(JsonResponse(200, kBody));
        });
    made->Start();
    return made;
  }();
  return *server;
}

/// Sequential requests on one persistent connection per thread.
void ServerKeptConnections(benchmark::State& state) {
  RawConnection caller(SharedServer().port());
  for (auto _ : state) {
    if (!caller.Send(kRequest) || !caller.ReadUntil(kBody)) {
      state.SkipWithError("the connection was lost");
      return;
    }
    caller.ClearReceived();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(ServerKeptConnections)->Threads(1)->Threads(6)->UseRealTime();

/// Sequential calls. The argument is HttpCall::may_repeat.
void ClientCall(benchmark::State& state) {
  HttpClient client;
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(SharedServer().port());
  call.request.method = "GET";
  call.request.target = "/v1/hosts";
  call.may_repeat = state.range(0) != 0;
  for (auto _ : state) {
    if (client.SendAndWait(call).ran != Ran::kRan) {
      state.SkipWithError("the call failed");
      return;
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(ClientCall)->Arg(0)->Arg(1)->UseRealTime();

/// Each request on a new connection.
void NewConnection(benchmark::State& state) {
  for (auto _ : state) {
    RawConnection caller(SharedServer().port());
    if (!caller.Send(kRequest) || !caller.ReadUntil(kBody)) {
      state.SkipWithError("the connection was lost");
      return;
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(NewConnection)->UseRealTime();

}  // namespace

}  // namespace applestand

BENCHMARK_MAIN();
