// A randomized test of a large fleet in three regions: every host that reaches
// the store has each of the operator's writes in time, while other hosts, links
// between hosts and the store's answers to other hosts fail.

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "lib/fleet/loopback_fleet.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 76;
constexpr int kZones = 9;
constexpr int kZonesPerRegion = 3;
// From the store's confirmation of a write until all hosts that reach the store
// have it, and the time for which a host must have reached the store.
constexpr Duration kConfigBound = milliseconds(2500);
constexpr Duration kContactTime = seconds(4);
constexpr Duration kRunTime = seconds(25);

LinkDelays MakeDelays() {
  LinkDelays delays;
  delays.zones_per_region = kZonesPerRegion;
  delays.between_zones = milliseconds(2);
  delays.between_regions = milliseconds(70);
  return delays;
}

/// Writes numbered versions of the row "config" and disturbs the fleet.
class Run {
 public:
  explicit Run(uint32_t seed)
      : m_fleet(kHosts, kZones, MakeDelays()),
        m_random(seed),
        m_reached_since(kHosts, TimePoint::min()) {
    m_copy = m_fleet.rows;
  }

  /// Returns the number of hosts that lacked a write when its bound had passed.
  size_t CountLate() {
    const TimePoint end = m_fleet.Now() + kRunTime;
    TimePoint next_fault = m_fleet.Now();
    TimePoint next_write = m_fleet.Now();
    while (m_fleet.Now() < end) {
      m_fleet.RunFor(milliseconds(50));
      const TimePoint now = m_fleet.Now();
      if (now >= next_write) {
        Write();
        next_write = now + milliseconds(Draw(200, 1200));
      }
      if (now >= next_fault) {
        Disturb();
        next_fault = now + milliseconds(Draw(500, 5000));
      }
      Check(now);
    }
    return m_late;
  }
  size_t checked() const { return m_checked; }

 private:
  struct WriteRecord {
    int number = 0;
    TimePoint confirmed_at;
  };

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }

  void Write() {
    m_fleet.rows.Put(StoreTable::kOperator, "config",
                     std::to_string(++m_last_number));
    m_writes.push_back({m_last_number, m_fleet.Now()});
  }

  /// Replaces the faults by others.
  void Disturb() {
    m_fleet.links.isolated.clear();
    for (int i = 0; i < kHosts; ++i) {
      SetStoreMode(i, InMemoryStore::Mode::kAnswers);
    }
    const int first_ranked = Draw(0, 40);
    const int zone = Draw(0, kZones - 1);
    switch (Draw(0, 5)) {
      case 0:  // The hosts that rank first are lost.
        for (int i = 0; i < first_ranked; ++i) {
          Isolate(i);
          SetStoreMode(i, InMemoryStore::Mode::kSilent);
        }
        break;
      case 1:  // A zone is cut off from the other hosts, not from the store.
        for (int i = zone; i < kHosts; i += kZones) {
          Isolate(i);
        }
        break;
      case 2:  // The store turns some hosts away.
        for (int i = 0; i < kHosts; ++i) {
          if (i < first_ranked / 2 || Draw(0, 2) == 0) {
            SetStoreMode(i, InMemoryStore::Mode::kRefuses);
          }
        }
        break;
      case 3:  // Many hosts are cut off from each other.
        for (int i = 0; i < kHosts; ++i) {
          if (Draw(0, 1) == 0) {
            Isolate(i);
          }
        }
        break;
      case 4:  // The store comes back from an older copy.
        Restore();
        break;
      default:
        m_copy = m_fleet.rows;
        break;
    }
  }

  void Restore() {
    const StoreEra era = m_fleet.rows.era.Next();
    m_fleet.rows = m_copy;
    m_fleet.rows.era = era;
    for (auto& [table, rows] : m_fleet.rows.tables) {
      for (auto& [key, row] : rows) {
        row.version = StoreVersion(row.version.number(), era);
      }
    }
    m_writes.clear();
    Write();
  }

  void Isolate(int host) {
    m_fleet.links.isolated.insert(
        m_fleet.At(host).node->membership().self().id);
  }

  void SetStoreMode(int host, InMemoryStore::Mode mode) {
    InMemoryStore::Mode& current = m_fleet.At(host).store.mode;
    if (current != mode && mode == InMemoryStore::Mode::kAnswers) {
      m_reached_since[host] = m_fleet.Now();
    }
    current = mode;
  }

  void Check(TimePoint now) {
    int due = 0;
    for (const WriteRecord& write : m_writes) {
      if (now - write.confirmed_at > kConfigBound) {
        due = write.number;
      }
    }
    for (int i = 0; i < kHosts; ++i) {
      LoopbackHost& host = m_fleet.At(i);
      if (host.store.mode != InMemoryStore::Mode::kAnswers ||
          (m_reached_since[i] != TimePoint::min() &&
           now - m_reached_since[i] < kContactTime)) {
        continue;
      }
      ++m_checked;
      const MirrorRow* row =
          host.node->mirror(StoreTable::kOperator).Find("config");
      const int number =
          row == nullptr || row->value == "first" ? 0 : std::stoi(row->value);
      if (number < due) {
        ++m_late;
        MESSAGE("host ", i, " has write ", number, ", due is ", due);
      }
    }
  }

  LoopbackFleet m_fleet;
  std::mt19937 m_random;
  SharedRows m_copy;
  std::vector<TimePoint> m_reached_since;
  std::vector<WriteRecord> m_writes;
  int m_last_number = 0;
  size_t m_checked = 0;
  size_t m_late = 0;
};

}  // namespace

// Guards against hosts of a large fleet that serve by an old configuration
// although they reach the store.
TEST_CASE("hosts of a large fleet have changes in time while others fail") {
  for (const uint32_t seed : {1U, 2U}) {
    CAPTURE(seed);
    Run run(seed);
    CHECK(run.CountLate() == 0);
    CHECK(run.checked() > 1000);
  }
}

}  // namespace applestand
