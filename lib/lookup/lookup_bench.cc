// Benchmarks of lookups and of configuration encoding, decoding and changes for
// configurations of increasing size. Benchmark arguments: number of client
// blocks, number of regions with entry hosts.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/config/messages.h"
#include "lib/config/replica.h"
#include "lib/lookup/lookup_map.h"

namespace applestand {
namespace {

constexpr size_t kHostsPerRegion = 4;
constexpr uint32_t kRegionsPerBlock = 3;

RegionId MakeRegionId(size_t index) {
  return RegionId("region-" + std::to_string(index));
}

std::string MakeNetwork(uint32_t index) {
  const uint32_t address = 0x0a000000 + (index << 8);
  return std::to_string(address >> 24) + "." +
         std::to_string((address >> 16) & 255) + "." +
         std::to_string((address >> 8) & 255) + ".0/24";
}

ClientBlock MakeBlock(uint32_t index, uint32_t regions) {
  ClientBlock block;
  block.network = MakeNetwork(index);
  for (uint32_t i = 0; i < kRegionsPerBlock; ++i) {
    block.regions.push_back(MakeRegionId((index * 7 + i * 13) % regions));
  }
  return block;
}

ConfigState MakeState(const benchmark::State& bench) {
  ConfigState state;
  state.version = ConfigVersion(1);
  for (uint32_t i = 0; i < bench.range(0); ++i) {
    ClientBlock block = MakeBlock(i, static_cast<uint32_t>(bench.range(1)));
    std::string network = block.network;
    state.blocks.emplace(std::move(network), std::move(block));
  }
  return state;
}

std::vector<EntryHost> MakeHosts(const benchmark::State& bench) {
  std::vector<EntryHost> hosts;
  for (int64_t region = 0; region < bench.range(1); ++region) {
    for (size_t i = 0; i < kHostsPerRegion; ++i) {
      hosts.push_back({HostId("host-" + std::to_string(hosts.size())),
                       MakeRegionId(static_cast<size_t>(region)),
                       "10.9.100.100:8080"});
    }
  }
  return hosts;
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

LookupMap MakeMap(const benchmark::State& bench) {
  return {LookupMap::Options(),
          std::make_shared<BlockTable>(MakeState(bench).blocks),
          std::make_shared<LookupMap::KeyAccounts>(), MakeHosts(bench)};
}

void BenchFind(benchmark::State& bench) {
  const size_t before = HeapBytes();
  const LookupMap map = MakeMap(bench);
  bench.counters["map_bytes"] = static_cast<double>(HeapBytes() - before);
  bench.counters["table_bytes"] =
      static_cast<double>(map.blocks()->heap_bytes());
  uint32_t number = 1;
  for (auto _ : bench) {
    number = number * 1664525 + 1013904223;
    const uint32_t block = number % static_cast<uint32_t>(bench.range(0));
    benchmark::DoNotOptimize(
        map.Find(0x0a000000 + (block << 8) + 1, std::nullopt));
  }
}

void BenchBuildTable(benchmark::State& bench) {
  const ConfigState state = MakeState(bench);
  for (auto _ : bench) {
    benchmark::DoNotOptimize(BlockTable(state.blocks));
  }
}

void BenchRebuildHosts(benchmark::State& bench) {
  const auto blocks = std::make_shared<BlockTable>(MakeState(bench).blocks);
  const auto keys = std::make_shared<LookupMap::KeyAccounts>();
  const std::vector<EntryHost> hosts = MakeHosts(bench);
  for (auto _ : bench) {
    benchmark::DoNotOptimize(LookupMap({}, blocks, keys, hosts));
  }
}

void BenchLoadSnapshot(benchmark::State& bench) {
  const std::string bytes = EncodeSnapshot(MakeState(bench));
  bench.counters["snapshot_bytes"] = static_cast<double>(bytes.size());
  const size_t before = HeapBytes();
  Reason reason;
  {
    const auto state = DecodeSnapshot(bytes, reason);
    bench.counters["state_bytes"] = static_cast<double>(HeapBytes() - before);
  }
  for (auto _ : bench) {
    benchmark::DoNotOptimize(DecodeSnapshot(bytes, reason));
  }
}

void BenchEncodeSnapshot(benchmark::State& bench) {
  const ConfigState state = MakeState(bench);
  for (auto _ : bench) {
    benchmark::DoNotOptimize(EncodeSnapshot(state));
  }
}

Change MakeBlockChange(const benchmark::State& bench, uint32_t index) {
  return {ChangeId("change-" + std::to_string(index)), "ana",
          ConfigVersion(index + 2),
          Put<ClientBlock>{
              MakeBlock(index, static_cast<uint32_t>(bench.range(1)))}};
}

void BenchEncodeChange(benchmark::State& bench) {
  const Change change = MakeBlockChange(bench, 0);
  bench.counters["change_bytes"] = static_cast<double>(Encode(change).size());
  for (auto _ : bench) {
    benchmark::DoNotOptimize(Encode(change));
  }
}

void BenchDecodeChange(benchmark::State& bench) {
  const std::string bytes = Encode(MakeBlockChange(bench, 0));
  Reason reason;
  for (auto _ : bench) {
    benchmark::DoNotOptimize(Decode<Change>(bytes, reason));
  }
}

void BenchApplyChange(benchmark::State& bench) {
  ConfigReplica replica;
  Reason reason;
  (void)replica.InstallSnapshot(EncodeSnapshot(MakeState(bench)), reason);
  Change change = MakeBlockChange(bench, 0);
  for (auto _ : bench) {
    change.version = replica.version().Next();
    benchmark::DoNotOptimize(replica.Apply(change));
  }
}

void AddSizes(benchmark::internal::Benchmark* bench) {
  for (const int64_t blocks : {1000, 10000, 100000, 350000}) {
    for (const int64_t regions : {100, 1000, 6800}) {
      bench->Args({blocks, regions});
    }
  }
}

BENCHMARK(BenchFind)->Apply(AddSizes);
BENCHMARK(BenchBuildTable)->Apply(AddSizes)->Unit(benchmark::kMillisecond);
BENCHMARK(BenchRebuildHosts)->Apply(AddSizes)->Unit(benchmark::kMillisecond);
BENCHMARK(BenchLoadSnapshot)->Apply(AddSizes)->Unit(benchmark::kMillisecond);
BENCHMARK(BenchEncodeSnapshot)->Apply(AddSizes)->Unit(benchmark::kMillisecond);
BENCHMARK(BenchEncodeChange)->Args({1000, 6800});
BENCHMARK(BenchDecodeChange)->Args({1000, 6800});
BENCHMARK(BenchApplyChange)->Apply(AddSizes);

}  // namespace
}  // namespace applestand

BENCHMARK_MAIN();
