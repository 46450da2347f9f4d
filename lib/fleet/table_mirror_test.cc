#include "lib/fleet/table_mirror.h"

#include <doctest/doctest.h>

#include "lib/base/fixed_seed_check.h"

namespace applestand {

namespace {

MirrorRow Row(const std::string& key, uint64_t version, bool removed = false) {
  return {key, removed ? "" : "v" + std::to_string(version),
          StoreVersion(version), removed};
}

const TimePoint kStart{std::chrono::hours(1)};

/// A store that keeps its whole history.
class FakeStore {
 public:
  void Put(const std::string& key) {
    m_rows[key] = Row(key, ++m_version);
    m_history.push_back(m_rows[key]);
  }
  void Remove(const std::string& key) {
    if (m_rows.erase(key) > 0) {
      m_history.push_back(Row(key, ++m_version, true));
    }
  }
  TableUpdate Snapshot() const {
    TableUpdate update;
    update.is_snapshot = true;
    update.version = StoreVersion(m_version);
    for (const auto& [key, row] : m_rows) {
      update.rows.push_back(row);
    }
    return update;
  }
  TableUpdate Since(StoreVersion version) const {
    TableUpdate update;
    update.version = StoreVersion(m_version);
    for (const MirrorRow& row : m_history) {
      if (row.version > version) {
        update.rows.push_back(row);
      }
    }
    return update;
  }
  bool SameAs(const TableMirror& mirror) const {
    if (mirror.rows().size() != m_rows.size()) {
      return false;
    }
    for (const auto& [key, row] : m_rows) {
      const MirrorRow* copy = mirror.Find(key);
      if (copy == nullptr || copy->version != row.version) {
        return false;
      }
    }
    return true;
  }

 private:
  uint64_t m_version = 0;
  std::map<std::string, MirrorRow> m_rows;
  std::vector<MirrorRow> m_history;
};

}  // namespace

TEST_CASE("a snapshot removes the rows that it lacks") {
  TableMirror mirror;
  CHECK_FALSE(mirror.loaded());
  mirror.Apply({true, {Row("a", 1), Row("b", 2)}, StoreVersion(2)}, kStart);
  // After a loss of the history: "a" was removed and "c" was added in between.
  const auto changed =
      mirror.Apply({true, {Row("b", 2), Row("c", 5)}, StoreVersion(6)},
                   kStart + std::chrono::seconds(1));
  CHECK(changed == std::vector<std::string>{"a", "c"});
  CHECK(mirror.Find("a") == nullptr);
  // A follower at version 2 receives the removal.
  TableMirror follower;
  follower.Apply({true, {Row("a", 1), Row("b", 2)}, StoreVersion(2)}, kStart);
  follower.Apply(mirror.ChangesSince(follower.version()), kStart);
  CHECK(follower.Find("a") == nullptr);
  CHECK(follower.Find("c") != nullptr);
}

TEST_CASE("an outdated update changes neither the rows nor the copy's age") {
  TableMirror mirror;
  mirror.Apply({true, {Row("a", 7)}, StoreVersion(9)}, kStart);
  const TimePoint later = kStart + std::chrono::seconds(5);
  CHECK(mirror.Apply({true, {}, StoreVersion(8)}, later).empty());
  CHECK(mirror.Find("a") != nullptr);
  CHECK(mirror.current_at() == kStart);
  mirror.Apply({false, {}, StoreVersion(9)}, later);
  CHECK(mirror.current_at() == later);
}

TEST_CASE("a copy that holds the last change of the table lacks nothing") {
  // A hub would otherwise respond to each of 90 waiting hosts whenever another
  // table changes.
  TableMirror mirror;
  mirror.Apply({true, {Row("a", 3)}, StoreVersion(5)}, kStart);
  const StoreVersion change = mirror.last_change();
  mirror.Apply({false, {}, StoreVersion(50)}, kStart);
  CHECK(mirror.last_change() == change);
  CHECK(mirror.ChangesSince(change).rows.empty());
  mirror.Apply({false, {Row("a", 60, true)}, StoreVersion(61)}, kStart);
  CHECK(change < mirror.last_change());
  CHECK(mirror.ChangesSince(change).rows.size() == 1);
  // A late, repeated update changes nothing.
  const StoreVersion removal = mirror.last_change();
  mirror.Apply({false, {Row("a", 60, true)}, StoreVersion(61)}, kStart);
  CHECK(mirror.last_change() == removal);
}

TEST_CASE(
    "copies of copies converge to the store despite late and repeated "
    "updates") {
  constexpr uint64_t kSeed = 41;
  CHECK(FixedSeedCheck(
      kSeed, 300, 60, [](const std::vector<unsigned char>& steps) {
        FakeStore store;
        TableMirror hub;
        TableMirror follower;
        std::vector<TableUpdate> delayed;
        hub.Apply(store.Snapshot(), kStart);
        for (const unsigned char step : steps) {
          const std::string key(1, static_cast<char>('a' + step % 5));
          switch (step / 5 % 6) {
            case 0:
              store.Put(key);
              break;
            case 1:
              store.Remove(key);
              break;
            case 2:
              hub.Apply(store.Since(hub.version()), kStart);
              break;
            case 3:
              hub.Apply(store.Snapshot(), kStart);
              break;
            case 4:
              delayed.push_back(hub.ChangesSince(follower.version()));
              break;
            default:
              if (!delayed.empty()) {
                follower.Apply(delayed[step % delayed.size()], kStart);
              }
          }
        }
        hub.Apply(store.Since(hub.version()), kStart);
        follower.Apply(hub.ChangesSince(follower.version()), kStart);
        RC_ASSERT(store.SameAs(hub));
        RC_ASSERT(store.SameAs(follower));
      }));
}

}  // namespace applestand
