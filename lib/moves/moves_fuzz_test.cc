#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lib/moves/move_advancer.h"
#include "lib/moves/traffic_shares.h"

namespace applestand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MoveId kMove("m");
const ServiceId kDesk("desk");
const RegionId kFrom("norte");
constexpr int kHosts = 4;
constexpr uint32_t kStep = 100;
constexpr Duration kInterval = seconds(30);

class UnlimitedHeadroom : public HeadroomView {
 public:
  bool HasRoom(const ServiceId& /*service*/,
               const RegionId& /*from*/,
               const RegionId& /*to*/,
               uint32_t /*permille*/) const override {
    return true;
  }
};

/// Simulates hosts that compete to advance one move through a store with
/// conditional writes. Hosts learn of changes late or stop for a while, and
/// their writes may arrive late or twice.
class SimulatedFleet {
 public:
  SimulatedFleet() {
    Move move;
    move.id = kMove;
    move.service = kDesk;
    move.from = kFrom;
    move.to = RegionId("sul");
    move.step_permille = kStep;
    move.step_interval = kInterval;
    m_config.moves[kMove] = move;
    m_config.version = ConfigVersion(1);
    for (int i = 0; i < kHosts; ++i) {
      m_advancers.emplace_back(m_headroom);
      m_shares.emplace_back(kFrom, FailoverPolicy());
      m_observed.emplace_back();
      ApplyConfig(i);
    }
  }

  void Step(uint8_t op, uint16_t arg) {
    const int host = arg % kHosts;
    switch (op % 8) {
      case 0:
      case 1:
        ApplyConfig(host);
        break;
      case 2:
      case 3:
        Propose(host, arg);
        break;
      case 4:
        m_shares[host].Tick(m_now);
        break;
      case 5:
        ChangeMove(arg);
        break;
      default:
        Advance(milliseconds(arg % 16'000));
    }
    Record();
  }

  uint32_t current() const { return m_config.moves.at(kMove).current_permille; }

 private:
  struct Change {
    TimePoint at;
    uint32_t permille = 0;
  };

  void ApplyConfig(int host) {
    m_advancers[host].OnConfig(m_config, m_now);
    m_shares[host].OnConfig(m_config, m_now);
  }

  void Propose(int host, uint16_t arg) {
    for (const MoveStep& step : m_advancers[host].DueSteps(m_now)) {
      m_writes.emplace(m_now + milliseconds(arg / 4 % 40'000), step);
      if (arg % 3 == 0) {
        m_writes.emplace(m_now + milliseconds(arg / 4 % 9000), step);
      }
    }
  }

  void ChangeMove(uint16_t arg) {
    Move& move = m_config.moves.at(kMove);
    if (arg % 2 == 0) {
      move.paused = !move.paused;
    } else {
      move.goal_permille = arg / 2 % 1001;
    }
    m_config.version = m_config.version.Next();
  }

  void Advance(Duration by) {
    const TimePoint end = m_now + by;
    while (!m_writes.empty() && m_writes.begin()->first <= end) {
      const auto write = m_writes.extract(m_writes.begin());
      m_now = std::max(m_now, write.key());
      Write(write.mapped());
    }
    m_now = end;
  }

  void Write(const MoveStep& step) {
    Move& move = m_config.moves.at(kMove);
    if (m_config.version != step.expected_version ||
        move.current_permille != step.expected_permille) {
      return;
    }
    const uint32_t change = move.current_permille < step.next_permille
                                ? step.next_permille - move.current_permille
                                : move.current_permille - step.next_permille;
    RC_ASSERT(change <= kStep);
    if (m_last_step) {
      RC_ASSERT(m_now - *m_last_step >= kInterval);
    }
    m_last_step = m_now;
    move.current_permille = step.next_permille;
    m_config.version = m_config.version.Next();
  }

  void Record() {
    for (int i = 0; i < kHosts; ++i) {
      const auto shares = m_shares[i].SharesOf(kDesk);
      const uint32_t permille = shares.empty() ? 0 : shares[0].permille;
      auto& observed = m_observed[i];
      if (observed.empty() || observed.back().permille != permille) {
        CheckChange(observed, permille);
        observed.push_back({m_now, permille});
      }
    }
  }

  void CheckChange(const std::vector<Change>& observed,
                   uint32_t permille) const {
    if (observed.empty()) {
      return;
    }
    const uint32_t before = observed.back().permille;
    RC_ASSERT((permille > before ? permille - before : before - permille) <=
              kStep);
    if (observed.size() > 1) {
      RC_ASSERT(m_now - observed.back().at >= kInterval);
    }
  }

  const UnlimitedHeadroom m_headroom;
  TimePoint m_now{std::chrono::hours(1)};
  ConfigState m_config;
  std::vector<MoveAdvancer> m_advancers;
  std::vector<TrafficShares> m_shares;
  std::vector<std::vector<Change>> m_observed;
  std::multimap<TimePoint, MoveStep> m_writes;
  std::optional<TimePoint> m_last_step;
};

TEST_CASE("fuzz: a shift changes by at most one step per interval") {
  setenv("RC_PARAMS", "seed=20265 max_success=400 max_size=500", 1);
  bool any_advanced = false;
  CHECK(rc::check([&](const std::vector<std::pair<uint8_t, uint16_t>>& steps) {
    SimulatedFleet fleet;
    for (const auto& [op, arg] : steps) {
      fleet.Step(op, arg);
    }
    any_advanced = any_advanced || fleet.current() >= 3 * kStep;
  }));
  CHECK(any_advanced);
}

}  // namespace
}  // namespace applestand
