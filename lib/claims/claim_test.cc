#include "lib/claims/claim.h"

#include <doctest/doctest.h>

#include "lib/claims/claim_manager.h"
#include "lib/claims/expired_claims.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand {

namespace {

HttpRequest MakePayment(std::vector<HttpHeader> headers) {
  return {"POST", "/pay", std::move(headers), "{\"eur\":40}", ""};
}

ClaimRequest MakeClaimRequest(uint64_t id,
                              const std::string& key,
                              TimePoint deadline) {
  ClaimRequest request;
  request.id = ClaimRequestId(id);
  request.account = ClientAccountId("lenha");
  request.key = IdempotencyKey(key);
  request.hash = RequestHash("h");
  request.deadline = deadline;
  return request;
}

class UnavailableObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& /*key*/,
                     const std::string& /*bytes*/) override {
    return TableStatus::kUnavailable;
  }
  GetResult Get(const std::string& /*key*/) override { return {}; }
};

void ExecuteDueCalls(ClaimManager& manager,
                     TableService& table,
                     TimePoint now) {
  UnavailableObjectStore objects;
  while (const auto call = manager.NextStoreCall(now)) {
    manager.OnResult(Execute(*call, table, objects), now);
  }
}

}  // namespace

TEST_CASE(
    "an idempotency key is one header of 1 to 128 visible ASCII characters") {
  Reason reason;
  const auto parse = [&reason](const std::string& value) {
    return ParseIdempotencyKey(MakePayment({{"idempotency-KEY", value}}),
                               reason);
  };
  CHECK(parse("order-7")->value() == "order-7");
  CHECK(parse(std::string(128, 'k')).has_value());
  CHECK_FALSE(parse(std::string(129, 'k')).has_value());
  CHECK_FALSE(parse("").has_value());
  CHECK_FALSE(parse("a b").has_value());
  CHECK_FALSE(parse("caf\xc3\xa9").has_value());
  CHECK_FALSE(ParseIdempotencyKey(MakePayment({}), reason).has_value());
  CHECK_FALSE(ParseIdempotencyKey(
      MakePayment({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}}),
      reason));
  CHECK(reason.text == "Idempotency-Key is given more than once");
}

TEST_CASE("the request hash covers method, target and body as separate parts") {
  const HttpRequest request = MakePayment({});
  HttpRequest other = request;
  other.target = "/pay?x=1";
  CHECK(HashRequest(request) != HashRequest(other));
  other = request;
  other.method = "PUT";
  CHECK(HashRequest(request) != HashRequest(other));
  other = request;
  other.target += other.body.substr(0, 1);
  other.body.erase(0, 1);
  CHECK(HashRequest(request) != HashRequest(other));
  CHECK(HashRequest(request) == HashRequest(MakePayment({{"X", "y"}})));
}

TEST_CASE("a recorded response has only the status, body and listed headers") {
  const HttpResponse response{
      201, {{"content-type", "text/plain"}, {"Set-Cookie", "s=1"}}, "paid"};
  const HttpResponse recorded =
      MakeRecordedResponse(MakeClaimOutcome(response));
  CHECK(recorded.status == 201);
  CHECK(recorded.body == "paid");
  REQUIRE(recorded.headers.size() == 1);
  CHECK(recorded.headers[0].value == "text/plain");
}

TEST_CASE("a claim is described for operators; malformed rows are rejected") {
  ClaimRow row;
  row.claim = ClaimId("znz-1/4/17");
  row.account = ClientAccountId("pwani");
  row.key = IdempotencyKey("transfer-9");
  Reason reason;
  const auto parsed = ParseClaimRow(Encode(row), reason);
  REQUIRE(parsed.has_value());
  const std::string view = DescribeClaim(*parsed);
  CHECK(view.find("\"claim\": \"znz-1/4/17\"") != std::string::npos);
  CHECK(view.find("\"ran\": \"unknown\"") != std::string::npos);
  CHECK_FALSE(ParseClaimRow("\xff", reason).has_value());
  row.state = static_cast<ClaimState>(9);
  CHECK_FALSE(ParseClaimRow(Encode(row), reason).has_value());
  CHECK(ClaimRowKey(row.account, row.key).rfind("claim/pwani/", 0) == 0);
}

