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

/// A store with its whole history.
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
  TableUpdate Whole() const {
    TableUpdate update;
    update.whole = true;
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

TEST_CASE("a whole table removes the rows that it lacks") {
  TableMirror mirror;
  CHECK_FALSE(mirror.known());
  mirror.Apply({true, {Row("a", 1), Row("b", 2)}, StoreVersion(2)}, kStart);
  // The history was lost; meanwhile "a" was removed and "c" came.
  const auto changed =
      mirror.Apply({true, {Row("b", 2), Row("c", 5)}, StoreVersion(6)},
                   kStart + std::chrono::seconds(1));
  CHECK(changed == std::vector<std::string>{"a", "c"});
  CHECK(mirror.Find("a") == nullptr);
  // A follower that held version 2 is told of the removal.
  TableMirror follower;
  follower.Apply({true, {Row("a", 1), Row("b", 2)}, StoreVersion(2)}, kStart);
  follower.Apply(mirror.ChangesSince(follower.version()), kStart);
  CHECK(follower.Find("a") == nullptr);
  CHECK(follower.Find("c") != nullptr);
}

TEST_CASE("an older update changes nothing, also not how current the copy is") {
  TableMirror mirror;
  mirror.Apply({true, {Row("a", 7)}, StoreVersion(9)}, kStart);
  const TimePoint later = kStart + std::chrono::seconds(5);
  CHECK(mirror.Apply({true, {}, StoreVersion(8)}, later).empty());
  CHECK(mirror.Find("a") != nullptr);
  CHECK(mirror.current_at() == kStart);
  mirror.Apply({false, {}, StoreVersion(9)}, later);
  CHECK(mirror.current_at() == later);
}

TEST_CASE("a copy that holds the last change lacks nothing") {
  // The pattern of a hub with 90 waiting hosts while other tables change.
  TableMirror mirror;
  mirror.Apply({true, {Row("a", 3)}, StoreVersion(5)}, kStart);
  const StoreVersion change = mirror.last_change();
  mirror.Apply({false, {}, StoreVersion(50)}, kStart);
  CHECK(mirror.last_change() == change);
  CHECK(mirror.ChangesSince(change).rows.empty());
  mirror.Apply({false, {Row("a", 60, true)}, StoreVersion(61)}, kStart);
  CHECK(change < mirror.last_change());
  CHECK(mirror.ChangesSince(change).rows.size() == 1);
  // Late news change nothing.
  const StoreVersion removal = mirror.last_change();
  mirror.Apply({false, {Row("a", 60, true)}, StoreVersion(61)}, kStart);
  CHECK(mirror.last_change() == removal);
}

TEST_CASE(
    "copies of copies agree with the store whatever comes late or twice") {
  constexpr uint64_t kSeed = 41;
  CHECK(FixedSeedCheck(
      kSeed, 300, 60, [](const std::vector<unsigned char>& steps) {
        FakeStore store;
        TableMirror hub;
        TableMirror follower;
        std::vector<TableUpdate> delayed;
        hub.Apply(store.Whole(), kStart);
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
              hub.Apply(store.Whole(), kStart);
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
