#include "lib/local_state/follower.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>

namespace applestand {

namespace {

constexpr const char* kOwnControlAddress = "127.0.0.1:1";
constexpr const char* kPeerControlAddress = "127.0.0.1:2";

/// Responds to calls from `replica` and counts the calls for each address. If
/// `times_out` is set, requests for the local state time out.
class FakePeerCaller : public PeerClient {
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
    } else if (times_out) {
      done({Ran::kMayHaveRun, "", {"timed out"}});
    } else {
      const auto fetch = Decode<LocalStateFetch>(payload, reason);
      done({Ran::kRan, Encode(MakeReply(*fetch)), {}});
    }
  }

  LocalStateReply MakeReply(const LocalStateFetch& fetch) const {
    LocalStateReply reply;
    reply.config = replica.UpdateSince(fetch.have_version);
    reply.config.evidence = HeadEvidence{replica.version(), Duration::zero()};
    HostRecord peer;
    peer.host = HostId("other");
    peer.control_address = kPeerControlAddress;
    reply.hosts_digest = 1;
    if (fetch.known_hosts_digest != reply.hosts_digest) {
      reply.live_hosts = std::vector<HostRecord>{peer};
    }
    return reply;
  }

  ConfigReplica replica;
  bool times_out = false;
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
    options.control_address = kOwnControlAddress;
    options.poll_interval = std::chrono::milliseconds(1);
    options.unavailable_after = std::chrono::milliseconds(20);
    return options;
  }

  /// Runs the loop until `condition` holds, for at most 10 s. Returns whether
  /// it held.
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
  FakePeerCaller caller;
  StateFollower follower;
};

}  // namespace

TEST_CASE("a process receives the state of its control process") {
  Fixture fixture;
  fixture.caller.replica.Apply(AccountChange(1));
  fixture.follower.Start();
  CHECK(fixture.RunUntil(
      [&] { return fixture.follower.config().version == ConfigVersion(1); }));
  CHECK(fixture.follower.IsFresh());
  CHECK(fixture.follower.live_hosts().size() == 1);
}

// Guards against a process that loses its state or misses configuration changes
// while the control process of its host does not respond.
TEST_CASE("without replies from control, state stays and peers are polled") {
  Fixture fixture;
  fixture.caller.replica.Apply(AccountChange(1));
  fixture.follower.Start();
  bool fault_injected = false;
  CHECK(fixture.RunUntil([&] {
    if (!fault_injected &&
        fixture.follower.config().version == ConfigVersion(1)) {
      fixture.caller.times_out = true;
      fixture.caller.replica.Apply(AccountChange(2));
      fault_injected = true;
    }
    return fixture.follower.config().version == ConfigVersion(2);
  }));
  CHECK(fixture.caller.calls[kPeerControlAddress] > 0);
  CHECK(fixture.follower.live_hosts().size() == 1);
}

}  // namespace applestand
