#include "lib/config/log.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "lib/config/head_poll_scheduler.h"
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

Change MakeChange(const std::string& id, uint32_t share_count) {
  return {ChangeId(id), "ana", {}, SetContractShareCount{share_count}};
}

struct Fixture {
  ConfigLog NewLog() { return ConfigLog(table, objects, options); }

  FakeTableService table;
  FakeObjectStore objects;
  ConfigLog::Options options;
  Reason reason;
};

}  // namespace

TEST_CASE_FIXTURE(
    Fixture,
    "of two concurrent appends one commits, the other reports a conflict") {
  ConfigLog ana = NewLog();
  ConfigLog rui = NewLog();
  const auto first = ana.Append(MakeChange("a", 3), ConfigVersion(0));
  CHECK(first.kind == Kind::kCommitted);
  CHECK(first.version == ConfigVersion(1));
  const auto second = rui.Append(MakeChange("b", 4), ConfigVersion(0));
  CHECK(second.kind == Kind::kConflict);
  CHECK(second.version == ConfigVersion(1));
  CHECK(rui.Append(MakeChange("b", 4), ConfigVersion(1)).version ==
        ConfigVersion(2));
}

TEST_CASE_FIXTURE(Fixture,
                  "appending a change id again returns its first outcome") {
  ConfigLog log = NewLog();
  CHECK(log.Append(MakeChange("a", 3)).version == ConfigVersion(1));
  CHECK(log.Append(MakeChange("b", 4)).version == ConfigVersion(2));
  const auto again = NewLog().Append(MakeChange("a", 3), ConfigVersion(0));
  CHECK(again.kind == Kind::kCommitted);
  CHECK(again.version == ConfigVersion(1));
  CHECK(log.Append(MakeChange("a", 5)).kind == Kind::kInvalid);
  CHECK(table.commits() == 2);
}

TEST_CASE_FIXTURE(
    Fixture,
    "the outcome of a transaction without a reply is read from the store") {
  ConfigLog log = NewLog();
  table.SetFault(Fault::kResponseLost);
  const auto outcome = log.Append(MakeChange("a", 3), ConfigVersion(0));
  CHECK(outcome.kind == Kind::kCommitted);
  CHECK(outcome.version == ConfigVersion(1));
  CHECK(table.commits() == 1);
}

TEST_CASE_FIXTURE(
    Fixture,
    "an unavailable store is distinguished from an unknown outcome") {
  ConfigLog log = NewLog();
  table.SetFault(Fault::kDown);
  CHECK(log.Append(MakeChange("a", 3)).kind == Kind::kNotAccepted);
  table.SetFault(Fault::kRequestLost);
  CHECK(log.Append(MakeChange("a", 3)).kind == Kind::kUnknown);
  table.SetFault(Fault::kNone);
  CHECK(log.Append(MakeChange("a", 3)).version == ConfigVersion(1));
  CHECK(log.Append(MakeChange("b", 0)).kind == Kind::kInvalid);
}

TEST_CASE_FIXTURE(Fixture,
                  "a new replica starts from the newest snapshot, or from the "
                  "log if damaged") {
  options.snapshot_interval = 4;
  options.scan_limit = 3;
  ConfigLog log = NewLog();
  for (uint32_t i = 1; i <= 10; ++i) {
    REQUIRE(log.Append(MakeChange("c" + std::to_string(i), i)).kind ==
            Kind::kCommitted);
  }
  CHECK(objects.objects.size() == 2);
  ConfigReplica replica;
  REQUIRE(log.CatchUp(replica, reason));
  CHECK(replica.version() == ConfigVersion(10));
  CHECK(replica.state().contract_share_count == 10);
  // Only the changes after the snapshot were read from the log.
  CHECK(replica.UpdateSince(ConfigVersion(8)).changes.size() == 2);
  CHECK(replica.UpdateSince(ConfigVersion(7)).snapshot.has_value());

  for (auto& [key, bytes] : objects.objects) {
    bytes[bytes.size() / 2] ^= 1;
  }
  ConfigReplica replica_from_log;
  REQUIRE(log.CatchUp(replica_from_log, reason));
  CHECK(replica_from_log.state().contract_share_count == 10);
}

TEST_CASE("a damaged or truncated snapshot is rejected") {
  ConfigState state;
  state.version = ConfigVersion(3);
  state.blocks["10.0.0.0/8"] = {"10.0.0.0/8", {RegionId("norte")}};
  const std::string bytes = EncodeSnapshot(state);
  Reason reason;
  const auto decoded = DecodeSnapshot(bytes, reason);
  REQUIRE(decoded.has_value());
  CHECK(ToJson(*decoded) == ToJson(state));
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] ^= 0x20;
    CHECK_FALSE(DecodeSnapshot(damaged, reason).has_value());
    CHECK_FALSE(DecodeSnapshot(bytes.substr(0, i), reason).has_value());
  }
}

TEST_CASE("a more recent head from a peer postpones the next read") {
  HeadPollScheduler::Options options;
  options.jitter = Duration(1);
  ManualClock clock;
  HeadPollScheduler scheduler(options, 1, clock.Now());
  CHECK(scheduler.StartPollIfDue(clock.Now()));
  CHECK_FALSE(scheduler.StartPollIfDue(clock.Now()));
  scheduler.OnPollDone(clock.Now());
  clock.Advance(std::chrono::milliseconds(900));
  scheduler.OnEvidence(clock.Now());
  clock.Advance(std::chrono::milliseconds(900));
  CHECK_FALSE(scheduler.StartPollIfDue(clock.Now()));
  clock.Advance(std::chrono::milliseconds(100));
  CHECK(scheduler.StartPollIfDue(clock.Now()));
  // A read that does not end within `read_timeout` does not block the next one.
  clock.Advance(options.read_timeout);
  CHECK(scheduler.StartPollIfDue(clock.Now()));
  scheduler.OnPollDone(clock.Now());
  // Evidence does not postpone the host's own reads beyond `max_read_interval`.
  for (int i = 0; i < 99; ++i) {
    clock.Advance(std::chrono::milliseconds(100));
    scheduler.OnEvidence(clock.Now());
    CHECK_FALSE(scheduler.StartPollIfDue(clock.Now()));
  }
  clock.Advance(std::chrono::milliseconds(100));
  scheduler.OnEvidence(clock.Now());
  CHECK(scheduler.StartPollIfDue(clock.Now()));
}

}  // namespace applestand
