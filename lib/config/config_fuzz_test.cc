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

class UnavailableObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& /*key*/,
                     const std::string& /*bytes*/) override {
    return TableStatus::kUnavailable;
  }
  GetResult Get(const std::string& /*key*/) override { return {}; }
};

// A table that can delay transactions: the caller receives kUnknown, and the
// transaction reaches the table later.
class DelayedTableService : public FakeTableService {
 public:
  // Delays the next transaction until Deliver is called. If `reject_later` is
  // true, transactions after the delayed one are rejected until then.
  void DelayNext(bool reject_later) {
    m_delay_next = true;
    m_reject_later = reject_later;
  }

  void Deliver() {
    const auto delayed = std::move(m_delayed);
    m_delayed.clear();
    m_delay_next = false;
    m_reject = false;
    for (const auto& writes : delayed) {
      (void)FakeTableService::Transact(writes);
    }
  }

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override {
    if (m_delay_next) {
      m_delay_next = false;
      m_reject = m_reject_later;
      m_delayed.push_back(writes);
      return TableStatus::kUnknown;
    }
    if (m_reject) {
      return TableStatus::kUnavailable;
    }
    return FakeTableService::Transact(writes);
  }

 private:
  bool m_delay_next = false;
  bool m_reject_later = false;
  bool m_reject = false;
  std::vector<std::vector<RowWrite>> m_delayed;
};

// Several hosts append changes through a store with faults, while hosts read
// the log, restart with an empty replica, and apply updates from each other
// late, more than once and in any order.
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
    const uint32_t choice = number >> 12;
    switch (number % 10) {
      case 8:
        m_table.DelayNext(choice % 2 == 0);
        break;
      case 9:
        m_table.Deliver();
        break;
      case 0:
      case 1:
        Append(host, choice);
        break;
      case 2:
        m_table.SetFault(static_cast<Fault>(choice % 4));
        break;
      case 3:
        m_replicas[host] = ConfigReplica(3);
        m_last_versions[host] = ConfigVersion();
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
          (void)m_replicas[host].Apply(m_replies[choice % m_replies.size()],
                                       m_reason);
        }
    }
    CheckReplicas();
  }

  void Finish() {
    m_table.SetFault(Fault::kNone);
    m_table.Deliver();
    CheckNotAccepted();
    for (const auto& [id, outcome] : m_results) {
      const auto again = m_logs[0].Append(SampleChange(id));
      if (outcome.kind == Kind::kCommitted) {
        RC_ASSERT(again.kind == Kind::kCommitted);
        RC_ASSERT(again.version == outcome.version);
      }
    }
    ConfigReplica all;
    RC_ASSERT(m_logs[0].CatchUp(all, m_reason));
    // Every id was appended again, so the log contains each exactly once.
    RC_ASSERT(all.version().value() == m_results.size());
    RC_ASSERT(m_table.commits() == m_results.size());
  }

 private:
  static Change SampleChange(uint32_t id) {
    return {ChangeId("c" + std::to_string(id)),
            "ana",
            {},
            SetContractShareCount{id + 1}};
  }

  void Append(size_t host, uint32_t choice) {
    const uint32_t id = choice % 16;
    std::optional<ConfigVersion> expected;
    if (choice % 3 == 0) {
      expected = m_replicas[host].version();
    }
    const auto outcome = m_logs[host].Append(SampleChange(id), expected);
    const auto [it, is_new] = m_results.emplace(id, outcome);
    const bool was_committed = !is_new && it->second.kind == Kind::kCommitted;
    RC_ASSERT(outcome.kind != Kind::kInvalid);
    if (is_new && outcome.kind == Kind::kNotAccepted) {
      m_not_accepted.insert(id);
    } else {
      m_not_accepted.erase(id);
    }
    if (was_committed) {
      RC_ASSERT(outcome.kind != Kind::kConflict);
    }
    if (outcome.kind == Kind::kCommitted) {
      RC_ASSERT(!was_committed || it->second.version == outcome.version);
      const auto [at, free] = m_committed_ids.emplace(outcome.version, id);
      RC_ASSERT(free || at->second == id);
      it->second = outcome;
    }
  }

  // Asserts that the log contains no change whose only append returned
  // kNotAccepted.
  void CheckNotAccepted() {
    ConfigReplica all(1000);
    RC_ASSERT(m_logs[0].CatchUp(all, m_reason));
    for (const Change& change : all.UpdateSince(ConfigVersion()).changes) {
      for (const uint32_t id : m_not_accepted) {
        RC_ASSERT(change.id != SampleChange(id).id);
      }
    }
  }

  void CheckReplicas() {
    for (size_t i = 0; i < kHosts; ++i) {
      RC_ASSERT(m_replicas[i].version() >= m_last_versions[i]);
      m_last_versions[i] = m_replicas[i].version();
      const auto committed = m_committed_ids.find(m_last_versions[i]);
      if (committed != m_committed_ids.end()) {
        RC_ASSERT(m_replicas[i].state().contract_share_count ==
                  committed->second + 1);
      }
    }
  }

  DelayedTableService m_table;
  UnavailableObjectStore m_objects;
  std::vector<ConfigLog> m_logs;
  std::vector<ConfigReplica> m_replicas;
  std::vector<ConfigFetchReply> m_replies;
  std::map<size_t, ConfigVersion> m_last_versions;
  std::map<uint32_t, AppendOutcome> m_results;
  std::set<uint32_t> m_not_accepted;
  std::map<ConfigVersion, uint32_t> m_committed_ids;
  Reason m_reason;
};

}  // namespace

TEST_CASE("a committed change stays in the log once and no replica goes back") {
  CheckScripts(1, 400, 120, [](const Script& script) {
    Fleet fleet;
    for (const uint32_t number : script) {
      fleet.Step(number);
    }
    fleet.Finish();
  });
}

}  // namespace applestand
