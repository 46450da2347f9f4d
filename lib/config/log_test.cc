#include "lib/config/log.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "lib/config/head_watch.h"
#include "lib/config/replica.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand {

namespace {

using Kind = AppendOutcome::Kind;
using Fault = FakeTableService::Fault;

class FakeObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& key,
                     const std::string& bytes) override {
    return objects.emplace(key, bytes).second ? TableStatus::kOk
                                              : TableStatus::kConflict;
  }
  GetResult Get(const std::string& key) override {
    const auto it = objects.find(key);
    if (it == objects.end()) {
      return {TableStatus::kOk, std::nullopt};
    }
    return {TableStatus::kOk, it->second};
  }

  std::map<std::string, std::string> objects;
};

Change Seats(const std::string& id, uint32_t seats) {
  return {ChangeId(id), "ana", {}, SetSeats{seats}};
}

struct Fixture {
  ConfigLog NewLog() { return ConfigLog(table, objects, options); }

  FakeTableService table;
  FakeObjectStore objects;
  ConfigLog::Options options;
  Reason reason;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "of two racing operators one wins, one is told") {
  ConfigLog ana = NewLog();
  ConfigLog rui = NewLog();
  const auto first = ana.Append(Seats("a", 3), ConfigVersion(0));
  CHECK(first.kind == Kind::kCommitted);
  CHECK(first.version == ConfigVersion(1));
  const auto second = rui.Append(Seats("b", 4), ConfigVersion(0));
  CHECK(second.kind == Kind::kConflict);
  CHECK(second.version == ConfigVersion(1));
  CHECK(rui.Append(Seats("b", 4), ConfigVersion(1)).version ==
        ConfigVersion(2));
}

TEST_CASE_FIXTURE(Fixture, "a change id gets its first result again") {
  ConfigLog log = NewLog();
  CHECK(log.Append(Seats("a", 3)).version == ConfigVersion(1));
  CHECK(log.Append(Seats("b", 4)).version == ConfigVersion(2));
  const auto again = NewLog().Append(Seats("a", 3), ConfigVersion(0));
  CHECK(again.kind == Kind::kCommitted);
  CHECK(again.version == ConfigVersion(1));
  CHECK(log.Append(Seats("a", 5)).kind == Kind::kInvalid);
  CHECK(table.commits() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a lost answer is resolved by reading back") {
  ConfigLog log = NewLog();
  table.SetFault(Fault::kAnswerLost);
  const auto outcome = log.Append(Seats("a", 3), ConfigVersion(0));
  CHECK(outcome.kind == Kind::kCommitted);
  CHECK(outcome.version == ConfigVersion(1));
  CHECK(table.commits() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a down store and an unknown end are told apart") {
  ConfigLog log = NewLog();
  table.SetFault(Fault::kDown);
  CHECK(log.Append(Seats("a", 3)).kind == Kind::kNotAccepted);
  table.SetFault(Fault::kRequestLost);
  CHECK(log.Append(Seats("a", 3)).kind == Kind::kUnknown);
  table.SetFault(Fault::kNone);
  CHECK(log.Append(Seats("a", 3)).version == ConfigVersion(1));
  CHECK(log.Append(Seats("b", 0)).kind == Kind::kInvalid);
}

TEST_CASE_FIXTURE(Fixture, "a new replica starts from the newest snapshot") {
  options.snapshot_every = 4;
  options.scan_limit = 3;
  ConfigLog log = NewLog();
  for (uint32_t i = 1; i <= 10; ++i) {
    REQUIRE(log.Append(Seats("c" + std::to_string(i), i)).kind ==
            Kind::kCommitted);
  }
  CHECK(objects.objects.size() == 2);
  ConfigReplica replica;
  REQUIRE(log.CatchUp(replica, reason));
  CHECK(replica.version() == ConfigVersion(10));
  CHECK(replica.state().seats == 10);
  // Only the changes after the snapshot were read one by one.
  CHECK(replica.UpdateSince(ConfigVersion(8)).changes.size() == 2);
  CHECK(replica.UpdateSince(ConfigVersion(7)).snapshot.has_value());

  for (auto& [key, bytes] : objects.objects) {
    bytes[bytes.size() / 2] ^= 1;
  }
  ConfigReplica by_log;
  REQUIRE(log.CatchUp(by_log, reason));
  CHECK(by_log.state().seats == 10);
}

TEST_CASE("a damaged snapshot is refused") {
  ConfigState state;
  state.version = ConfigVersion(3);
  state.blocks["10.0.0.0/8"] = {"10.0.0.0/8", {RegionId("norte")}};
  const std::string bytes = EncodeSnapshot(state);
  Reason reason;
  const auto whole = DecodeSnapshot(bytes, reason);
  REQUIRE(whole.has_value());
  CHECK(ToJson(*whole) == ToJson(state));
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] ^= 0x20;
    CHECK_FALSE(DecodeSnapshot(damaged, reason).has_value());
    CHECK_FALSE(DecodeSnapshot(bytes.substr(0, i), reason).has_value());
  }
}

TEST_CASE("a peer's fresher head postpones the next read") {
  HeadWatch::Options options;
  options.jitter = Duration(1);
  ManualClock clock;
  HeadWatch watch(options, 1, clock.Now());
  CHECK(watch.PollDue(clock.Now()));
  CHECK_FALSE(watch.PollDue(clock.Now()));
  watch.OnPollDone(clock.Now());
  clock.Advance(std::chrono::milliseconds(900));
  watch.OnEvidence(clock.Now());
  clock.Advance(std::chrono::milliseconds(900));
  CHECK_FALSE(watch.PollDue(clock.Now()));
  clock.Advance(std::chrono::milliseconds(100));
  CHECK(watch.PollDue(clock.Now()));
  // A read whose answer never comes is given up.
  clock.Advance(options.read_timeout);
  CHECK(watch.PollDue(clock.Now()));
  watch.OnPollDone(clock.Now());
  for (int i = 0; i < 99; ++i) {
    clock.Advance(std::chrono::milliseconds(100));
    watch.OnEvidence(clock.Now());
    CHECK_FALSE(watch.PollDue(clock.Now()));
  }
  clock.Advance(std::chrono::milliseconds(100));
  watch.OnEvidence(clock.Now());
  CHECK(watch.PollDue(clock.Now()));
}

}  // namespace applestand
