#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "lib/limits/account_limiter.h"
#include "lib/limits/refusals_bench.h"

namespace applestand {
namespace {

ConfigState MakeConfig(int64_t accounts) {
  ConfigState config;
  config.version = ConfigVersion(1);
  for (int64_t i = 0; i < accounts; ++i) {
    const ClientAccountId id("account-" + std::to_string(i));
    config.accounts[id] = {id, {1000, 100, 1}};
  }
  return config;
}

std::vector<HostId> MakePeers(int64_t count) {
  std::vector<HostId> peers;
  for (int64_t i = 0; i < count; ++i) {
    peers.emplace_back("host-" + std::to_string(i));
  }
  return peers;
}

ShareGrant GrantOfOneShare(TimePoint from) {
  const Duration start = from.time_since_epoch();
  OwnedShare share;
  share.from = start;
  share.until = start + std::chrono::hours(10);
  return {Incarnation(1), 1, {share}};
}

void BenchTryTake(benchmark::State& state) {
  ManualClock clock;
  AccountLimiter limiter(HostId("self"), Incarnation(1), clock.Now(), {});
  const size_t before = mallinfo2().uordblks;
  const ConfigState config = MakeConfig(state.range(0));
  const size_t config_bytes = mallinfo2().uordblks - before;
  limiter.ApplyContracts(clock.Now(), config);
  limiter.ApplyGrant(clock.Now(), GrantOfOneShare(clock.Now()));
  clock.Advance(std::chrono::seconds(10));
  std::vector<ClientAccountId> ids;
  for (const auto& [id, account] : config.accounts) {
    ids.push_back(id);
  }
  size_t next = 0;
  for (auto step : state) {
    clock.Advance(Duration(100));
    benchmark::DoNotOptimize(limiter.TryTake(ids[next], clock.Now()));
    next = next + 1 < ids.size() ? next + 1 : 0;
  }
  const size_t all = mallinfo2().uordblks - before - config_bytes;
  state.counters["bytes/account"] =
      static_cast<double>(all) / static_cast<double>(ids.size());
}
BENCHMARK(BenchTryTake)->Arg(100)->Arg(1000)->Arg(10000);

// Every account has received a request and borrows tokens.
void BenchTick(benchmark::State& state) {
  ManualClock clock;
  AccountLimiter limiter(HostId("self"), Incarnation(1), clock.Now(), {});
  const ConfigState config = MakeConfig(state.range(0));
  limiter.ApplyContracts(clock.Now(), config);
  limiter.ApplyGrant(clock.Now(), GrantOfOneShare(clock.Now()));
  limiter.SetPeers(MakePeers(10));
  clock.Advance(std::chrono::seconds(10));
  for (auto step : state) {
    state.PauseTiming();
    clock.Advance(std::chrono::milliseconds(25));
    for (const auto& [id, account] : config.accounts) {
      benchmark::DoNotOptimize(limiter.TryTake(id, clock.Now()));
    }
    state.ResumeTiming();
    limiter.Tick(clock.Now());
    benchmark::DoNotOptimize(limiter.TakeOutbox());
  }
}
BENCHMARK(BenchTick)->Arg(100)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  if (argc > 1 && strcmp(argv[1], "--refusals") == 0) {
    const int delay_ms = argc > 2 ? atoi(argv[2]) : 20;
    applestand::PrintRefusals(delay_ms);
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
