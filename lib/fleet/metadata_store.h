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
  /// A condition did not hold; nothing was written.
  kConflict,
  /// The store no longer holds the history that was asked for.
  kHistoryLost,
  /// The store was not reached or turned the call away; nothing was done.
  kRefused,
  /// No answer came; a write may have taken effect or may do so later.
  kUnknown,
};

const char* ToString(StoreStatus status);

/// A call to the store under way; destroying it drops its callback.
class StoreCall {
 public:
  virtual ~StoreCall() = default;
};

struct StoreRead {
  StoreStatus status = StoreStatus::kUnknown;
  /// Why the status is not kOk.
  std::string error;
  TableUpdate update;
};

/// A row to write without a condition; removed where `value` is absent.
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
};

/// The platform's store, as far as hosts use it. Calls return at once; their
/// callbacks run later on the same thread. Not thread-safe.
class MetadataStore {
 public:
  using ReadCallback = std::function<void(StoreRead)>;
  using WriteCallback = std::function<void(StoreStatus, std::string error)>;

  virtual ~MetadataStore() = default;

  /// Reads a whole table.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> ReadTable(
      StoreTable table,
      ReadCallback callback) = 0;

  /// Reads what changed after `version`; where nothing has, waits for up to
  /// `wait` for a change.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> ReadChanges(
      StoreTable table,
      StoreVersion version,
      Duration wait,
      ReadCallback callback) = 0;

  /// Writes rows of the hosts' own table, all or none.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> WriteHosts(
      const std::vector<StoreWrite>& writes,
      WriteCallback callback) = 0;
};

}  // namespace applestand

#endif  // LIB_FLEET_METADATA_STORE_H_
