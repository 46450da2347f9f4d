#include "lib/standin/platform_standin.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/http/client.h"
#include "lib/table_store/http_table_store.h"

namespace applestand {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(300);

/// A stand-in behind a real server, and its clients.
class Fixture {
 public:
  Fixture()
      : m_standin(m_loop, {}),
        m_server({},
                 [this](HttpRequest request, HttpReply reply) {
                   m_standin.Handle(std::move(request), std::move(reply));
                 }),
        m_endpoint(Listen()),
        table(m_client, m_attempt_ids, m_endpoint),
        objects(m_client, m_attempt_ids, m_endpoint),
        hosts(m_client, m_attempt_ids, m_endpoint),
        m_thread([this] { m_loop.Run(); }) {}

  ~Fixture() {
    m_server.Stop();
    m_loop.Stop();
    m_thread.join();
  }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  HttpResponse Call(HttpRequest request) {
    HttpCall call;
    call.address = m_endpoint.address;
    call.request = std::move(request);
    return m_client.SendAndWait(std::move(call)).response;
  }

  int SetFaults(const std::string& command) {
    return Call({"POST", "/faults", {}, command, ""}).status;
  }

  nlohmann::json Stats() {
    return nlohmann::json::parse(Call({"GET", "/stats", {}, "", ""}).body);
  }

 private:
  PlatformEndpoint Listen() {
    m_server.Start();
    return {"127.0.0.1:" + std::to_string(m_server.port()), kCallTimeout};
  }

  BootClock m_clock;
  EventLoop m_loop{m_clock};
  PlatformStandin m_standin;
  HttpServer m_server;
  HttpClient m_client;
  AttemptIdGenerator m_attempt_ids{Incarnation(1)};
  PlatformEndpoint m_endpoint;

 public:
  HttpTableService table;
  HttpObjectStore objects;
  HttpHostList hosts;

 private:
  std::thread m_thread;
};

RowWrite Write(const std::string& key, uint64_t expected) {
  return {key, RowVersion(expected), std::string("\xff\0v", 3)};
}

}  // namespace

TEST_CASE("rows survive the wire, whatever their bytes") {
  Fixture fixture;
  const std::string key("a/%\xfe\0b", 6);
  CHECK(fixture.table.Transact({Write(key, 0)}) == TableStatus::kOk);
  CHECK(fixture.table.Transact({Write(key, 0)}) == TableStatus::kConflict);
  const ReadResult read = fixture.table.Read({key, "absent"});
  REQUIRE(read.rows.size() == 1);
  CHECK(read.rows[0].key == key);
  CHECK(read.rows[0].value == std::string("\xff\0v", 3));
  CHECK(read.rows[0].version == RowVersion(1));
  CHECK(fixture.table.Scan("a/", "", 10).rows.size() == 1);
  CHECK(fixture.table.Scan("b", "", 10).rows.empty());
  CHECK(fixture.table.Transact({{key, RowVersion(1), std::nullopt}}) ==
        TableStatus::kOk);
  CHECK(fixture.table.Read({key}).rows.empty());
  CHECK(fixture.Stats()["table_writes"] == 3);
}

TEST_CASE("each fault of the table gives its status and its effect") {
  Fixture fixture;
  REQUIRE(fixture.SetFaults(R"({"table":"down"})") == 200);
  CHECK(fixture.table.Transact({Write("k", 0)}) == TableStatus::kUnavailable);
  CHECK(fixture.table.Read({"k"}).status == TableStatus::kUnavailable);
  REQUIRE(fixture.SetFaults(R"({"table":"request-lost"})") == 200);
  CHECK(fixture.table.Transact({Write("k", 0)}) == TableStatus::kUnknown);
  REQUIRE(fixture.SetFaults(R"({"table":"none"})") == 200);
  CHECK(fixture.table.Read({"k"}).rows.empty());
  REQUIRE(fixture.SetFaults(R"({"table":"answer-lost"})") == 200);
  CHECK(fixture.table.Transact({Write("k", 0)}) == TableStatus::kUnknown);
  REQUIRE(fixture.SetFaults(R"({"table":"none"})") == 200);
  CHECK(fixture.table.Read({"k"}).rows.size() == 1);
  REQUIRE(fixture.SetFaults(R"({"table":"slow","slow_ms":5000})") == 200);
  CHECK(fixture.table.Transact({Write("l", 0)}) == TableStatus::kUnknown);
  CHECK(fixture.SetFaults(R"({"tables":"down"})") == 400);
}

TEST_CASE("a platform that is not there is unavailable") {
  HttpClient client;
  AttemptIdGenerator attempt_ids{Incarnation(1)};
  HttpTableService table(client, attempt_ids, {"127.0.0.1:1", kCallTimeout});
  CHECK(table.Transact({Write("k", 0)}) == TableStatus::kUnavailable);
  CHECK(table.Read({"k"}).status == TableStatus::kUnavailable);
}

// Guards against responses that the client cannot tell from those to other
// calls, for each of which it would open a connection.
TEST_CASE("every response of the platform repeats the id of the attempt") {
  Fixture fixture;
  for (const char* path : {"/hosts", "/stats", "/absent"}) {
    const HttpResponse response =
        fixture.Call({"GET", path, {{"Attempt-Id", "a-1"}}, "", ""});
    CHECK(FindHeader(response.headers, "Attempt-Id") == "a-1");
  }
}

TEST_CASE("objects are created once") {
  Fixture fixture;
  CHECK(fixture.objects.Create("s/1", "bytes") == TableStatus::kOk);
  CHECK(fixture.objects.Create("s/1", "other") == TableStatus::kConflict);
  CHECK(fixture.objects.Get("s/1").bytes == "bytes");
  const ObjectStore::GetResult absent = fixture.objects.Get("s/2");
  CHECK(absent.status == TableStatus::kOk);
  CHECK_FALSE(absent.bytes.has_value());
  REQUIRE(fixture.SetFaults(R"({"objects":"down"})") == 200);
  CHECK(fixture.objects.Get("s/1").status == TableStatus::kUnavailable);
}

TEST_CASE("hosts are listed, updated and removed") {
  Fixture fixture;
  Reason reason;
  RegisteredHost host{HostId("h1"), RegionId("norte"), ZoneId("a"),
                      "10.0.0.1:80", false};
  CHECK(fixture.hosts.Put(host, reason));
  host.leaving = true;
  CHECK(fixture.hosts.Put(host, reason));
  const auto list = fixture.hosts.Read(reason);
  REQUIRE(list);
  REQUIRE(list->size() == 1);
  CHECK(list->front().leaving);
  CHECK(list->front().zone == ZoneId("a"));
  REQUIRE(fixture.SetFaults(R"({"hosts":"frozen"})") == 200);
  CHECK(fixture.hosts.Remove(HostId("h1"), reason));
  CHECK(fixture.hosts.Read(reason)->size() == 1);
  REQUIRE(fixture.SetFaults(R"({"hosts":"none"})") == 200);
  CHECK(fixture.hosts.Read(reason)->empty());
}

TEST_CASE("a lagged value is seen after its lag") {
  ManualClock clock;
  Lagged<int> value(std::chrono::seconds(5), 0);
  value.Set(clock.Now(), 1);
  CHECK(value.Get(clock.Now()) == 0);
  clock.Advance(std::chrono::seconds(5));
  CHECK(value.Get(clock.Now()) == 1);
}

}  // namespace applestand
