#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

#include "lib/routing/routing_algorithms_bench.h"

namespace applestand::bench {
namespace {

double Percentile(std::vector<float> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const double last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<size_t>(fraction * last);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void Print(const char* algorithm, Scenario scenario, const Result& result) {
  std::vector<float> all;
  uint64_t received = 0;
  uint64_t served = 0;
  double worst_served = 1;
  double worst_p99 = 0;
  for (size_t i = 0; i < result.accounts.size(); ++i) {
    const AccountCounts& account = result.accounts[i];
    received += account.received;
    served += account.served;
    all.insert(all.end(), account.latencies_ms.begin(),
               account.latencies_ms.end());
    if (scenario == Scenario::kAccountFiveTimes && i == kNoisyAccount) {
      continue;  // The minima cover only accounts that keep to their rate.
    }
    worst_served =
        std::min(worst_served, static_cast<double>(account.served) /
                                   static_cast<double>(account.received));
    worst_p99 = std::max(worst_p99, Percentile(account.latencies_ms, 0.99));
  }
  std::printf(
      "%-15s %-22s %7lu %7lu %7lu %5lu %6lu %7.1f %7.1f %6.1f %8.4f %8.1f "
      "%7.0f %4lu\n",
      ToString(scenario), algorithm, received, served, result.refused,
      result.lost, result.sheds, Percentile(all, 0.5), Percentile(all, 0.99),
      result.headroom_percent, worst_served, worst_p99, result.drain_ms,
      result.late_starts);
  std::printf("%-15s %-22s between regions: %lu\n", "", "",
              result.cross_region);
  std::fflush(stdout);
}

void Compare(const Deployment& deployment, bool with_baseline) {
  std::printf(
      "\n%s\n%-15s %-22s %7s %7s %7s %5s %6s %7s %7s %6s %8s %8s %7s "
      "%4s\n",
      deployment.name.c_str(), "scenario", "choice", "asked", "served",
      "refused", "cut", "sheds", "p50 ms", "p99 ms", "free%", "worst", "w.p99",
      "drain", "late");
  for (const Scenario scenario :
       {Scenario::kNormal, Scenario::kAccountFiveTimes, Scenario::kCrashedHost,
        Scenario::kLostRegion, Scenario::kLostTargets,
        Scenario::kDrainedTarget}) {
    Print("home hosts", scenario,
          HomeHostSimulation(deployment, scenario, false).Run());
    if (!with_baseline) {
      continue;
    }
    Print("home hosts, false load", scenario,
          HomeHostSimulation(deployment, scenario, true).Run());
    Print("two choices, old load", scenario,
          PowerOfTwoSimulation(deployment, scenario, false).Run());
    Print("two choices, false load", scenario,
          PowerOfTwoSimulation(deployment, scenario, true).Run());
  }
}

}  // namespace
}  // namespace applestand::bench

/// Given the argument "compare", prints a comparison of routing algorithms;
/// given "compare home", its results for home hosts only. Otherwise runs the
/// Google Benchmark cases.
int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "compare") == 0) {
    const bool with_baseline = argc == 2;
    applestand::bench::Compare(applestand::bench::LenhaViva(), with_baseline);
    applestand::bench::Compare(applestand::bench::Pwani(), with_baseline);
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
