#include "lib/table_store/fake_table_service.h"

#include <algorithm>

namespace applestand {

void FakeTableService::SetFault(Fault fault) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_fault = fault;
}

size_t FakeTableService::commits() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_commits;
}

RowVersion FakeTableService::CurrentVersion(const std::string& key) const {
  const auto it = m_rows.find(key);
  return it == m_rows.end() ? RowVersion(0) : it->second.version;
}

TableStatus FakeTableService::Transact(const std::vector<RowWrite>& writes) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_fault == Fault::kDown) {
    return TableStatus::kUnavailable;
  }
  if (m_fault == Fault::kRequestLost) {
    return TableStatus::kUnknown;
  }
  const bool conditions_hold =
      std::all_of(writes.begin(), writes.end(), [this](const RowWrite& write) {
        return CurrentVersion(write.key) == write.expected;
      });
  if (conditions_hold) {
    for (const RowWrite& write : writes) {
      RowVersion& last = m_last_versions[write.key];
      last = last.Next();
      if (write.value) {
        m_rows[write.key] = Row{write.key, *write.value, last};
      } else {
        m_rows.erase(write.key);
      }
    }
    ++m_commits;
  }
  if (m_fault == Fault::kResponseLost) {
    return TableStatus::kUnknown;
  }
  return conditions_hold ? TableStatus::kOk : TableStatus::kConflict;
}

ReadResult FakeTableService::Read(const std::vector<std::string>& keys) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_fault == Fault::kDown) {
    return {TableStatus::kUnavailable, {}};
  }
  ReadResult result{TableStatus::kOk, {}};
  for (const std::string& key : keys) {
    if (const auto it = m_rows.find(key); it != m_rows.end()) {
      result.rows.push_back(it->second);
    }
  }
  return result;
}

ReadResult FakeTableService::Scan(const std::string& prefix,
                                  const std::string& after,
                                  size_t limit) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_fault == Fault::kDown) {
    return {TableStatus::kUnavailable, {}};
  }
  ReadResult result{TableStatus::kOk, {}};
  auto it = after.empty() ? m_rows.lower_bound(prefix)
                          : m_rows.upper_bound(std::max(prefix, after));
  for (; it != m_rows.end() && result.rows.size() < limit; ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    result.rows.push_back(it->second);
  }
  return result;
}

}  // namespace applestand
