#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include "lib/targets/target_pool.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");

/// Applies arbitrary events to one pool and checks each decision against a
/// simple reference model.
class PoolModelChecker {
 public:
  PoolModelChecker() : m_pool(MakePolicy()) {
    for (int i = 0; i < 4; ++i) {
      const TargetId id("t" + std::to_string(i));
      m_targets[id] = {id,          kDesk, RegionId("r"), ZoneId("z"),
                       "127.0.0.1", 3,     false};
    }
    ApplyTargets();
  }

  void Step(uint8_t op, uint16_t arg) {
    switch (op % 9) {
      case 0:
      case 1:
      case 2:
        return Submit(arg);
      case 3:
      case 4:
        return Finish(arg);
      case 5:
        m_now += milliseconds(arg % 400);
        return Apply(m_pool.Tick(m_now));
      case 6:
        return Probe(arg);
      case 7:
        return Change(arg);
      default:
        return Cancel(arg);
    }
  }

  void End() {
    while (!m_running.empty()) {
      Finish(0);
    }
    m_now += seconds(60);
    Apply(m_pool.Tick(m_now));
    while (!m_running.empty()) {
      Finish(0);
    }
    RC_ASSERT(m_waiting.empty());
    RC_ASSERT(m_pool.running() == 0U);
  }

 private:
  static PoolPolicy MakePolicy() {
    PoolPolicy policy;
    policy.queue = {6, 4, 2};
    policy.target.ramp_successes = 1;
    policy.target.ramp_interval = milliseconds(100);
    return policy;
  }

  void Submit(uint16_t arg) {
    const DispatchId id(++m_last_id);
    const TimePoint deadline = m_now + milliseconds(arg % 700);
    m_waiting[id] = deadline;
    const ClientAccountId account("a" + std::to_string(arg % 3));
    Apply(
        m_pool.Submit({id, kDesk, account, 1.0 + arg % 2, deadline, {}}, m_now),
        id);
  }

  void Finish(uint16_t arg) {
    if (m_running.empty()) {
      return;
    }
    auto it = m_running.begin();
    std::advance(it, arg % m_running.size());
    const auto [id, target] = *it;
    m_running.erase(it);
    --m_in_flight[target];
    const TargetOutcome outcomes[] = {
        TargetOutcome::kServed, TargetOutcome::kServed,
        TargetOutcome::kServed, TargetOutcome::kShed,
        TargetOutcome::kFailed, TargetOutcome::kAbandoned};
    const TargetOutcome outcome = outcomes[arg / 16 % 6];
    const TimePoint closed = m_now + milliseconds(arg % 50);
    if (outcome == TargetOutcome::kShed) {
      m_closed[target] = std::max(m_closed[target], closed);
    }
    DiscardIdleAbsentReports();
    Apply(m_pool.OnFinished(id, outcome, closed - m_now, m_now));
    RC_ASSERT(m_pool.OnFinished(id, TargetOutcome::kServed, std::nullopt, m_now)
                  .empty());
  }

  void Probe(uint16_t arg) {
    for (const Target& target : m_pool.DueProbes(m_now)) {
      ++arg;
      if (arg % 7 == 0) {
        continue;  // The probe result is lost.
      }
      const bool draining = arg % 11 == 0;
      m_reports_draining[target.id] =
          draining || (m_reports_draining[target.id] && arg % 3 == 0);
      const double load = arg % 5 * 0.5 - 1;
      Apply(m_pool.OnProbe({target.id, arg % 3 != 0, draining, load}, m_now));
    }
  }

  void Change(uint16_t arg) {
    auto it = m_targets.begin();
    std::advance(it, arg % m_targets.size());
    Target& target = it->second;
    switch (arg / 8 % 3) {
      case 0:
        target.leaving = !target.leaving;
        break;
      case 1:
        target.slots = arg / 32 % 5;
        break;
      default:
        m_absent.count(target.id) == 0
            ? static_cast<void>(m_absent.insert(target.id))
            : static_cast<void>(m_absent.erase(target.id));
    }
    ApplyTargets();
  }

  void Cancel(uint16_t arg) {
    if (m_waiting.empty()) {
      return;
    }
    auto it = m_waiting.begin();
    std::advance(it, arg % m_waiting.size());
    RC_ASSERT(m_pool.Cancel(it->first));
    m_waiting.erase(it);
  }

  void ApplyTargets() {
    std::vector<Target> present;
    for (const auto& [id, target] : m_targets) {
      if (m_absent.count(id) == 0) {
        present.push_back(target);
      }
    }
    DiscardIdleAbsentReports();
    Apply(m_pool.SetTargets(present, m_now));
  }

  /// Mirrors the pool, which discards what a target reported once this host is
  /// not its home host and none of its requests run there.
  void DiscardIdleAbsentReports() {
    for (const TargetId& id : m_absent) {
      if (m_in_flight[id] == 0) {
        m_reports_draining[id] = false;
        m_closed[id] = TimePoint();
      }
    }
  }

