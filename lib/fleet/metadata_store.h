#ifndef LIB_FLEET_METADATA_STORE_H_
#define LIB_FLEET_METADATA_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lib/fleet/table_mirror.h"

namespace applestand {

enum class StoreStatus {
  kOk,
  /// A condition of the write did not hold; nothing was written.
  kConflict,
  /// The store no longer holds the requested history, or has come back from an
  /// older copy.
  kHistoryLost,
  /// The store was not reached or rejected the call, which had no effect.
  kRefused,
  /// No response arrived; a write may have taken effect or may do so later.
  kUnknown,
};

const char* ToString(StoreStatus status);

/// A call to the store in progress. Destroying it drops its callback.
class StoreCall {
 public:
  virtual ~StoreCall() = default;
};

struct StoreRead {
  StoreStatus status = StoreStatus::kUnknown;
  /// Describes the failure if the status is not kOk.
  std::string error;
  TableUpdate update;
};

/// An unconditional write of a row. Removes the row if `value` is
/// std::nullopt.
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
};

/// The operations of the platform's metadata store that hosts use. Calls return
/// immediately; their callbacks run later on the same thread. Not thread-safe.
class MetadataStore {
 public:
  using ReadCallback = std::function<void(StoreRead)>;
  using WriteCallback = std::function<void(StoreStatus, std::string error)>;

  virtual ~MetadataStore() = default;

  /// Reads a whole table.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> ReadTable(
      StoreTable table,
      ReadCallback callback) = 0;

  /// Reads the rows that changed after `version`. If there are none, waits for
  /// up to `wait` for a change.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> ReadChanges(
      StoreTable table,
      StoreVersion version,
      Duration wait,
      ReadCallback callback) = 0;

  /// Atomically writes rows of the host table.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> WriteHosts(
      const std::vector<StoreWrite>& writes,
      WriteCallback callback) = 0;
};

}  // namespace applestand

#endif  // LIB_FLEET_METADATA_STORE_H_
