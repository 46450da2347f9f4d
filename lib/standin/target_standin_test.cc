#include "lib/standin/target_standin.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/http/client.h"

namespace applestand {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A target behind a real server, and a client.
class Fixture {
 public:
  explicit Fixture(TargetStandinOptions options = {})
      : m_journal(""),
        m_target(m_loop, m_journal, std::move(options), [this] { ++crashes; }),
        m_server({},
                 [this](HttpRequest request, HttpReply reply) {
                   m_target.Handle(std::move(request), std::move(reply));
                 }),
        m_thread([this] { m_loop.Run(); }) {
    m_server.Start();
  }

  ~Fixture() {
    m_server.Stop();
    m_loop.Stop();
    m_thread.join();
  }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  HttpCall Call(const std::string& method,
                const std::string& target,
                std::vector<HttpHeader> headers = {},
                std::string body = "") const {
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(m_server.port());
    call.request = {method, target, std::move(headers), std::move(body), ""};
    return call;
  }

  HttpCallResult Send(const std::string& method,
                      const std::string& target,
                      std::vector<HttpHeader> headers = {},
                      std::string body = "") {
    return client.SendAndWait(
        Call(method, target, std::move(headers), std::move(body)));
  }

  void SetFaults(const std::string& command) {
    REQUIRE(Send("POST", "/faults", {}, command).response.status == 200);
  }

  json Get(const std::string& path) {
    return json::parse(Send("GET", path).response.body);
  }

  HttpClient client;
  std::atomic<int> crashes{0};

 private:
  BootClock m_clock;
  EventLoop m_loop{m_clock};
  Journal m_journal;
  TargetStandin m_target;
  HttpServer m_server;
  std::thread m_thread;
};

TargetStandinOptions Slow(uint32_t slots) {
  TargetStandinOptions options;
  options.slots = slots;
  options.service_time = std::chrono::seconds(60);
  return options;
}

}  // namespace

TEST_CASE("the journal holds what ran, with every header") {
  Fixture fixture;
  const HttpCallResult result = fixture.Send(
      "POST", "/pay?b=1&a=2",
      {{"Idempotency-Key", "p-1"}, {"X-A", "1"}, {"x-a", "2"}}, "hello");
  CHECK(json::parse(result.response.body)["body_sha256"] == Sha256Hex("hello"));
  const json entry = fixture.Get("/journal").at(0);
  CHECK(entry["path"] == "/pay?b=1&a=2");
  CHECK(entry["idempotency_key"] == "p-1");
  CHECK(entry["body_bytes"] == 5);
  CHECK(entry["headers"].size() == 6);
}

// Guards against responses that the client cannot tell from those of other
// attempts, for each of which it would open a connection.
TEST_CASE("every response repeats the id of the attempt") {
  Fixture fixture(Slow(0));
  for (const char* path : {"/work", "/healthz", "/load", "/stats"}) {
    const HttpCallResult result =
        fixture.Send("GET", path, {{"Attempt-Id", "a-1"}});
    CHECK(FindHeader(result.response.headers, "Attempt-Id") == "a-1");
  }
}

TEST_CASE("requests over the slots are shed") {
  Fixture fixture(Slow(1));
  fixture.client.Send(fixture.Call("GET", "/work"),
                      [](const HttpCallResult&) {});
  while (fixture.Get("/stats")["busy"] == 0) {
  }
  const HttpCallResult shed = fixture.Send("GET", "/work");
  CHECK(shed.response.status == 503);
  CHECK(FindHeader(shed.response.headers, "Retry-After") == "1");
  CHECK(fixture.Get("/load")["busy"] == 1);
  fixture.SetFaults(R"({"load":"zero","health":"down"})");
  CHECK(fixture.Get("/load")["busy"] == 0);
  CHECK(fixture.Send("GET", "/healthz").response.status == 503);
}

TEST_CASE("deadlines and callers that go away end the work") {
  Fixture fixture(Slow(2));
  CHECK(
      fixture.Send("GET", "/work", {{"X-Deadline-Ms", "0"}}).response.status ==
      504);
  CHECK(
      fixture.Send("GET", "/work", {{"X-Deadline-Ms", "20"}}).response.status ==
      504);
  HttpCall call = fixture.Call("GET", "/work");
  call.timeout = milliseconds(50);
  CHECK(fixture.client.SendAndWait(call).ran == Ran::kMayHaveRun);
  while (fixture.Get("/stats")["cancelled"] == 0) {
  }
  CHECK(fixture.Get("/stats")["busy"] == 0);
  CHECK(fixture.Get("/journal").size() == 2);
}

TEST_CASE("silence holds the connections that are open, not new ones") {
  Fixture fixture;
  CHECK(fixture.Send("GET", "/work").ran == Ran::kRan);
  fixture.SetFaults(R"({"silent":"open-connections"})");
  HttpCall call = fixture.Call("GET", "/work");
  call.timeout = milliseconds(50);
  CHECK(fixture.client.SendAndWait(call).ran == Ran::kMayHaveRun);
  CHECK(fixture.client.SendAndWait(call).ran == Ran::kRan);
  fixture.SetFaults(R"({"silent":"all"})");
  CHECK(fixture.client.SendAndWait(call).ran == Ran::kMayHaveRun);
  CHECK(fixture.client.SendAndWait(call).ran == Ran::kMayHaveRun);
}

TEST_CASE("half answers, draining and a marked request") {
  Fixture fixture;
  fixture.SetFaults(R"({"half_answers":1})");
  CHECK(fixture.Send("GET", "/work").ran == Ran::kMayHaveRun);
  CHECK(fixture.Send("GET", "/work").ran == Ran::kRan);
  fixture.SetFaults(R"({"drain":"serve"})");
  CHECK(fixture.Send("GET", "/healthz").response.status == 503);
  CHECK(fixture.Send("GET", "/work").response.status == 200);
  CHECK(fixture.Get("/journal").at(2)["draining"] == true);
  fixture.SetFaults(R"({"drain":"refuse"})");
  CHECK(fixture.Send("GET", "/work").response.status == 503);
  fixture.SetFaults(R"({"drain":"off"})");
  CHECK(fixture.Send("POST", "/work", {}, "a poison pill").ran == Ran::kRan);
  CHECK(fixture.crashes == 1);
  CHECK(fixture.Send("POST", "/faults", {}, R"({"x":1})").response.status ==
        400);
}

}  // namespace applestand
