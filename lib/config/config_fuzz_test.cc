#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lib/config/log.h"
#include "lib/table_store/fake_table_service.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

using Kind = AppendOutcome::Kind;
using Fault = FakeTableService::Fault;

class NoObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& /*key*/,
                     const std::string& /*bytes*/) override {
    return TableStatus::kUnavailable;
  }
  GetResult Get(const std::string& /*key*/) override { return {}; }
};

// A table whose transactions can be held up on the way: the caller learns
// kUnknown, and they reach the table later.
class LateTableService : public FakeTableService {
 public:
  // Holds the next transaction and refuses those after it until Deliver.
  void HoldNext(bool then_refuse) {
    m_hold_next = true;
    m_then_refuse = then_refuse;
  }

  void Deliver() {
    const auto held = std::move(m_held);
    m_held.clear();
    m_hold_next = false;
    m_refuse = false;
    for (const auto& writes : held) {
      (void)FakeTableService::Transact(writes);
    }
  }

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override {
    if (m_hold_next) {
      m_hold_next = false;
      m_refuse = m_then_refuse;
      m_held.push_back(writes);
      return TableStatus::kUnknown;
    }
    if (m_refuse) {
      return TableStatus::kUnavailable;
    }
    return FakeTableService::Transact(writes);
  }

 private:
  bool m_hold_next = false;
  bool m_then_refuse = false;
  bool m_refuse = false;
  std::vector<std::vector<RowWrite>> m_held;
};

// Several operators' hosts append through a faulty store, while hosts read,
// restart empty, and pass news on late, twice and in any order.
class Fleet {
 public:
  static constexpr size_t kHosts = 4;

  Fleet() {
    for (size_t i = 0; i < kHosts; ++i) {
      m_logs.emplace_back(m_table, m_objects, ConfigLog::Options());
      m_replicas.emplace_back(3);
    }
  }

  void Step(uint32_t number) {
    const size_t host = (number >> 4) % kHosts;
    const size_t other = (number >> 8) % kHosts;
    const uint32_t pick = number >> 12;
    switch (number % 10) {
      case 8:
        m_table.HoldNext(pick % 2 == 0);
        break;
      case 9:
        m_table.Deliver();
        break;
      case 0:
      case 1:
        Append(host, pick);
        break;
      case 2:
        m_table.SetFault(static_cast<Fault>(pick % 4));
        break;
      case 3:
        m_replicas[host] = ConfigReplica(3);
        m_known[host] = ConfigVersion();
        break;
      case 4:
        (void)m_logs[host].CatchUp(m_replicas[host], m_reason);
        break;
      case 5:
        m_replies.push_back(
            m_replicas[host].UpdateSince(m_replicas[other].version()));
        break;
      default:
        if (!m_replies.empty()) {
          (void)m_replicas[host].Apply(m_replies[pick % m_replies.size()],
                                       m_reason);
        }
    }
    Check();
  }

  void Finish() {
    m_table.SetFault(Fault::kNone);
    m_table.Deliver();
    CheckRefused();
    for (const auto& [id, outcome] : m_results) {
      const auto again = m_logs[0].Append(SampleChange(id));
      if (outcome.kind == Kind::kCommitted) {
        RC_ASSERT(again.kind == Kind::kCommitted);
        RC_ASSERT(again.version == outcome.version);
      }
    }
    ConfigReplica all;
    RC_ASSERT(m_logs[0].CatchUp(all, m_reason));
    // Every id was sent again, so each is in the log exactly once.
    RC_ASSERT(all.version().value() == m_results.size());
    RC_ASSERT(m_table.commits() == m_results.size());
  }

 private:
  static Change SampleChange(uint32_t id) {
    return {ChangeId("c" + std::to_string(id)), "ana", {}, SetSeats{id + 1}};
  }

  void Append(size_t host, uint32_t pick) {
    const uint32_t id = pick % 16;
    std::optional<ConfigVersion> expected;
    if (pick % 3 == 0) {
      expected = m_replicas[host].version();
    }
    const auto outcome = m_logs[host].Append(SampleChange(id), expected);
    const auto [it, is_new] = m_results.emplace(id, outcome);
    const bool was_committed = !is_new && it->second.kind == Kind::kCommitted;
    RC_ASSERT(outcome.kind != Kind::kInvalid);
    if (is_new && outcome.kind == Kind::kNotAccepted) {
      m_refused.insert(id);
    } else {
      m_refused.erase(id);
    }
    if (was_committed) {
      RC_ASSERT(outcome.kind != Kind::kConflict);
    }
    if (outcome.kind == Kind::kCommitted) {
      RC_ASSERT(!was_committed || it->second.version == outcome.version);
      const auto [at, free] = m_accepted.emplace(outcome.version, id);
      RC_ASSERT(free || at->second == id);
      it->second = outcome;
    }
  }

  // What was refused, and not sent again, is not in the log.
  void CheckRefused() {
    ConfigReplica all(1000);
    RC_ASSERT(m_logs[0].CatchUp(all, m_reason));
    for (const Change& change : all.UpdateSince(ConfigVersion()).changes) {
      for (const uint32_t id : m_refused) {
        RC_ASSERT(change.id != SampleChange(id).id);
      }
    }
  }

  void Check() {
    for (size_t i = 0; i < kHosts; ++i) {
      RC_ASSERT(m_replicas[i].version() >= m_known[i]);
      m_known[i] = m_replicas[i].version();
      const auto accepted = m_accepted.find(m_known[i]);
      if (accepted != m_accepted.end()) {
        RC_ASSERT(m_replicas[i].state().seats == accepted->second + 1);
      }
    }
  }

  LateTableService m_table;
  NoObjectStore m_objects;
  std::vector<ConfigLog> m_logs;
  std::vector<ConfigReplica> m_replicas;
  std::vector<ConfigFetchReply> m_replies;
  std::map<size_t, ConfigVersion> m_known;
  std::map<uint32_t, AppendOutcome> m_results;
  std::set<uint32_t> m_refused;
  std::map<ConfigVersion, uint32_t> m_accepted;
  Reason m_reason;
};

}  // namespace

TEST_CASE("an accepted change stays in the log once, and none reverts") {
  CheckScripts(1, 400, 120, [](const Script& script) {
    Fleet fleet;
    for (const uint32_t number : script) {
      fleet.Step(number);
    }
    fleet.Finish();
  });
}

}  // namespace applestand
