#include "lib/node/quarantine_service.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Keeps the rows of the host table and answers writes with a set status.
class FakeStore : public MetadataStore {
 public:
  explicit FakeStore(Reactor& reactor) : m_reactor(reactor) {}

  std::unique_ptr<StoreCall> ReadTable(StoreTable /*table*/,
                                       ReadCallback /*callback*/) override {
    return nullptr;
  }
  std::unique_ptr<StoreCall> ReadChanges(StoreTable /*table*/,
                                         StoreVersion /*version*/,
                                         Duration /*wait*/,
                                         ReadCallback /*callback*/) override {
    return nullptr;
  }
  std::unique_ptr<StoreCall> WriteHosts(const std::vector<StoreWrite>& writes,
                                        WriteCallback callback) override {
    ++calls;
    if (status == StoreStatus::kOk) {
      m_version = StoreVersion(m_version.number() + 1);
      for (const StoreWrite& write : writes) {
        update.rows.push_back({write.key, write.value.value_or(""), m_version,
                               !write.value.has_value()});
      }
      update.version = m_version;
    }
    auto call = std::make_unique<Call>(m_reactor);
    call->timer.Start(milliseconds(1),
                      [callback = std::move(callback), result = status] {
                        callback(result, "injected");
                      });
    return call;
  }

  StoreStatus status = StoreStatus::kOk;
  size_t calls = 0;
  /// All changes so far.
  TableUpdate update;

 private:
  struct Call : StoreCall {
    explicit Call(Reactor& reactor) : timer(reactor) {}
    Timer timer;
  };

  Reactor& m_reactor;
  StoreVersion m_version{1};
};

/// One host's service, with a mirror of the host table.
struct TestService {
  TestService() : store(reactor), service(reactor, store) {}

  void RunFor(Duration time) {
    Timer end(reactor);
    end.Start(time, [this] { reactor.Stop(); });
    reactor.Run();
  }
  /// Reports an aborted attempt and the crash of its target.
  void Crash(const std::string& target) {
    SteeringTarget crashed;
    crashed.id = TargetId(target);
    // Not an address, so that the check whether the target listens finds
    // nothing out.
    crashed.address = "none";
    service.OnNoResponse(request, crashed, reactor.Now(),
                         QuarantineService::Connection::kDropped);
    service.OnTargetEnded(crashed);
  }
  bool Quarantined() { return service.RemainingTime(request).has_value(); }

  Reactor reactor;
  FakeStore store;
  QuarantineService service;
  Fingerprint request{ClientAccountId("lenha"), 1, 2};
};

/// Applies the changes to the mirror and passes them to the service.
void Follow(QuarantineService& service,
            TableMirror& mirror,
            const TableUpdate& update) {
  service.OnHostRows(mirror, mirror.Apply(update, TimePoint()));
}

}  // namespace

TEST_CASE("a host that starts learns of earlier crashes from the store") {
  TestService first;
  for (const char* target : {"a", "b", "c"}) {
    first.Crash(target);
  }
  CHECK(first.Quarantined());
  first.RunFor(milliseconds(100));
  // The crashes were observed together, so they share one write.
  CHECK(first.store.calls == 1);
  TestService started;
  CHECK_FALSE(started.Quarantined());
  TableMirror mirror;
  TableUpdate snapshot = first.store.update;
  snapshot.is_snapshot = true;
  Follow(started.service, mirror, snapshot);
  CHECK(started.Quarantined());
}

// Guards against refusing a request that many callers send, for minutes and on
// all hosts, because another one crashed targets that were running it.
TEST_CASE(
    "a popular request that another one's crashes cut off is served, also by a "
    "host that starts") {
  TestService first;
  const Fingerprint crasher{ClientAccountId("account"), 3, 4};
  first.service.OnCompleteResponse(first.request, SteeringTarget());
  for (const char* target : {"a", "b", "c", "d"}) {
    SteeringTarget crashed;
    crashed.id = TargetId(target);
    crashed.address = "none";
    const TimePoint sent = first.reactor.Now();
    for (const Fingerprint& request : {crasher, first.request}) {
      first.service.OnNoResponse(request, crashed, sent,
                                 QuarantineService::Connection::kOpen);
    }
    first.service.OnTargetEnded(crashed);
  }
  CHECK_FALSE(first.Quarantined());
  CHECK(first.service.RemainingTime(crasher).has_value());
  first.RunFor(milliseconds(100));
  TestService started;
  TableMirror mirror;
  TableUpdate snapshot = first.store.update;
  snapshot.is_snapshot = true;
  Follow(started.service, mirror, snapshot);
  CHECK_FALSE(started.Quarantined());
  CHECK(started.service.RemainingTime(crasher).has_value());
}

// Guards against losing observations that the store did not accept.
TEST_CASE("crashes observed while the store fails are written afterwards") {
  TestService host;
  host.store.status = StoreStatus::kUnknown;
  host.Crash("a");
  host.RunFor(milliseconds(100));
  CHECK(host.store.calls == 1);
  CHECK(host.store.update.rows.empty());
  host.store.status = StoreStatus::kOk;
  host.RunFor(seconds(1));
  CHECK(host.store.update.rows.size() == 1);
}

// Guards against calling a failing store again with each new observation.
TEST_CASE("a failed write is retried after a delay, with later observations") {
  TestService host;
  host.store.status = StoreStatus::kRefused;
  host.Crash("a");
  host.RunFor(milliseconds(100));
  host.Crash("b");
  host.RunFor(milliseconds(100));
  CHECK(host.store.calls == 1);
  host.store.status = StoreStatus::kOk;
  host.RunFor(milliseconds(600));
  CHECK(host.store.calls == 2);
  CHECK(host.store.update.rows.size() == 2);
}

