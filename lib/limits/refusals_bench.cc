#include "lib/limits/refusals_bench.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "lib/limits/fleet_fixture.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 10;
constexpr size_t kRegions = 3;
constexpr size_t kPartitionedRegion = 2;
constexpr size_t kDeadHost = 4;
// Demand of an account as a multiple of its contract's rate.
constexpr double kDemandFactor = 0.85;
constexpr double kNoisyDemandFactor = 5;
constexpr Duration kWarmUp = seconds(90);
constexpr Duration kMeasurementTime = seconds(150);
constexpr Duration kFaultStart = seconds(20);
constexpr Duration kFaultDuration = seconds(60);
constexpr Duration kMoveInterval = seconds(5);
// Requests that go to an account's hot host; the others go to random hosts.
constexpr int kHotHostPercent = 80;

enum class Placement { kUniform, kOneHost, kMoving };
enum class Fault { kNone, kDeadHost, kTableOutage, kPartition, kNoisy };

struct Scenario {
  const char* name;
  Placement placement;
  Fault fault;
};

struct Account {
  ClientAccountId id;
  Contract contract;
  // State of an ideal token bucket with the whole contract, which decides on
  // every request at its arrival. Requests that it admits are conforming.
  double ideal_tokens = 0;
  TimePoint ideal_at;
  uint64_t conforming = 0;
  uint64_t conforming_refused = 0;
  uint64_t admitted = 0;
  // A token bucket with the whole contract, charged for every request that the
  // hosts admitted. Negative if they admitted more than the contract.
  double charged_tokens = 0;
  double min_charged_tokens = 0;
  TimePoint charged_at;
};

size_t RegionOf(size_t host) {
  return host % kRegions;
}

/// Runs one scenario when constructed. Without loans every host has only the
/// tokens of its own contract shares.
class Simulation {
 public:
  Simulation(const Scenario& scenario, bool loans, Duration region_delay)
      : m_scenario(scenario),
        m_region_delay(region_delay),
        m_random(7),
        m_fleet(MakeOptions(loans),
                [this](size_t from, size_t to) { return Delays(from, to); }) {
    m_fleet.SetTableCallPlanner([this](size_t host) {
      const bool partitioned = IsPartitioned(host, 0);
      return FleetFixture::TableCall{milliseconds(10), partitioned, false};
    });
    const std::vector<Contract> contracts = {
        {400, 200, 1}, {300, 100, 1}, {50, 25, 1}, {40, 20, 1},
        {30, 10, 1},   {20, 10, 1},   {10, 5, 1},  {5, 3, 1}};
    ConfigState config;
    config.version = ConfigVersion(1);
    for (size_t i = 0; i < contracts.size(); ++i) {
      Account account;
      account.id = ClientAccountId("account-" + std::to_string(i));
      account.contract = contracts[i];
      account.ideal_tokens = contracts[i].burst;
      account.charged_tokens = contracts[i].burst;
      account.min_charged_tokens = contracts[i].burst;
      m_accounts.push_back(account);
      config.accounts[account.id] = {account.id, account.contract};
    }
    m_fleet.SetConfig(config);
    for (size_t i = 0; i < kHosts; ++i) {
      m_fleet.AddHost(HostId("host-" + std::to_string(i)),
                      seconds(100 * static_cast<int>(i)));
    }
    m_start = m_fleet.now() + kWarmUp;
    for (size_t i = 0; i < m_accounts.size(); ++i) {
      Schedule(i);
    }
    if (scenario.fault == Fault::kDeadHost) {
      m_fleet.At(m_start + kFaultStart, [this] { m_fleet.Kill(kDeadHost); });
    }
    if (scenario.fault == Fault::kTableOutage) {
      m_fleet.At(m_start + kFaultStart, [this] {
        m_fleet.table().SetFault(FakeTableService::Fault::kDown);
      });
      m_fleet.At(m_start + kFaultStart + kFaultDuration, [this] {
        m_fleet.table().SetFault(FakeTableService::Fault::kNone);
      });
    }
    m_fleet.RunUntil(m_start);
    m_messages_before = m_fleet.messages();
    m_fleet.RunUntil(m_start + kMeasurementTime + seconds(1));
  }

