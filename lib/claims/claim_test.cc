#include "lib/claims/claim.h"

#include <doctest/doctest.h>

#include "lib/claims/claim_book.h"
#include "lib/claims/sweep.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand {

namespace {

HttpRequest Payment(std::vector<HttpHeader> headers) {
  return {"POST", "/pay", std::move(headers), "{\"eur\":40}", ""};
}

ClaimRequest Request(uint64_t id, const std::string& key, TimePoint deadline) {
  ClaimRequest request;
  request.id = ClaimRequestId(id);
  request.account = ClientAccountId("lenha");
  request.key = IdempotencyKey(key);
  request.hash = RequestHash("h");
  request.deadline = deadline;
  return request;
}

class NoObjects : public ObjectStore {
 public:
  TableStatus Create(const std::string& /*key*/,
                     const std::string& /*bytes*/) override {
    return TableStatus::kUnavailable;
  }
  GetResult Get(const std::string& /*key*/) override { return {}; }
};

void MakeCalls(ClaimBook& book, TableService& table, TimePoint now) {
  NoObjects objects;
  while (const auto work = book.NextWork(now)) {
    book.OnResult(Execute(*work, table, objects), now);
  }
}

}  // namespace

TEST_CASE("an idempotency key is 1 to 128 visible ASCII characters, once") {
  Reason reason;
  const auto parse = [&reason](const std::string& value) {
    return ParseIdempotencyKey(Payment({{"idempotency-KEY", value}}), reason);
  };
  CHECK(parse("order-7")->value() == "order-7");
  CHECK(parse(std::string(128, 'k')).has_value());
  CHECK_FALSE(parse(std::string(129, 'k')).has_value());
  CHECK_FALSE(parse("").has_value());
  CHECK_FALSE(parse("a b").has_value());
  CHECK_FALSE(parse("caf\xc3\xa9").has_value());
  CHECK_FALSE(ParseIdempotencyKey(Payment({}), reason).has_value());
  CHECK_FALSE(ParseIdempotencyKey(
      Payment({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}}), reason));
  CHECK(reason.text == "Idempotency-Key is given more than once");
}

TEST_CASE("the request hash covers method, target and body, separated") {
  const HttpRequest request = Payment({});
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
  CHECK(HashRequest(request) == HashRequest(Payment({{"X", "y"}})));
}

TEST_CASE("a recorded answer keeps status, body and listed headers only") {
  const HttpResponse answer{
      201, {{"content-type", "text/plain"}, {"Set-Cookie", "s=1"}}, "paid"};
  const HttpResponse kept = ResponseOf(OutcomeOf(answer));
  CHECK(kept.status == 201);
  CHECK(kept.body == "paid");
  REQUIRE(kept.headers.size() == 1);
  CHECK(kept.headers[0].value == "text/plain");
}

TEST_CASE("operators can read a claim, and garbage is refused") {
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

TEST_CASE("a down table refuses at once, also later arrivals, as not run") {
  const TimePoint now{std::chrono::hours(1)};
  FakeTableService table;
  table.SetFault(FakeTableService::Fault::kDown);
  ClaimBook book({}, HostId("h"), Incarnation(1));
  book.Begin(Request(1, "a", now + std::chrono::seconds(9)), now);
  MakeCalls(book, table, now);
  book.Begin(Request(2, "b", now + std::chrono::seconds(9)), now);
  const auto events = book.TakeEvents();
  REQUIRE(events.size() == 2);
  for (const ClaimEvent& event : events) {
    CHECK(event.kind == ClaimEvent::Kind::kUnavailable);
    CHECK(event.ran == Ran::kNotRun);
    CHECK(event.retry_after > Duration::zero());
  }
  CHECK(book.Idle());
}

TEST_CASE("many claims share one transaction") {
  const TimePoint now{std::chrono::hours(1)};
  FakeTableService table;
  ClaimBook book({}, HostId("h"), Incarnation(1));
  for (uint64_t id = 1; id <= 64; ++id) {
    book.Begin(Request(id, std::to_string(id), now + std::chrono::seconds(9)),
               now);
  }
  MakeCalls(book, table, now);
  CHECK(book.TakeEvents().size() == 64);
  CHECK(book.counters().granted == 64);
  CHECK(table.commits() == 1);
}

TEST_CASE("bodies beyond the bound are left out, and said to be") {
  const TimePoint now{std::chrono::hours(1)};
  ClaimOptions options;
  options.max_body_bytes = 4;
  FakeTableService table;
  ClaimBook book(options, HostId("h"), Incarnation(1));
  book.Begin(Request(1, "a", now + std::chrono::seconds(9)), now);
  MakeCalls(book, table, now);
  REQUIRE(book.TakeEvents().size() == 1);
  REQUIRE(book.MaySend(ClaimRequestId(1), now));
  book.Finish(ClaimRequestId(1), Ran::kRan, OutcomeOf({200, {}, "12345"}), now);
  const TimePoint later = now + std::chrono::seconds(1);
  MakeCalls(book, table, later);
  CHECK(book.Idle());
  book.Begin(Request(2, "a", now + std::chrono::seconds(9)), later);
  MakeCalls(book, table, later + std::chrono::seconds(1));
  const auto events = book.TakeEvents();
  REQUIRE(events.size() == 1);
  CHECK(events[0].kind == ClaimEvent::Kind::kOutcomeUnread);
  CHECK(events[0].ran == Ran::kRan);
}

TEST_CASE("the sweep takes old claims only, by the slower of two clocks") {
  constexpr int64_t kDayMs = 86'400'000;
  const auto row_of = [](const std::string& key, int64_t created) {
    ClaimRow row;
    row.created_unix_ms = created;
    return Row{key, Encode(row), RowVersion(3)};
  };
  const std::vector<Row> rows = {row_of("claim/a/1", 0),
                                 row_of("claim/a/2", 10 * kDayMs),
                                 {"claim/a/3", "garbage", RowVersion(1)}};
  const auto choose = [&rows](int64_t wall, int64_t witness) {
    return ChooseExpiredClaims(rows, wall, witness, kClaimRetention, 10);
  };
  const auto deletes = choose(15 * kDayMs, 15 * kDayMs);
  REQUIRE(deletes.size() == 1);
  CHECK(deletes[0].key == "claim/a/1");
  CHECK(deletes[0].expected == RowVersion(3));
  CHECK_FALSE(deletes[0].value.has_value());
  CHECK(choose(99 * kDayMs, 11 * kDayMs).empty());
}

}  // namespace applestand
