// Measures how often a fleet reads the log's head, in simulated time. Hosts
// share their evidence in heartbeat replies, and a host reads the head only if
// it has no recent evidence. Argument: number of hosts.

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "lib/config/head_poll_scheduler.h"
#include "lib/freshness/freshness.h"
#include "lib/membership/membership.h"

namespace applestand {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kWarmUp = std::chrono::seconds(15);
constexpr Duration kMeasured = std::chrono::seconds(15);

struct Host {
  Host(size_t index, TimePoint now)
      : membership({}, RecordOf(index)),
        watch({}, index, now),
        freshness(Freshness::Options()) {}

  static HostRecord RecordOf(size_t index) {
    HostRecord record;
    record.host = HostId("h" + std::to_string(index));
    record.incarnation = Incarnation(1);
    record.zone = ZoneId("z" + std::to_string(index % 6));
    record.control_address = std::to_string(index);
    return record;
  }

  Membership membership;
  HeadPollScheduler watch;
  Freshness freshness;
};

class Fleet {
 public:
  explicit Fleet(size_t hosts) {
    std::vector<ListedHost> listed;
    for (size_t i = 0; i < hosts; ++i) {
      m_hosts.push_back(std::make_unique<Host>(i, m_clock.Now()));
      const HostRecord record = Host::RecordOf(i);
      listed.push_back({record.host, record.control_address, false});
    }
    for (const auto& host : m_hosts) {
      host->membership.OnHostList(listed, m_clock.Now());
    }
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      m_clock.Advance(kStep);
      for (const auto& host : m_hosts) {
        Step(*host);
      }
    }
  }

  size_t reads = 0;

 private:
  void Step(Host& host) {
    const TimePoint now = m_clock.Now();
    for (const auto& out : host.membership.DueHeartbeats(now)) {
      Host& peer = *m_hosts[std::stoul(out.address)];
      auto reply = peer.membership.OnHeartbeat(out.heartbeat, now);
      host.membership.OnHeartbeatReply(reply, now);
      if (const auto evidence = peer.freshness.Evidence(now)) {
        host.freshness.OnPeerEvidence(now, *evidence);
        host.watch.OnEvidence(now - evidence->age);
      }
    }
    if (host.watch.StartPollIfDue(now)) {
      ++reads;
      host.freshness.OnHeadRead(now, ConfigVersion(1));
      host.watch.OnPollDone(now);
    }
  }

  ManualClock m_clock;
  std::vector<std::unique_ptr<Host>> m_hosts;
};

void BenchHeadReads(benchmark::State& bench) {
  for (auto _ : bench) {
    Fleet fleet(static_cast<size_t>(bench.range(0)));
    fleet.Run(kWarmUp);
    fleet.reads = 0;
    fleet.Run(kMeasured);
    bench.counters["reads_per_s"] =
        static_cast<double>(fleet.reads) / ToSeconds(kMeasured);
  }
}

BENCHMARK(BenchHeadReads)
    ->Arg(10)
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

}  // namespace
}  // namespace applestand

BENCHMARK_MAIN();