  void Print(const char* mechanism) {
    uint64_t conforming = 0;
    uint64_t refused = 0;
    double worst = 0;
    double max_excess = 0;
    double net_refused = 0;
    std::string per_account;
    for (size_t i = 0; i < m_accounts.size(); ++i) {
      const Account& account = m_accounts[i];
      const double refused_percent =
          100.0 * static_cast<double>(account.conforming_refused) /
          static_cast<double>(account.conforming);
      char text[32];
      (void)snprintf(text, sizeof(text), " %5.2f", refused_percent);
      per_account += text;
      max_excess = std::max(max_excess, -account.min_charged_tokens);
      if (IsNoisy(i)) {
        continue;
      }
      conforming += account.conforming;
      net_refused +=
          account.conforming > account.admitted
              ? static_cast<double>(account.conforming - account.admitted)
              : 0;
      refused += account.conforming_refused;
      worst = std::max(worst, refused_percent);
    }
    std::sort(m_waits_ms.begin(), m_waits_ms.end());
    const double noisy = static_cast<double>(m_accounts[0].admitted) /
                         static_cast<double>(m_accounts[0].conforming);
    printf(
        "%-22s %-11s %8.3f %7.3f %6.2f %6.0f %6.0f %7.0f %6.3f %6.2f |%s\n",
        m_scenario.name, mechanism,
        100.0 * static_cast<double>(refused) / static_cast<double>(conforming),
        100.0 * net_refused / static_cast<double>(conforming), worst,
        WaitQuantileMs(0.9), WaitQuantileMs(0.99),
        static_cast<double>(m_fleet.messages() - m_messages_before) /
            ToSeconds(kMeasurementTime) / kHosts,
        noisy, max_excess, per_account.c_str());
  }

 private:
  static FleetFixture::Options MakeOptions(bool loans) {
    FleetFixture::Options options;
    options.loans = loans;
    return options;
  }

  bool IsNoisy(size_t account) const {
    return m_scenario.fault == Fault::kNoisy && account == 0;
  }

  bool IsFaultActive() const {
    const Duration age = m_fleet.now() - m_start;
    return age >= kFaultStart && age < kFaultStart + kFaultDuration;
  }

  bool IsPartitioned(size_t host, size_t other) const {
    return m_scenario.fault == Fault::kPartition && IsFaultActive() &&
           (RegionOf(host) == kPartitionedRegion) !=
               (RegionOf(other) == kPartitionedRegion);
  }

  std::vector<Duration> Delays(size_t from, size_t to) {
    if (IsPartitioned(from, to)) {
      return {};
    }
    if (RegionOf(from) == RegionOf(to)) {
      return {milliseconds(1)};
    }
    return {m_region_delay};
  }