TEST_CASE(
    "an unavailable table rejects current and later arrivals as not run") {
  const TimePoint now{std::chrono::hours(1)};
  FakeTableService table;
  table.SetFault(FakeTableService::Fault::kDown);
  ClaimManager manager({}, HostId("h"), Incarnation(1));
  manager.Begin(MakeClaimRequest(1, "a", now + std::chrono::seconds(9)), now);
  ExecuteDueCalls(manager, table, now);
  manager.Begin(MakeClaimRequest(2, "b", now + std::chrono::seconds(9)), now);
  const auto events = manager.TakeEvents();
  REQUIRE(events.size() == 2);
  for (const ClaimEvent& event : events) {
    CHECK(event.kind == ClaimEvent::Kind::kUnavailable);
    CHECK(event.ran == Ran::kNotRun);
    CHECK(event.retry_after > Duration::zero());
  }
  CHECK(manager.Idle());
}

TEST_CASE("many claims share one transaction") {
  const TimePoint now{std::chrono::hours(1)};
  FakeTableService table;
  ClaimManager manager({}, HostId("h"), Incarnation(1));
  for (uint64_t id = 1; id <= 64; ++id) {
    manager.Begin(
        MakeClaimRequest(id, std::to_string(id), now + std::chrono::seconds(9)),
        now);
  }
  ExecuteDueCalls(manager, table, now);
  CHECK(manager.TakeEvents().size() == 64);
  CHECK(manager.counters().granted == 64);
  CHECK(table.commits() == 1);
}

TEST_CASE(
    "a body above the size limit is omitted and reported as unavailable") {
  const TimePoint now{std::chrono::hours(1)};
  ClaimOptions options;
  options.max_body_bytes = 4;
  FakeTableService table;
  ClaimManager manager(options, HostId("h"), Incarnation(1));
  manager.Begin(MakeClaimRequest(1, "a", now + std::chrono::seconds(9)), now);
  ExecuteDueCalls(manager, table, now);
  REQUIRE(manager.TakeEvents().size() == 1);
  REQUIRE(manager.MaySend(ClaimRequestId(1), now));
  manager.Finish(ClaimRequestId(1), Ran::kRan,
                 MakeClaimOutcome({200, {}, "12345"}), now);
  const TimePoint later = now + std::chrono::seconds(1);
  ExecuteDueCalls(manager, table, later);
  CHECK(manager.Idle());
  manager.Begin(MakeClaimRequest(2, "a", now + std::chrono::seconds(9)), later);
  ExecuteDueCalls(manager, table, later + std::chrono::seconds(1));
  const auto events = manager.TakeEvents();
  REQUIRE(events.size() == 1);
  CHECK(events[0].kind == ClaimEvent::Kind::kOutcomeUnavailable);
  CHECK(events[0].ran == Ran::kRan);
}

TEST_CASE("only old claims expire, according to the slower of two clocks") {
  constexpr int64_t kDayMs = 86'400'000;
  const auto make_row = [](const std::string& key, int64_t created) {
    ClaimRow row;
    row.created_unix_ms = created;
    return Row{key, Encode(row), RowVersion(3)};
  };
  const std::vector<Row> rows = {make_row("claim/a/1", 0),
                                 make_row("claim/a/2", 10 * kDayMs),
                                 {"claim/a/3", "garbage", RowVersion(1)}};
  const auto choose = [&rows](int64_t wall, int64_t newest_peer_claim) {
    return ChooseExpiredClaims(rows, wall, newest_peer_claim, kClaimRetention,
                               10);
  };
  const auto deletes = choose(15 * kDayMs, 15 * kDayMs);
  REQUIRE(deletes.size() == 1);
  CHECK(deletes[0].key == "claim/a/1");
  CHECK(deletes[0].expected == RowVersion(3));
  CHECK_FALSE(deletes[0].value.has_value());
  CHECK(choose(99 * kDayMs, 11 * kDayMs).empty());
}

}  // namespace applestand
