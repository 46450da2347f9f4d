#include "lib/local_state/follower.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>

namespace applestand {

namespace {

constexpr const char* kOwnControl = "127.0.0.1:1";
constexpr const char* kOtherControl = "127.0.0.1:2";

/// Answers calls from a script and counts them.
class ScriptedCaller : public PeerCaller {
 public:
  void Call(const std::string& address,
            MessageKind kind,
            const std::string& payload,
            Duration /*timeout*/,
            RpcCallback done) override {
    ++calls[address];
    Reason reason;
    if (kind == MessageKind::kConfigFetch) {
      done({Ran::kRan, Encode(replica.UpdateSince(ConfigVersion(0))), {}});
    } else if (silent) {
      done({Ran::kMayHaveRun, "", {"timed out"}});
    } else {
      const auto fetch = Decode<LocalStateFetch>(payload, reason);
      done({Ran::kRan, Encode(StateFor(*fetch)), {}});
    }
  }

  LocalStateReply StateFor(const LocalStateFetch& fetch) const {
    LocalStateReply reply;
    reply.config = replica.UpdateSince(fetch.have_version);
    reply.config.evidence = HeadEvidence{replica.version(), Duration::zero()};
    HostRecord other;
    other.host = HostId("other");
    other.control_address = kOtherControl;
    reply.hosts_digest = 1;
    if (fetch.have_hosts != reply.hosts_digest) {
      reply.live_hosts = std::vector<HostRecord>{other};
    }
    return reply;
  }

  ConfigReplica replica;
  bool silent = false;
  std::map<std::string, int> calls;
};

Change AccountChange(uint64_t version) {
  Change change;
  change.id = ChangeId("c" + std::to_string(version));
  change.author = "test";
  change.version = ConfigVersion(version);
  ClientAccount account;
  account.id = ClientAccountId("lenha");
  account.contract.requests_per_second = static_cast<double>(version);
  account.contract.burst = 10;
  change.operation = Put<ClientAccount>{account};
  return change;
}

struct Fixture {
  Fixture()
      : loop(clock),
        follower(
            Options(),
            loop,
            caller,
            [](LocalStateFetch&) {},
            [](const LocalStateReply&) {}) {}

  static StateFollower::Options Options() {
    StateFollower::Options options;
    options.control_address = kOwnControl;
    options.period = std::chrono::milliseconds(1);
    options.silence = std::chrono::milliseconds(20);
    return options;
  }

  /// Runs the loop until `condition` holds, at most 10 s.
  template <class Condition>
  bool RunUntil(Condition condition) {
    const TimePoint end = clock.Now() + std::chrono::seconds(10);
    bool held = false;
    loop.RunEvery(std::chrono::milliseconds(1), [&, end] {
      held = held || condition();
      if (held || clock.Now() > end) {
        loop.Stop();
      }
    });
    loop.Run();
    return held;
  }

  BootClock clock;
  EventLoop loop;
  ScriptedCaller caller;
  StateFollower follower;
};

}  // namespace

TEST_CASE("a process takes over what its control process knows") {
  Fixture fixture;
  fixture.caller.replica.Apply(AccountChange(1));
  fixture.follower.Start();
  CHECK(fixture.RunUntil(
      [&] { return fixture.follower.config().version == ConfigVersion(1); }));
  CHECK(fixture.follower.IsFresh());
  CHECK(fixture.follower.live_hosts().size() == 1);
}

TEST_CASE("while control is silent the state stays and other hosts are asked") {
  Fixture fixture;
  fixture.caller.replica.Apply(AccountChange(1));
  fixture.follower.Start();
  bool silenced = false;
  CHECK(fixture.RunUntil([&] {
    if (!silenced && fixture.follower.config().version == ConfigVersion(1)) {
      fixture.caller.silent = true;
      fixture.caller.replica.Apply(AccountChange(2));
      silenced = true;
    }
    return fixture.follower.config().version == ConfigVersion(2);
  }));
  CHECK(fixture.caller.calls[kOtherControl] > 0);
  CHECK(fixture.follower.live_hosts().size() == 1);
}

}  // namespace applestand