  void Apply(const std::vector<PoolDecision>& decisions,
             DispatchId submitted = DispatchId(0)) {
    int about_submitted = 0;
    for (const PoolDecision& decision : decisions) {
      if (const auto* start = std::get_if<Start>(&decision)) {
        about_submitted += start->id == submitted ? 1 : 0;
        OnStart(*start);
      } else if (const auto* refused = std::get_if<Refused>(&decision)) {
        about_submitted += refused->id == submitted ? 1 : 0;
        RC_ASSERT(m_waiting.erase(refused->id) == 1U);
        RC_ASSERT(refused->retry_after >= Duration::zero());
      } else {
        RC_ASSERT(std::get<Queued>(decision).id == submitted);
        ++about_submitted;
      }
    }
    RC_ASSERT(about_submitted == (submitted == DispatchId(0) ? 0 : 1));
    for (const auto& [id, deadline] : m_waiting) {
      RC_ASSERT(deadline > m_now);
    }
  }

  void OnStart(const Start& start) {
    const auto waiting = m_waiting.find(start.id);
    RC_ASSERT(waiting != m_waiting.end());
    RC_ASSERT(waiting->second > m_now);
    m_waiting.erase(waiting);
    const Target& target = m_targets.at(start.target);
    RC_ASSERT(m_absent.count(target.id) == 0U);
    RC_ASSERT_FALSE(target.leaving);
    RC_ASSERT_FALSE(m_reports_draining[target.id]);
    RC_ASSERT(m_closed[target.id] <= m_now);
    RC_ASSERT(m_in_flight[target.id] < target.slots);
    ++m_in_flight[target.id];
    m_running[start.id] = target.id;
  }

  TimePoint m_now{std::chrono::hours(1)};
  TargetPool m_pool;
  std::map<TargetId, Target> m_targets;
  std::set<TargetId> m_absent;
  std::map<TargetId, bool> m_reports_draining;
  std::map<TargetId, TimePoint> m_closed;
  std::map<TargetId, uint32_t> m_in_flight;
  std::map<DispatchId, TimePoint> m_waiting;
  std::map<DispatchId, TargetId> m_running;
  uint64_t m_last_id = 0;
};

TEST_CASE(
    "fuzz: slots are respected, draining targets get no requests, and each "
    "request ends exactly once") {
  setenv("RC_PARAMS", "seed=20261 max_success=400 max_size=300", 1);
  CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint16_t>>& steps) {
    PoolModelChecker checker;
    for (const auto& [op, arg] : steps) {
      checker.Step(op, arg);
    }
    checker.End();
  }));
}

/// Simulates ten seconds of two accounts of equal weight at a target with 4
/// slots and 20 ms of service time, hence 200 starts per second. Returns the
/// numbers of submitted and served requests by account.
std::map<ClientAccountId, std::pair<int, int>> ServeTwoAccounts(
    int steady_per_second,
    int flood_per_second) {
  PoolPolicy policy;
  policy.target.cold_slots = 4;
  policy.queue = {64, 32, 4};
  TargetPool pool(policy);
  TimePoint now{std::chrono::hours(1)};
  pool.SetTargets(
      {{TargetId("t"), kDesk, RegionId("r"), ZoneId("z"), "", 4, false}}, now);
  std::map<ClientAccountId, std::pair<int, int>> submitted_served;
  std::map<DispatchId, ClientAccountId> owners;
  std::multimap<TimePoint, DispatchId> ends;
  uint64_t last_id = 0;
  const auto apply = [&](const std::vector<PoolDecision>& decisions) {
    for (const PoolDecision& decision : decisions) {
      if (const auto* start = std::get_if<Start>(&decision)) {
        ends.emplace(now + milliseconds(20), start->id);
      }
    }
  };
  const auto submit = [&](const std::string& name) {
    const ClientAccountId account(name);
    const DispatchId id(++last_id);
    owners[id] = account;
    ++submitted_served[account].first;
    apply(pool.Submit({id, kDesk, account, 1, now + seconds(1), {}}, now));
  };
  for (int ms = 0; ms < 10'000; ++ms) {
    now += milliseconds(1);
    while (!ends.empty() && ends.begin()->first <= now) {
      const DispatchId id = ends.begin()->second;
      ends.erase(ends.begin());
      ++submitted_served[owners.at(id)].second;
      apply(pool.OnFinished(id, TargetOutcome::kServed, std::nullopt, now));
    }
    for (int i = 0; i < flood_per_second / 1000; ++i) {
      submit("flood");
    }
    if (ms * steady_per_second / 1000 != (ms + 1) * steady_per_second / 1000) {
      submit("steady");
    }
    apply(pool.Tick(now));
  }
  return submitted_served;
}

TEST_CASE(
    "an account within its fair share is served despite a flood by another") {
  auto counts = ServeTwoAccounts(95, 1000);
  const auto [submitted, served] = counts[ClientAccountId("steady")];
  CHECK(submitted - served <= 4);
  CHECK(counts[ClientAccountId("flood")].second >= 1000);
}

}  // namespace
}  // namespace applestand