TEST_CASE("a complete response at one host clears the request at the others") {
  TestService first;
  for (const char* target : {"a", "b", "c"}) {
    first.Crash(target);
  }
  first.RunFor(milliseconds(100));
  TestService second;
  TableMirror mirror;
  Follow(second.service, mirror, first.store.update);
  CHECK(second.Quarantined());
  second.service.OnCompleteResponse(second.request, SteeringTarget());
  CHECK_FALSE(second.Quarantined());
  second.RunFor(milliseconds(100));
  TableUpdate cleared = second.store.update;
  CHECK(cleared.rows.size() == 4);
  for (MirrorRow& row : cleared.rows) {
    row.version = StoreVersion(100);
  }
  cleared.version = StoreVersion(100);
  TableMirror first_mirror;
  Follow(first.service, first_mirror, first.store.update);
  Follow(first.service, first_mirror, cleared);
  CHECK_FALSE(first.Quarantined());
}

// Guards against counting crashes that a host reads together with the response
// that cleared them.
TEST_CASE("rows are applied in the order in which they were written") {
  TestService host;
  TableMirror mirror;
  TableUpdate update;
  update.is_snapshot = true;
  const auto add = [&](const std::string& key, const QuarantineNotice& notice,
                       uint64_t version) {
    update.rows.push_back({key, Encode(notice), StoreVersion(version), false});
    update.version = StoreVersion(version);
  };
  for (uint64_t i = 1; i <= 3; ++i) {
    add("crash/x/" + std::to_string(i),
        {QuarantineNoticeKind::kSuspected, host.request,
         TargetId("t" + std::to_string(i)), Duration()},
        i);
  }
  add("completed/x",
      {QuarantineNoticeKind::kCompleted, host.request, TargetId(), Duration()},
      4);
  Follow(host.service, mirror, update);
  CHECK_FALSE(host.Quarantined());
  CHECK(host.service.suspects() == 0);
}

// Guards against rows of requests that are no longer suspect staying for ever.
TEST_CASE("rows of requests that are not suspect are removed from the store") {
  TestService host;
  TableMirror mirror;
  host.Crash("a");
  host.RunFor(milliseconds(100));
  Follow(host.service, mirror, host.store.update);
  // After this, rows are looked for at each tick.
  host.service.OnStoreRestored();
  host.service.Tick(mirror);
  host.RunFor(milliseconds(100));
  CHECK(host.store.calls == 1);
  // Clears the request without writing, as another host's row does.
  TableUpdate cleared;
  cleared.rows.push_back(
      {"completed/x",
       Encode(QuarantineNotice{QuarantineNoticeKind::kCompleted, host.request,
                               TargetId(), Duration()}),
       StoreVersion(50), false});
  cleared.version = StoreVersion(50);
  Follow(host.service, mirror, cleared);
  host.service.Tick(mirror);
  host.RunFor(milliseconds(100));
  REQUIRE(host.store.calls == 2);
  CHECK(host.store.update.rows.back().removed);
}

// Guards against hosts that start forgetting a crashing request whose rows the
// store lost.
TEST_CASE("rows of suspect requests that the store lost are written again") {
  TestService host;
  TableMirror mirror;
  host.Crash("a");
  host.RunFor(milliseconds(100));
  Follow(host.service, mirror, host.store.update);
  TableUpdate restored;
  restored.is_snapshot = true;
  restored.version = StoreVersion(1, StoreEra(1));
  Follow(host.service, mirror, restored);
  host.service.OnStoreRestored();
  host.service.Tick(mirror);
  host.RunFor(milliseconds(100));
  REQUIRE(host.store.calls == 2);
  CHECK(host.store.update.rows.back().key == host.store.update.rows[0].key);
  CHECK_FALSE(host.store.update.rows.back().removed);
}

// Guards against suspecting requests that were sent to targets which had
// crashed before.
TEST_CASE(
    "attempts at a target that failed before they were sent do not count") {
  TestService host;
  const Fingerprint other{ClientAccountId("lenha"), 3, 4};
  SteeringTarget crashed;
  crashed.id = TargetId("a");
  crashed.address = "none";
  host.service.OnNoResponse(host.request, crashed, host.reactor.Now(),
                            QuarantineService::Connection::kOpen);
  host.RunFor(milliseconds(20));
  host.service.OnNoResponse(other, crashed, host.reactor.Now(),
                            QuarantineService::Connection::kOpen);
  host.service.OnTargetEnded(crashed);
  CHECK(host.service.suspects() == 1);
}

TEST_CASE("a target that completes a request again can be crashed by another") {
  TestService host;
  const Fingerprint other{ClientAccountId("lenha"), 3, 4};
  SteeringTarget target;
  target.id = TargetId("a");
  target.address = "none";
  host.service.OnNoResponse(host.request, target, host.reactor.Now(),
                            QuarantineService::Connection::kOpen);
  host.RunFor(milliseconds(20));
  host.service.OnCompleteResponse(host.request, target);
  host.service.OnNoResponse(other, target, host.reactor.Now(),
                            QuarantineService::Connection::kOpen);
  host.service.OnTargetEnded(target);
  CHECK(host.service.suspects() == 1);
}

TEST_CASE("a malformed row is skipped") {
  TestService host;
  TableMirror mirror;
  TableUpdate update;
  update.rows.push_back({"crash/x/1", "broken", StoreVersion(2), false});
  update.version = StoreVersion(2);
  Follow(host.service, mirror, update);
  CHECK(host.service.suspects() == 0);
}

}  // namespace applestand