  double WaitQuantileMs(double quantile) const {
    if (m_waits_ms.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(m_waits_ms.size() - 1);
    return m_waits_ms[static_cast<size_t>(quantile * last)];
  }

  // Schedules the next request of an account. Arrivals are a Poisson process.
  void Schedule(size_t index) {
    const double factor = IsNoisy(index) ? kNoisyDemandFactor : kDemandFactor;
    std::exponential_distribution<double> gap(
        m_accounts[index].contract.requests_per_second * factor);
    const auto wait = Duration(static_cast<int64_t>(gap(m_random) * 1e6));
    m_fleet.At(m_fleet.now() + wait, [this, index] {
      Arrive(index);
      Schedule(index);
    });
  }

  size_t PickHost(size_t account) {
    const auto moves = (m_fleet.now() - TimePoint()) / kMoveInterval;
    size_t host = 0;
    if (m_scenario.placement == Placement::kMoving) {
      host = (static_cast<size_t>(moves) * 3 + account) % kHosts;
    }
    if (m_scenario.placement == Placement::kUniform ||
        (m_scenario.placement == Placement::kMoving &&
         m_random() % 100 >= kHotHostPercent)) {
      host = m_random() % kHosts;
    }
    return m_fleet.IsDead(host) ? (host + 1) % kHosts : host;
  }

  void Arrive(size_t index) {
    Account& account = m_accounts[index];
    const TimePoint now = m_fleet.now();
    const double rate = account.contract.requests_per_second;
    account.ideal_tokens = std::min(
        account.contract.burst,
        account.ideal_tokens + rate * ToSeconds(now - account.ideal_at));
    account.ideal_at = now;
    const bool conforming = account.ideal_tokens >= 1;
    account.ideal_tokens -= conforming ? 1 : 0;
    const Duration age = now - m_start;
    const bool measured = age >= Duration::zero() && age < kMeasurementTime;
    account.conforming += conforming && measured ? 1 : 0;
    m_fleet.Arrive(
        PickHost(index),
        {account.id, [this, index, conforming, measured, now](bool admitted) {
           OnDone(m_accounts[index], conforming, measured, now, admitted);
         }});
  }

  void OnDone(Account& account,
              bool conforming,
              bool measured,
              TimePoint arrived,
              bool admitted) {
    if (admitted) {
      const double refill = account.contract.requests_per_second *
                            ToSeconds(m_fleet.now() - account.charged_at);
      account.charged_tokens =
          std::min(account.contract.burst, account.charged_tokens + refill);
      account.charged_tokens -= 1;
      account.charged_at = m_fleet.now();
      account.min_charged_tokens =
          std::min(account.min_charged_tokens, account.charged_tokens);
    }
    if (!measured) {
      return;
    }
    account.admitted += admitted ? 1 : 0;
    account.conforming_refused += conforming && !admitted ? 1 : 0;
    if (admitted) {
      m_waits_ms.push_back(ToSeconds(m_fleet.now() - arrived) * 1000);
    }
  }

  const Scenario m_scenario;
  const Duration m_region_delay;
  std::mt19937 m_random;
  FleetFixture m_fleet;
  std::vector<Account> m_accounts;
  TimePoint m_start;
  uint64_t m_messages_before = 0;
  std::vector<double> m_waits_ms;
};

}  // namespace

void PrintRefusals(int delay_ms) {
  const std::vector<Scenario> scenarios = {
      {"uniform", Placement::kUniform, Fault::kNone},
      {"one host", Placement::kOneHost, Fault::kNone},
      {"moving hot host", Placement::kMoving, Fault::kNone},
      {"dead host, uniform", Placement::kUniform, Fault::kDeadHost},
      {"dead host, moving", Placement::kMoving, Fault::kDeadHost},
      {"table outage, uniform", Placement::kUniform, Fault::kTableOutage},
      {"table outage, moving", Placement::kMoving, Fault::kTableOutage},
      {"partition, uniform", Placement::kUniform, Fault::kPartition},
      {"partition, moving", Placement::kMoving, Fault::kPartition},
      {"account 0 at 5x, uniform", Placement::kUniform, Fault::kNoisy},
      {"account 0 at 5x, moving", Placement::kMoving, Fault::kNoisy},
  };
  printf(
      "%d hosts, 12 contract shares, %d ms between regions. Refused %% of "
      "conforming requests: all; all less others admitted in their place; "
      "worst account. Wait p90, p99 in ms; loan messages/s per host; account 0 "
      "admitted/conforming; largest excess over a contract in tokens; refused "
      "%% per account\n",
      static_cast<int>(kHosts), delay_ms);
  for (const Scenario& scenario : scenarios) {
    Simulation(scenario, false, milliseconds(delay_ms)).Print("fixed share");
    Simulation(scenario, true, milliseconds(delay_ms)).Print("loans");
  }
}

}  // namespace applestand
