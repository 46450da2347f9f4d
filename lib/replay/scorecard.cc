#include "lib/replay/scorecard.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

constexpr size_t kMaxExamples = 20;
constexpr double kMedian = 0.5;
constexpr double kP90 = 0.9;
constexpr double kP99 = 0.99;

double Millis(Duration duration) {
  return ToSeconds(duration) * 1000;
}

template <class T>
bool Allows(const std::vector<T>& allowed, const T& value) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), value) != allowed.end();
}

/// A bucket by the contract, in the time of the replay.
struct ContractBucket {
  double tokens = 0;
  Duration filled_at = Duration::zero();
};

}  // namespace

/// Writes tallies for machines and for people.
struct TallyFormat {
  static nlohmann::json ToJson(const Scorecard::Tally& tally) {
    return {{"requests", tally.requests},
            {"ran", tally.ran},
            {"refused", tally.refused},
            {"refused_inside_rate", tally.refused_inside_rate},
            {"unknown", tally.unknown},
            {"latency_ms",
             {{"p50", Millis(tally.latency.At(kMedian))},
              {"p90", Millis(tally.latency.At(kP90))},
              {"p99", Millis(tally.latency.At(kP99))},
              {"max", Millis(tally.latency.At(1))}}}};
  }

  static std::string ToText(const std::string& name,
                            const Scorecard::Tally& tally) {
    return fmt::format(
        "{:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} "
        "{:>9.2f}\n",
        name, tally.requests, tally.ran, tally.refused,
        tally.refused_inside_rate, tally.unknown,
        Millis(tally.latency.At(kMedian)), Millis(tally.latency.At(kP90)),
        Millis(tally.latency.At(kP99)), Millis(tally.latency.At(1)));
  }
};

Scorecard::Scorecard(const Trace& trace, double speed) : m_trace(trace) {
  DecideInsideRate(speed);
}

void Scorecard::DecideInsideRate(double speed) {
  std::map<std::string, ContractBucket> buckets;
  for (const auto& [account, contract] : m_trace.contracts) {
    buckets[account].tokens = contract.burst;
  }
  for (const TraceRequest& request : m_trace.requests) {
    const auto contract = m_trace.contracts.find(request.account);
    if (contract == m_trace.contracts.end()) {
      continue;
    }
    ContractBucket& bucket = buckets[request.account];
    const double seconds = ToSeconds(request.at - bucket.filled_at) / speed;
    const double gained = seconds * contract->second.requests_per_second;
    bucket.tokens = std::min(contract->second.burst, bucket.tokens + gained);
    bucket.filled_at = request.at;
    const bool inside = bucket.tokens >= 1;
    bucket.tokens -= inside ? 1 : 0;
    m_inside_rate[request.line] = inside;
  }
}

void Scorecard::Add(const TraceRequest& request,
                    const RequestOutcome& outcome) {
  const auto it = m_inside_rate.find(request.line);
  const bool inside = it != m_inside_rate.end() && it->second;
  Count(m_all, outcome, inside);
  Count(m_accounts[request.account], outcome, inside);
  ++m_statuses[outcome.status];
  if (Allows(request.expect.statuses, outcome.status) &&
      Allows(request.expect.ran, outcome.ran)) {
    return;
  }
  ++m_missed;
  if (m_missed_examples.size() < kMaxExamples) {
    m_missed_examples.push_back(
        fmt::format("line {}: {} {} of {}: status {}, ran {}{}{}", request.line,
                    request.method, request.path, request.account,
                    outcome.status, ToString(outcome.ran),
                    outcome.detail.empty() ? "" : ": ", outcome.detail));
  }
}

void Scorecard::Count(Tally& tally,
                      const RequestOutcome& outcome,
                      bool inside) {
  ++tally.requests;
  switch (outcome.ran) {
    case Ran::kRan:
      ++tally.ran;
      tally.latency.Add(outcome.latency);
      return;
    case Ran::kNotRun:
      ++tally.refused;
      tally.refused_inside_rate += inside ? 1 : 0;
      return;
    case Ran::kMayHaveRun:
      ++tally.unknown;
      return;
  }
}

std::string Scorecard::WorstAccount() const {
  const auto worst = std::max_element(
      m_accounts.begin(), m_accounts.end(), [](const auto& a, const auto& b) {
        return a.second.latency.At(kP99) < b.second.latency.At(kP99);
      });
  return worst == m_accounts.end() ? "" : worst->first;
}

std::string Scorecard::ToJson() const {
  nlohmann::json accounts = nlohmann::json::object();
  for (const auto& [account, tally] : m_accounts) {
    accounts[account] = TallyFormat::ToJson(tally);
  }
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : m_statuses) {
    statuses[std::to_string(status)] = count;
  }
  return nlohmann::json{{"trace", m_trace.name},
                        {"all", TallyFormat::ToJson(m_all)},
                        {"accounts", std::move(accounts)},
                        {"statuses", std::move(statuses)},
                        {"missed", m_missed},
                        {"missed_examples", m_missed_examples},
                        {"worst_p99_account", WorstAccount()}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Scorecard::ToText() const {
  std::string text = fmt::format(
      "{:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n",
      "account", "requests", "ran", "refused", "in rate", "unknown", "p50 ms",
      "p90 ms", "p99 ms", "max ms");
  for (const auto& [account, tally] : m_accounts) {
    text += TallyFormat::ToText(account, tally);
  }
  text += TallyFormat::ToText("all", m_all);
  for (const auto& [status, count] : m_statuses) {
    text += fmt::format("status {}: {}\n", status, count);
  }
  text += fmt::format("missed outcomes: {}\n", m_missed);
  for (const std::string& example : m_missed_examples) {
    text += "  " + example + "\n";
  }
  return text;
}

}  // namespace applestand
