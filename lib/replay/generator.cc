#include "lib/replay/generator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace applestand {

namespace {

/// Parts of the requests that the accounts send.
constexpr std::array<double, 8> kAccountShares = {0.30, 0.25, 0.20, 0.08,
                                                  0.07, 0.05, 0.03, 0.02};
constexpr size_t kExcessAccount = 1;
constexpr double kRateHeadroom = 1.5;
constexpr double kBurstSeconds = 4;
constexpr double kMinBurst = 10;
constexpr double kMaxRequests = 5e6;
constexpr uint32_t kClientsPerRegion = 200;
constexpr uint32_t kItems = 1000;
/// Makes a key's secret of its account's name.
constexpr const char* kSecretSuffix = "-secret-of-traces";

/// One kind of request of a workload.
struct Operation {
  double share;
  const char* method;
  const char* path;
  /// A number is appended to the path.
  bool numbered;
  bool idempotency_key;
  uint64_t body_bytes;
  Duration deadline;
};

struct Workload {
  const char* name;
  /// First two numbers of the regions' client addresses.
  std::array<const char*, 3> networks;
  std::vector<Operation> operations;
};

Workload Lenha() {
  using std::chrono::seconds;
  return {"lenha",
          {"10.1.", "10.2.", "10.3."},
          {{0.60, "GET", "/stock/", true, false, 0, seconds(2)},
           {0.15, "GET", "/slots/", true, false, 0, seconds(2)},
           {0.12, "POST", "/orders", false, true, 600, seconds(5)},
           {0.08, "POST", "/payments", false, true, 300, seconds(5)},
           {0.05, "PUT", "/photos/", true, true, 400000, seconds(20)}}};
}

Workload Pwani() {
  using std::chrono::seconds;
  return {"pwani",
          {"10.11.", "10.12.", "10.13."},
          {{0.75, "GET", "/wrecks/", true, false, 0, seconds(2)},
           {0.10, "GET", "/register/", true, false, 0, seconds(2)},
           {0.07, "POST", "/claims", false, true, 1500, seconds(5)},
           {0.03, "POST", "/transfers", false, true, 800, seconds(5)},
           {0.05, "PUT", "/scans/", true, true, 1000000, seconds(20)}}};
}

/// Random numbers that are the same with every standard library.
class Dice {
 public:
  explicit Dice(uint64_t seed) : m_engine(seed) {}

  /// Uniform in [0, 1).
  double Uniform() {
    constexpr int kMantissaBits = 53;
    return std::ldexp(static_cast<double>(m_engine() >> (64 - kMantissaBits)),
                      -kMantissaBits);
  }

  uint32_t Below(uint32_t bound) {
    return static_cast<uint32_t>(Uniform() * bound);
  }

  /// Time to the next arrival at a mean rate.
  double Interval(double rate) { return -std::log(1 - Uniform()) / rate; }

 private:
  std::mt19937_64 m_engine;
};

class Generator {
 public:
  Generator(const GeneratorOptions& options, Workload workload)
      : m_options(options),
        m_workload(std::move(workload)),
        m_dice(options.seed) {}

  Trace Run() {
    m_trace.name = m_workload.name;
    for (size_t i = 0; i < kAccountShares.size(); ++i) {
      AddAccount(i);
    }
    std::stable_sort(m_trace.requests.begin(), m_trace.requests.end(),
                     [](const TraceRequest& a, const TraceRequest& b) {
                       return a.at < b.at;
                     });
    // The header is line 1.
    size_t line = 1;
    for (TraceRequest& request : m_trace.requests) {
      request.line = ++line;
    }
    return std::move(m_trace);
  }

 private:
  void AddAccount(size_t index) {
    const std::string account =
        std::string(m_workload.name) + "-" + std::to_string(index + 1);
    const double rate = m_options.rate * kAccountShares.at(index);
    TraceContract contract;
    contract.requests_per_second = rate * kRateHeadroom;
    contract.burst = std::max(kMinBurst, rate * kBurstSeconds);
    m_trace.contracts[account] = contract;

    const bool excess = index == kExcessAccount && m_options.excess > 1;
    const double third = m_options.seconds / 3;
    double at = 0;
    while (true) {
      const bool now = excess && at >= third && at < 2 * third;
      at += m_dice.Interval(
          now ? contract.requests_per_second * m_options.excess : rate);
      if (at >= m_options.seconds) {
        return;
      }
      AddRequest(account, at, !excess);
    }
  }

  void AddRequest(const std::string& account, double at, bool expect) {
    const Operation& operation = PickOperation();
    TraceRequest request;
    request.at = Duration(static_cast<int64_t>(at * 1e6));
    request.client = PickClient();
    request.account = account;
    request.key = account + "." + account + kSecretSuffix;
    request.method = operation.method;
    request.path = operation.path;
    if (operation.numbered) {
      request.path += std::to_string(m_dice.Below(kItems));
    }
    request.body_bytes = operation.body_bytes;
    if (operation.idempotency_key) {
      request.idempotency_key =
          account + "-" + std::to_string(m_trace.requests.size());
    }
    request.deadline = operation.deadline;
    if (expect) {
      request.expect = {{200}, {Ran::kRan}};
    }
    m_trace.requests.push_back(std::move(request));
  }

  const Operation& PickOperation() {
    double left = m_dice.Uniform();
    for (const Operation& operation : m_workload.operations) {
      if (left < operation.share) {
        return operation;
      }
      left -= operation.share;
    }
    return m_workload.operations.back();
  }

  std::string PickClient() {
    const uint32_t region =
        m_dice.Below(static_cast<uint32_t>(m_workload.networks.size()));
    return m_workload.networks.at(region) + std::string("0.") +
           std::to_string(1 + m_dice.Below(kClientsPerRegion));
  }

  const GeneratorOptions m_options;
  const Workload m_workload;
  Dice m_dice;
  Trace m_trace;
};

}  // namespace

std::optional<Trace> GenerateTrace(const GeneratorOptions& options,
                                   Reason& reason) {
  const double requests =
      options.seconds * options.rate * std::max(options.excess, 1.0);
  if (!(options.seconds > 0) || !(options.rate > 0) ||
      !(requests <= kMaxRequests)) {
    reason.text = "seconds or rate is out of range";
    return std::nullopt;
  }
  for (const Workload& workload : {Lenha(), Pwani()}) {
    if (options.workload == workload.name) {
      return Generator(options, workload).Run();
    }
  }
  reason.text = "unknown workload '" + options.workload + "'";
  return std::nullopt;
}

}  // namespace applestand
