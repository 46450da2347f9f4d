#include "lib/node/era_settlement.h"

#include <doctest/doctest.h>

#include <string>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kRewriteTime = seconds(3);
constexpr Duration kMoment = milliseconds(1);

/// What a host reads of the store in `era`, whose row is `settled_row`.
EraSettlement::Observation Read(uint64_t era,
                                std::optional<uint64_t> settled_row,
                                uint64_t version = 20) {
  EraSettlement::Observation seen;
  seen.operators = StoreVersion(version, StoreEra(era));
  seen.config_written_at = StoreVersion(version, StoreEra(era));
  seen.hosts_loaded = true;
  if (settled_row) {
    seen.settled_row = StoreEra(*settled_row);
  }
  return seen;
}

}  // namespace

// Guards against serving withdrawn keys out of an older copy of the store when
// all hosts have started since it came back.
TEST_CASE("hosts that start into an older copy wait for the operator") {
  EraSettlement settlement(kRewriteTime);
  auto seen = Read(1, 0);
  settlement.Update(seen, kStart);
  CHECK_FALSE(settlement.IsKnown());
  CHECK(settlement.is_unsettled());
  CHECK(settlement.PresumedAt() == kStart + kRewriteTime);
  CHECK(settlement.KnownEra() == StoreEra());
  settlement.Update(seen, kStart + kRewriteTime - kMoment);
  CHECK_FALSE(settlement.IsKnown());
  CHECK_FALSE(settlement.EraToWrite().has_value());
  seen.operators = StoreVersion(21, StoreEra(1));
  settlement.Update(seen, kStart + kRewriteTime - kMoment);
  CHECK_FALSE(settlement.IsKnown());
  seen.config_written_at = seen.operators;
  settlement.Update(seen, kStart + kRewriteTime - kMoment);
  CHECK(settlement.IsKnown());
  CHECK(std::string(settlement.known_by()) == "operator-wrote");
  CHECK(settlement.KnownEra() == StoreEra(1));
  CHECK(settlement.EraToWrite() == StoreEra(1));
}

// The operator may have written again before the first read.
TEST_CASE("the wait for the operator is limited") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(1, 0), kStart);
  settlement.Update(Read(1, 0), kStart + kRewriteTime);
  CHECK(settlement.IsKnown());
  CHECK(std::string(settlement.known_by()) == "waited");
  CHECK(settlement.EraToWrite() == StoreEra(1));
}

TEST_CASE("a deployment that starts first does not wait") {
  for (const uint64_t era : {uint64_t{0}, uint64_t{7}}) {
    EraSettlement settlement(kRewriteTime);
    settlement.Update(Read(era, std::nullopt), kStart);
    CHECK(settlement.IsKnown());
    CHECK(settlement.EraToWrite() == StoreEra(era));
    settlement.Update(Read(era, era), kStart + kMoment);
    CHECK_FALSE(settlement.EraToWrite().has_value());
  }
}

TEST_CASE("a host that starts into a settled era does not wait") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(2, 2), kStart);
  CHECK(settlement.IsKnown());
  CHECK_FALSE(settlement.EraToWrite().has_value());
}

TEST_CASE("a host that has run since before the store came back waits not") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(0, 0), kStart);
  settlement.Update(Read(1, 0, 12), kStart + kMoment);
  CHECK(settlement.IsKnown());
  CHECK(settlement.KnownEra() == StoreEra(1));
  // If all hosts are killed now, those that start must wait.
  CHECK_FALSE(settlement.EraToWrite().has_value());
  settlement.Update(Read(1, 0, 13), kStart + 2 * kMoment);
  CHECK(settlement.EraToWrite() == StoreEra(1));
}

// The same, if the copy is from before the first row.
TEST_CASE("a lost row is written again once the era is settled") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(0, 0), kStart);
  settlement.Update(Read(1, std::nullopt), kStart + kMoment);
  CHECK_FALSE(settlement.EraToWrite().has_value());
  settlement.Update(Read(1, std::nullopt), kStart + kMoment + kRewriteTime);
  CHECK(settlement.EraToWrite() == StoreEra(1));
}

TEST_CASE("an era is not settled while the store is behind") {
  EraSettlement settlement(kRewriteTime);
  auto seen = Read(1, 0);
  seen.store_is_behind = true;
  settlement.Update(seen, kStart);
  seen.config_written_at = StoreVersion(21, StoreEra(1));
  settlement.Update(seen, kStart + 2 * kRewriteTime);
  CHECK_FALSE(settlement.IsKnown());
  CHECK_FALSE(settlement.EraToWrite().has_value());
  seen.store_is_behind = false;
  settlement.Update(seen, kStart + 2 * kRewriteTime);
  CHECK(settlement.IsKnown());
}

TEST_CASE("a host that starts learns from one that knows") {
  EraSettlement settlement(kRewriteTime);
  auto seen = Read(2, 1);
  // That host has not read the latest era.
  seen.peers_known_era = StoreEra(1);
  settlement.Update(seen, kStart);
  CHECK_FALSE(settlement.IsKnown());
  seen.peers_known_era = StoreEra(2);
  settlement.Update(seen, kStart);
  CHECK(settlement.IsKnown());
  CHECK_FALSE(settlement.EraToWrite().has_value());
}

TEST_CASE("each time that the store comes back the wait begins anew") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(1, 0), kStart);
  settlement.Update(Read(2, 0, 12), kStart + seconds(2));
  CHECK(settlement.PresumedAt() == kStart + seconds(2) + kRewriteTime);
  settlement.Update(Read(2, std::nullopt, 12), kStart + kRewriteTime);
  CHECK_FALSE(settlement.IsKnown());
  settlement.Update(Read(2, 0, 13), kStart + kRewriteTime);
  CHECK(settlement.IsKnown());
}

// A copy may be of an era before the one whose row was written last.
TEST_CASE("the row of an era before the last one does not settle") {
  EraSettlement settlement(kRewriteTime);
  settlement.Update(Read(5, 3), kStart);
  CHECK_FALSE(settlement.IsKnown());
}

TEST_CASE("the host table decides, once it has been read") {
  EraSettlement settlement(kRewriteTime);
  auto seen = Read(1, std::nullopt);
  seen.hosts_loaded = false;
  settlement.Update(seen, kStart);
  CHECK_FALSE(settlement.IsKnown());
  CHECK_FALSE(settlement.is_unsettled());
  settlement.Update(Read(1, 1), kStart + kMoment);
  CHECK(settlement.IsKnown());
  // A store that has never come back has lost nothing.
  EraSettlement first(kRewriteTime);
  seen.operators = StoreVersion(5);
  first.Update(seen, kStart);
  CHECK(first.IsKnown());
  CHECK_FALSE(first.EraToWrite().has_value());
}

TEST_CASE("a malformed row is as one of the first era") {
  CHECK(ParseEraRow(FormatEra(StoreEra(17))) == StoreEra(17));
  for (const char* value : {"", "x", "-1", "3x", "99999999999999999999"}) {
    CHECK(ParseEraRow(value) == StoreEra());
  }
}

}  // namespace applestand
