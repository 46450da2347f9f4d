#include "lib/usage/usage_counter.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "lib/usage/usage_keys.h"

namespace applestand {

UsageCounter::UsageCounter(HostId host,
                           Incarnation incarnation,
                           Options options)
    : m_host(std::move(host)), m_incarnation(incarnation), m_options(options) {
  assert(options.batch > 0 && "a transaction writes at least one row");
}

void UsageCounter::Count(const ClientAccountId& account, Ran ran) {
  switch (ran) {
    case Ran::kNotRun:
      return;
    case Ran::kRan:
      ++m_entries[account].usage.ran;
      return;
    case Ran::kMayHaveRun:
      ++m_entries[account].usage.disputed;
      return;
  }
}

bool UsageCounter::IsDirty(const Entry& entry) {
  return entry.usage.ran != entry.written.ran ||
         entry.usage.disputed != entry.written.disputed;
}

bool UsageCounter::IsWritten() const {
  return std::none_of(m_entries.begin(), m_entries.end(),
                      [](const auto& item) { return IsDirty(item.second); });
}

std::string UsageCounter::KeyOf(const ClientAccountId& account) const {
  return UsageKey(account, m_host, m_incarnation);
}

std::optional<UsageAction> UsageCounter::NextAction(TimePoint now, bool flush) {
  if (m_outstanding || (m_retry_at && now < *m_retry_at)) {
    return std::nullopt;
  }
  if (auto read = MakeRead()) {
    return read;
  }
  if (!flush && m_next_write && now < *m_next_write) {
    return std::nullopt;
  }
  if (auto write = MakeWrite()) {
    return write;
  }
  // All totals have been written.
  m_next_write = now + m_options.write_interval;
  return std::nullopt;
}

std::optional<UsageAction> UsageCounter::MakeRead() {
  UsageAction action;
  Outstanding outstanding;
  for (const auto& [account, entry] : m_entries) {
    if (entry.version_uncertain && action.read_keys.size() < m_options.batch) {
      action.read_keys.push_back(KeyOf(account));
      outstanding.accounts[account] = entry.usage;
    }
  }
  if (action.read_keys.empty()) {
    return std::nullopt;
  }
  action.id = outstanding.id = ++m_last_action_id;
  m_outstanding = std::move(outstanding);
  return action;
}

std::optional<UsageAction> UsageCounter::MakeWrite() {
  UsageAction action;
  Outstanding outstanding;
  auto it = m_entries.lower_bound(m_next_account);
  for (size_t i = 0; i < m_entries.size(); ++i) {
    if (it == m_entries.end()) {
      it = m_entries.begin();
    }
    if (action.writes.size() == m_options.batch) {
      break;
    }
    const auto& [account, entry] = *it;
    if (IsDirty(entry)) {
      const UsageRow row{account, m_host, m_incarnation, entry.usage};
      action.writes.push_back({KeyOf(account), entry.version, Encode(row)});
      outstanding.accounts[account] = entry.usage;
    }
    ++it;
  }
  if (action.writes.empty()) {
    return std::nullopt;
  }
  m_next_account = it == m_entries.end() ? ClientAccountId() : it->first;
  action.id = outstanding.id = ++m_last_action_id;
  m_outstanding = std::move(outstanding);
  return action;
}

void UsageCounter::OnTransactResult(TimePoint now,
                                    uint64_t action_id,
                                    TableStatus status) {
  if (!m_outstanding || m_outstanding->id != action_id) {
    return;
  }
  const Outstanding done = *std::exchange(m_outstanding, std::nullopt);
  for (const auto& [account, usage] : done.accounts) {
    Entry& entry = m_entries.at(account);
    if (status == TableStatus::kOk) {
      entry.written = usage;
      entry.version = entry.version.Next();
    }
    entry.version_uncertain =
        status == TableStatus::kUnknown || status == TableStatus::kConflict;
  }
  if (status != TableStatus::kOk) {
    m_retry_at = now + m_options.retry_interval;
  }
}

void UsageCounter::OnReadResult(TimePoint now,
                                uint64_t action_id,
                                const ReadResult& result) {
  if (!m_outstanding || m_outstanding->id != action_id) {
    return;
  }
  const Outstanding done = *std::exchange(m_outstanding, std::nullopt);
  if (result.status != TableStatus::kOk) {
    m_retry_at = now + m_options.retry_interval;
    return;
  }
  std::map<std::string, RowVersion> versions;
  for (const Row& row : result.rows) {
    versions[row.key] = row.version;
  }
  for (const auto& [account, usage] : done.accounts) {
    Entry& entry = m_entries.at(account);
    const auto version = versions.find(KeyOf(account));
    entry.version = version == versions.end() ? RowVersion() : version->second;
    entry.version_uncertain = false;
  }
}

}  // namespace applestand
