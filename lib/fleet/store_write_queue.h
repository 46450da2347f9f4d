#ifndef LIB_FLEET_STORE_WRITE_QUEUE_H_
#define LIB_FLEET_STORE_WRITE_QUEUE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/metadata_store.h"
#include "lib/net/reactor.h"

namespace applestand {

/// Writes rows of the host table in batches and retries until the store has
/// accepted them. Of several writes of a row only the last is kept. Writes may
/// take effect late and more than once. Not thread-safe.
class StoreWriteQueue {
 public:
  /// All references must outlive this object.
  StoreWriteQueue(Reactor& reactor, MetadataStore& store);
  ~StoreWriteQueue();
  StoreWriteQueue(const StoreWriteQueue&) = delete;
  StoreWriteQueue& operator=(const StoreWriteQueue&) = delete;

  /// Queues a write, or the removal of the row if `value` is std::nullopt. If
  /// the queue is full, logs that and drops the write.
  void Add(const std::string& key, std::optional<std::string> value);
  /// Drops the queued writes of rows whose keys begin with `prefix`. One that
  /// is being written takes effect all the same.
  void Drop(const std::string& prefix);

 private:
  /// Writes the queued rows after `delay`, unless a write is pending or
  /// scheduled.
  void ScheduleFlush(Duration delay);
  void Flush();
  void OnWritten(const std::vector<StoreWrite>& batch,
                 StoreStatus status,
                 const std::string& error);

  MetadataStore& m_store;
  std::map<std::string, std::optional<std::string>> m_queued;
  std::unique_ptr<StoreCall> m_write;
  bool m_flush_scheduled = false;
  Timer m_flush_timer;
};

}  // namespace applestand

#endif  // LIB_FLEET_STORE_WRITE_QUEUE_H_
