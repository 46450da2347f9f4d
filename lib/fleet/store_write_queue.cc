#include "lib/fleet/store_write_queue.h"

#include <utility>

#include "lib/fleet/row_key.h"
#include "lib/log/log.h"

namespace applestand {

namespace {

// Writes that are queued at about the same time share one call.
constexpr Duration kFlushDelay = std::chrono::milliseconds(20);
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
// The platform's store accepts at most 100 rows in a transaction.
constexpr size_t kMaxRowsPerWrite = 100;
constexpr size_t kMaxQueuedRows = 4096;

}  // namespace

StoreWriteQueue::StoreWriteQueue(Reactor& reactor, MetadataStore& store)
    : m_store(store), m_flush_timer(reactor) {}

StoreWriteQueue::~StoreWriteQueue() = default;

void StoreWriteQueue::Add(const std::string& key,
                          std::optional<std::string> value) {
  if (m_queued.size() >= kMaxQueuedRows && m_queued.count(key) == 0) {
    LogEvent(Event::kStoreCallFailed,
             {{"row", key},
              {"status", "dropped"},
              {"reason", std::to_string(kMaxQueuedRows) + " rows wait"}});
    return;
  }
  m_queued[key] = std::move(value);
  ScheduleFlush(kFlushDelay);
}

void StoreWriteQueue::Drop(const std::string& prefix) {
  for (auto it = m_queued.lower_bound(prefix);
       it != m_queued.end() && HasKeyPrefix(it->first, prefix);) {
    it = m_queued.erase(it);
  }
}

void StoreWriteQueue::ScheduleFlush(Duration delay) {
  if (m_flush_scheduled || m_write != nullptr || m_queued.empty()) {
    return;
  }
  m_flush_scheduled = true;
  m_flush_timer.Start(delay, [this] { Flush(); });
}

void StoreWriteQueue::Flush() {
  m_flush_scheduled = false;
  if (m_queued.empty()) {
    return;
  }
  std::vector<StoreWrite> batch;
  for (const auto& [key, value] : m_queued) {
    if (batch.size() == kMaxRowsPerWrite) {
      break;
    }
    batch.push_back({key, value});
  }
  m_write = m_store.WriteHosts(
      batch, [this, batch](StoreStatus status, const std::string& error) {
        OnWritten(batch, status, error);
      });
}

void StoreWriteQueue::OnWritten(const std::vector<StoreWrite>& batch,
                                StoreStatus status,
                                const std::string& error) {
  m_write = nullptr;
  if (status != StoreStatus::kOk) {
    LogEvent(Event::kStoreCallFailed, {{"rows", batch.size()},
                                       {"status", ToString(status)},
                                       {"reason", error}});
    ScheduleFlush(kRetryDelay);
    return;
  }
  for (const StoreWrite& write : batch) {
    const auto queued = m_queued.find(write.key);
    // Another value may have been queued meanwhile.
    if (queued != m_queued.end() && queued->second == write.value) {
      m_queued.erase(queued);
    }
  }
  ScheduleFlush(kFlushDelay);
}

}  // namespace applestand
