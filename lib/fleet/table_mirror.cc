#include "lib/fleet/table_mirror.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Limit on remembered removals. A copy that lacks older ones gets the whole
// table.
constexpr size_t kMaxRemovals = 1024;

// The part of a limit on memory that is free after values were cleared, so that
// this is not done for each further row.
constexpr size_t kFreeDivisor = 8;

}  // namespace

size_t MemoryOf(const MirrorRow& row) {
  return sizeof(row) + row.key.size() + row.value.size();
}

std::vector<MirrorRow*> ClearLongestValues(const std::vector<MirrorRow*>& rows,
                                           size_t max_bytes) {
  std::vector<MirrorRow*> cleared;
  size_t bytes = 0;
  for (const MirrorRow* row : rows) {
    bytes += MemoryOf(*row);
  }
  if (bytes <= max_bytes) {
    return cleared;
  }
  const size_t bytes_before = bytes;
  std::vector<MirrorRow*> longest = rows;
  std::sort(longest.begin(), longest.end(), [](const auto* a, const auto* b) {
    return a->value.size() > b->value.size();
  });
  for (MirrorRow* row : longest) {
    if (bytes <= max_bytes - max_bytes / kFreeDivisor || row->value.empty()) {
      break;
    }
    bytes -= row->value.size();
    row->value = std::string();
    cleared.push_back(row);
  }
  LogEvent(Event::kTableTooLong, {{"row", longest.front()->key},
                                  {"cleared_rows", cleared.size()},
                                  {"rows", rows.size()},
                                  {"bytes", bytes_before},
                                  {"max_bytes", max_bytes}});
  return cleared;
}

size_t ClearLongestValues(std::vector<MirrorRow>& rows, size_t max_bytes) {
  std::vector<MirrorRow*> pointers;
  pointers.reserve(rows.size());
  for (MirrorRow& row : rows) {
    pointers.push_back(&row);
  }
  ClearLongestValues(pointers, max_bytes);
  size_t bytes = 0;
  for (const MirrorRow& row : rows) {
    bytes += MemoryOf(row);
  }
  return bytes;
}

const MirrorRow* TableMirror::Find(const std::string& key) const {
  const auto it = m_rows.find(key);
  return it == m_rows.end() ? nullptr : &it->second;
}

void TableMirror::RecordRemoval(const std::string& key, StoreVersion version) {
  m_removed[key] = version;
  if (m_removed.size() <= kMaxRemovals) {
    return;
  }
  const auto oldest = std::min_element(
      m_removed.begin(), m_removed.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  m_removals_known_since = std::max(m_removals_known_since, oldest->second);
  m_removed.erase(oldest);
}

std::vector<std::string> TableMirror::Apply(const TableUpdate& update,
                                            TimePoint read_at) {
  std::vector<std::string> changed;
  if (m_loaded && update.version < m_version) {
    return changed;
  }
  const bool new_era = m_loaded && update.version.era() != m_version.era();
  if (new_era && !update.is_snapshot) {
    return changed;
  }
  if (update.is_snapshot) {
    // Rows that a snapshot lacks were removed in the meantime.
    std::map<std::string, bool> present;
    for (const MirrorRow& row : update.rows) {
      present[row.key] = !row.removed;
    }
    for (auto it = m_rows.begin(); it != m_rows.end();) {
      const auto found = present.find(it->first);
      if ((found != present.end() && found->second) ||
          it->second.version > update.version) {
        ++it;
        continue;
      }
      changed.push_back(it->first);
      RecordRemoval(it->first, update.version);
      it = m_rows.erase(it);
    }
    if (!m_loaded || new_era) {
      // Copies of an earlier era may hold rows that this one never had.
      m_removals_known_since = update.version;
    }
  }
  for (const MirrorRow& row : update.rows) {
    const auto it = m_rows.find(row.key);
    if (it != m_rows.end() && row.version <= it->second.version) {
      continue;
    }
    if (row.removed) {
      if (it != m_rows.end()) {
        m_rows.erase(it);
        changed.push_back(row.key);
      }
      RecordRemoval(row.key, row.version);
      continue;
    }
    const auto removed = m_removed.find(row.key);
    if (removed != m_removed.end()) {
      if (row.version <= removed->second) {
        continue;
      }
      m_removed.erase(removed);
    }
    const bool same_value =
        new_era && it != m_rows.end() && it->second.value == row.value;
    m_rows[row.key] = row;
    if (!same_value) {
      changed.push_back(row.key);
    }
  }
  if (!update.rows.empty()) {
    for (std::string& key : LimitMemory()) {
      changed.push_back(std::move(key));
    }
  }
  if (!changed.empty() || !m_loaded || new_era) {
    m_last_change = std::max(m_last_change, update.version);
  }
  m_loaded = true;
  m_version = std::max(m_version, update.version);
  m_current_at = std::max(m_current_at, read_at);
  return changed;
}

std::vector<std::string> TableMirror::LimitMemory() {
  std::vector<MirrorRow*> rows;
  rows.reserve(m_rows.size());
  for (auto& [key, row] : m_rows) {
    rows.push_back(&row);
  }
  std::vector<std::string> keys;
  for (const MirrorRow* row : ClearLongestValues(rows, m_max_bytes)) {
    keys.push_back(row->key);
  }
  return keys;
}

TableUpdate TableMirror::ChangesSince(StoreVersion version) const {
  TableUpdate update;
  update.version = m_version;
  update.is_snapshot =
      version < m_removals_known_since || version == StoreVersion();
  for (const auto& [key, row] : m_rows) {
    if (update.is_snapshot || row.version > version) {
      update.rows.push_back(row);
    }
  }
  if (!update.is_snapshot) {
    for (const auto& [key, removed_at] : m_removed) {
      if (removed_at > version) {
        update.rows.push_back({key, "", removed_at, true});
      }
    }
  }
  return update;
}

}  // namespace applestand
