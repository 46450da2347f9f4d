#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "lib/claims/claim_manager.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand {

namespace {

constexpr int kHosts = 10;
constexpr Duration kTick = std::chrono::milliseconds(1);
constexpr Duration kTargetProcessingTime = std::chrono::milliseconds(20);
constexpr int kSimulatedSeconds = 20;

class UnavailableObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& /*key*/,
                     const std::string& /*bytes*/) override {
    return TableStatus::kUnavailable;
  }
  GetResult Get(const std::string& /*key*/) override { return {}; }
};

struct PendingCall {
  TimePoint completion_time;
  ClaimStoreCall call;
};

struct Host {
  std::unique_ptr<ClaimManager> manager;
  Duration round_trip{};
  std::deque<PendingCall> calls;
  std::deque<std::pair<TimePoint, ClaimRequestId>> running;
};

/// A fleet of ten hosts, four in the region of the table (2 ms round trip) and
/// six in other regions (42 ms). Payment requests arrive as a Poisson process.
class Fleet {
 public:
  explicit Fleet(const ClaimOptions& options) {
    for (int i = 0; i < kHosts; ++i) {
      m_hosts[i].manager = std::make_unique<ClaimManager>(
          options, HostId(std::to_string(i)), Incarnation(1));
      m_hosts[i].round_trip = std::chrono::milliseconds(i < 4 ? 2 : 42);
    }
  }

  void Run(double payments_per_second) {
    std::poisson_distribution<int> arrivals(payments_per_second *
                                            ToSeconds(kTick));
    const TimePoint end = m_now + std::chrono::seconds(kSimulatedSeconds);
    for (; m_now < end; m_now += kTick) {
      for (int n = arrivals(m_random); n > 0; --n) {
        Arrive();
      }
      for (Host& host : m_hosts) {
        Step(host);
      }
    }
  }

  ClaimCounters Sum() const {
    ClaimCounters sum;
    for (const Host& host : m_hosts) {
      sum.granted += host.manager->counters().granted;
      sum.unavailable += host.manager->counters().unavailable;
      sum.transactions += host.manager->counters().transactions;
      sum.rows_written += host.manager->counters().rows_written;
    }
    return sum;
  }

  /// Returns the `quantile` (0 to 1) of the time from arrival to granted claim.
  double ClaimWaitMs(double quantile) {
    if (m_claim_waits.empty()) {
      return 0;
    }
    std::sort(m_claim_waits.begin(), m_claim_waits.end());
    const auto last_index = static_cast<double>(m_claim_waits.size() - 1);
    return static_cast<double>(
        ToMillis(m_claim_waits[static_cast<size_t>(quantile * last_index)]));
  }

 private:
  void Arrive() {
    ClaimRequest request;
    request.id = ClaimRequestId(++m_last_id);
    request.account = ClientAccountId("lenha");
    request.key = IdempotencyKey(std::to_string(m_last_id));
    request.hash = RequestHash("hash");
    request.deadline = m_now + std::chrono::seconds(5);
    m_arrival_times.push_back(m_now);
    m_hosts[m_random() % kHosts].manager->Begin(std::move(request), m_now);
  }

  void Step(Host& host) {
    while (!host.calls.empty() && host.calls.front().completion_time <= m_now) {
      host.manager->OnResult(
          Execute(host.calls.front().call, m_table, m_objects), m_now);
      host.calls.pop_front();
    }
    for (const ClaimEvent& event : host.manager->TakeEvents()) {
      if (event.kind != ClaimEvent::Kind::kGranted) {
        continue;
      }
      m_claim_waits.push_back(m_now -
                              m_arrival_times[event.request.value() - 1]);
      host.running.emplace_back(m_now + kTargetProcessingTime, event.request);
    }
    while (!host.running.empty() && host.running.front().first <= m_now) {
      host.manager->Finish(host.running.front().second, Ran::kRan,
                           ClaimOutcome{201, {}, "{\"paid\":true}", "", false},
                           m_now);
      host.running.pop_front();
    }
    while (auto call = host.manager->NextStoreCall(m_now)) {
      host.calls.push_back({m_now + host.round_trip, std::move(*call)});
    }
  }

  Host m_hosts[kHosts];
  FakeTableService m_table;
  UnavailableObjectStore m_objects;
  std::mt19937_64 m_random{20261203};
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_last_id = 0;
  std::vector<TimePoint> m_arrival_times;
  std::vector<Duration> m_claim_waits;
};

/// Arguments: payments per second over the whole fleet; minimum write interval
/// in ms; maximum number of rows in a transaction.
void GroupCommit(benchmark::State& state) {
  const double rate = static_cast<double>(state.range(0));
  ClaimOptions options;
  options.min_write_interval = std::chrono::milliseconds(state.range(1));
  options.max_batch = static_cast<size_t>(state.range(2));
  for (auto _ : state) {
    Fleet fleet(options);
    fleet.Run(rate);
    const ClaimCounters sum = fleet.Sum();
    state.counters["transactions/s"] =
        static_cast<double>(sum.transactions) / kSimulatedSeconds;
    state.counters["rows/s"] =
        static_cast<double>(sum.rows_written) / kSimulatedSeconds;
    state.counters["claims/transaction"] =
        static_cast<double>(sum.granted) /
        static_cast<double>(std::max<uint64_t>(1, sum.transactions));
    state.counters["refused/s"] =
        static_cast<double>(sum.unavailable) / kSimulatedSeconds;
    state.counters["wait_p50_ms"] = fleet.ClaimWaitMs(0.5);
    state.counters["wait_p99_ms"] = fleet.ClaimWaitMs(0.99);
  }
}
BENCHMARK(GroupCommit)
    ->ArgsProduct({{20, 100, 500, 2000}, {0, 20, 40, 80}, {64}})
    ->ArgsProduct({{20, 100, 500, 2000}, {0}, {1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Measures one claim from Begin to the recorded outcome, excluding the time of
/// the table: every call succeeds at once.
void OneClaim(benchmark::State& state) {
  ClaimOptions options;
  options.min_write_interval = Duration::zero();
  ClaimManager manager(options, HostId("h"), Incarnation(1));
  const TimePoint now{std::chrono::hours(1)};
  const auto complete_all_calls = [&manager, now] {
    while (const auto call = manager.NextStoreCall(now)) {
      ClaimStoreCallResult result;
      result.id = call->id;
      result.status = TableStatus::kOk;
      manager.OnResult(result, now);
    }
  };
  uint64_t id = 0;
  constexpr uint64_t kBatch = 64;
  for (auto _ : state) {
    const uint64_t first = id;
    for (uint64_t i = 0; i < kBatch; ++i) {
      ClaimRequest request;
      request.id = ClaimRequestId(++id);
      request.account = ClientAccountId("lenha");
      request.key = IdempotencyKey(std::to_string(id));
      request.hash = RequestHash("hash");
      request.deadline = now + std::chrono::seconds(5);
      manager.Begin(std::move(request), now);
    }
    complete_all_calls();
    benchmark::DoNotOptimize(manager.TakeEvents());
    for (uint64_t i = first + 1; i <= id; ++i) {
      manager.Finish(ClaimRequestId(i), Ran::kRan,
                     ClaimOutcome{201, {}, "{\"paid\":true}", "", false}, now);
    }
    complete_all_calls();
  }
  state.SetItemsProcessed(static_cast<int64_t>(id));
}
BENCHMARK(OneClaim);

}  // namespace

}  // namespace applestand

BENCHMARK_MAIN();
