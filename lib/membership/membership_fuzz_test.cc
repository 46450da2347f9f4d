#include <doctest/doctest.h>

#include <map>
#include <utility>

#include "lib/membership/simulated_fleet.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

constexpr size_t kHosts = 4;

// Drives a simulated fleet whose messages are delayed, reordered and repeated,
// and checks that no host's view of another host moves backwards.
class MonotonicityChecker {
 public:
  MonotonicityChecker() : m_fleet(kHosts) { m_fleet.hold = true; }

  void Step(uint32_t number) {
    const size_t host = (number >> 4) % kHosts;
    const size_t other = (number >> 8) % kHosts;
    const uint32_t pick = number >> 12;
    switch (number % 10) {
      case 0:
        m_fleet.SetHostList(host, m_fleet.AllHosts());
        break;
      case 1:
        m_fleet.Advance(std::chrono::milliseconds(pick % 4000));
        break;
      case 2:
        pick % 2 == 0 ? m_fleet.Freeze(host) : m_fleet.Thaw(host);
        break;
      case 3:
        pick % 2 == 0 ? m_fleet.Disconnect(host, other)
                      : m_fleet.ReconnectAll();
        break;
      case 4:
        Restart(host, pick);
        break;
      case 5:
      case 6:
        m_fleet.SendHeartbeats(host);
        break;
      default:
        m_fleet.DeliverHeld(pick, pick % 3 == 0);
    }
    Check();
  }

  void Finish() {
    m_fleet.ReconnectAll();
    for (size_t i = 0; i < kHosts; ++i) {
      m_fleet.Thaw(i);
      m_fleet.SetHostList(i, m_fleet.AllHosts());
    }
    m_fleet.DeliverAllHeld();
    m_fleet.hold = false;
    m_fleet.Freeze(0);
    m_fleet.Run(std::chrono::seconds(20));
    for (size_t i = 1; i < kHosts; ++i) {
      for (size_t other = 0; other < kHosts; ++other) {
        if (other == i) {
          continue;
        }
        const auto seen = m_fleet[i].ConditionOf(
            SimulatedFleet::HostName(other), m_fleet.Now());
        const auto alive = m_fleet[other].self().state == HostState::kLive
                               ? HostCondition::kLive
                               : HostCondition::kLeaving;
        if (other == 0) {
          RC_ASSERT(seen != HostCondition::kLive);
        } else {
          RC_ASSERT(seen == alive);
        }
      }
    }
  }

 private:
  void Restart(size_t host, uint32_t pick) {
    if (pick % 3 == 0) {
      m_fleet[host].Leave();
    } else if (pick % 3 == 1) {
      m_fleet.Restart(host);
      for (size_t other = 0; other < kHosts; ++other) {
        m_seen.erase({host, other});
      }
    }
  }

  void Check() {
    for (size_t i = 0; i < kHosts; ++i) {
      for (const auto& record : m_fleet[i].LiveHosts(m_fleet.Now())) {
        CheckRecord(i, record, false);
      }
      for (const auto& record : m_fleet[i].LeavingHosts(m_fleet.Now())) {
        CheckRecord(i, record, true);
      }
    }
  }

  void CheckRecord(size_t by, const HostRecord& record, bool leaving) {
    const size_t host = std::stoul(record.host.value().substr(1)) - 1000;
    auto& [incarnation, was_leaving] = m_seen[{by, host}];
    RC_ASSERT(record.incarnation >= incarnation);
    if (record.incarnation == incarnation) {
      RC_ASSERT(leaving || !was_leaving);
    }
    incarnation = record.incarnation;
    was_leaving = leaving;
  }

  SimulatedFleet m_fleet;
  std::map<std::pair<size_t, size_t>, std::pair<Incarnation, bool>> m_seen;
};

}  // namespace

TEST_CASE(
    "no host's view of another returns to an older incarnation or state") {
  CheckScripts(4, 400, 200, [](const Script& script) {
    MonotonicityChecker checker;
    for (const uint32_t number : script) {
      checker.Step(number);
    }
    checker.Finish();
  });
}

}  // namespace applestand
