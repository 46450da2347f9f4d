#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <vector>

#include "lib/routing/capacity_report.h"
#include "lib/routing/router.h"
#include "lib/targets/target_pool.h"

namespace applestand {
namespace {

const ServiceId kDesk("desk");
const RegionId kRegion("norte");
const TimePoint kStart{std::chrono::hours(1)};
constexpr int kHosts = 10;

std::map<TargetId, Target> MakeTargets(int64_t count) {
  std::map<TargetId, Target> targets;
  for (int64_t i = 0; i < count; ++i) {
    Target target;
    target.id = TargetId("desk-target-" + std::to_string(i));
    target.service = kDesk;
    target.region = kRegion;
    target.zone = ZoneId("norte-a");
    target.address = "127.0.0.1:8000";
    target.slots = 4;
    targets[target.id] = target;
  }
  return targets;
}

std::vector<LiveHost> MakeHosts() {
  std::vector<LiveHost> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back({HostId("entry-" + std::to_string(i)), kRegion});
  }
  return hosts;
}

size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

void BuildHomeMap(benchmark::State& state) {
  const auto targets = MakeTargets(state.range(0));
  const auto hosts = MakeHosts();
  for (auto _ : state) {
    const HomeMap map(targets, hosts);
    benchmark::DoNotOptimize(&map);
  }
  const size_t before = AllocatedBytes();
  const HomeMap map(targets, hosts);
  state.counters["bytes_per_target"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(state.range(0));
}
BENCHMARK(BuildHomeMap)->Arg(100)->Arg(1000)->Arg(6800);

/// Submits and finishes one request at a home host that has about one tenth of
/// the targets, with half of their slots in use.
void SubmitAndFinish(benchmark::State& state) {
  const HomeMap map(MakeTargets(state.range(0)), MakeHosts());
  const auto own = map.TargetsOf(HostId("entry-0"));
  PoolPolicy policy;
  policy.target.cold_slots = 4;
  const size_t before = AllocatedBytes();
  TargetPool pool(policy);
  pool.SetTargets(own, kStart);
  state.counters["bytes_per_own_target"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(own.size());
  const TimePoint deadline = kStart + std::chrono::seconds(1);
  uint64_t id = 0;
  const auto submit = [&] {
    ++id;
    pool.Submit(
        {DispatchId(id), kDesk, ClientAccountId("coop"), 1, deadline, {}},
        kStart);
  };
  for (size_t i = 0; i < own.size() * 2; ++i) {
    submit();
  }
  const uint64_t running = id;
  for (auto _ : state) {
    submit();
    pool.OnFinished(DispatchId(id - running), TargetOutcome::kServed,
                    std::nullopt, kStart);
  }
}
BENCHMARK(SubmitAndFinish)->Arg(100)->Arg(1000)->Arg(6800);

void Choose(benchmark::State& state) {
  CapacityGrantHolder grants(HostId("entry-0"), Incarnation(1), kRegion, {});
  TrafficShares shares(kRegion, {});
  Router router(HostId("entry-0"), kRegion, {}, grants, shares);
  router.SetHomes(HomeMap(MakeTargets(state.range(0)), MakeHosts()));
  uint64_t sequence = 0;
  for (const LiveHost& host : MakeHosts()) {
    router.OnReport({host.id,
                     Incarnation(1),
                     ++sequence,
                     {{kDesk, 1000, 1'000'000'000, 0, Duration::zero()}}},
                    kStart);
  }
  RouteRefusal refusal;
  uint64_t hash = 0;
  for (auto _ : state) {
    RouteQuery query{kDesk, ++hash};
    benchmark::DoNotOptimize(router.Choose(query, kStart, refusal));
  }
}
BENCHMARK(Choose)->Arg(100)->Arg(1000)->Arg(6800);

void QueueUnderFullLoad(benchmark::State& state) {
  FairQueue queue({512, 128, 4});
  const TimePoint deadline = kStart + std::chrono::seconds(1);
  uint64_t id = 0;
  std::vector<ClientAccountId> accounts;
  for (int64_t i = 0; i < state.range(0); ++i) {
    accounts.emplace_back("account-" + std::to_string(i));
  }
  const auto enqueue = [&] {
    ++id;
    queue.Enqueue(
        {DispatchId(id), accounts[id % accounts.size()], 1, deadline, {}});
  };
  for (int i = 0; i < 400; ++i) {
    enqueue();
  }
  for (auto _ : state) {
    enqueue();
    benchmark::DoNotOptimize(queue.Dequeue(kStart));
  }
}
BENCHMARK(QueueUnderFullLoad)->Arg(8)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace applestand
