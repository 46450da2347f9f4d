#ifndef LIB_TABLE_STORE_TABLE_SERVICE_H_
#define LIB_TABLE_STORE_TABLE_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/base/ids.h"

namespace applestand {

/// One row of the platform's table. Key and value may hold any bytes.
struct Row {
  std::string key;
  std::string value;
  RowVersion version;
};

/// One conditional write of a transaction. The condition holds if the row's
/// version equals `expected`; 0 means that the row must not exist. The row is
/// then set to `value`, or deleted if `value` is std::nullopt, and its version
/// increases by one.
struct RowWrite {
  std::string key;
  RowVersion expected;
  std::optional<std::string> value;
};

enum class TableStatus {
  kOk,
  /// A condition did not hold. Nothing was written.
  kConflict,
  /// The service could not be reached or rejected the request. Nothing was
  /// written or will be written.
  kUnavailable,
  /// The outcome is unknown, for example because no response arrived. The
  /// transaction may have taken effect, or may still take effect later.
  kUnknown,
};

const char* ToString(TableStatus status);

struct ReadResult {
  TableStatus status = TableStatus::kUnavailable;
  /// The rows that exist, in key order.
  std::vector<Row> rows;
};

/// The platform's transactional table service. All calls block; code on an
/// event loop therefore calls it from a separate thread.
/// Thread safety: implementations may be called from any thread.
class TableService {
 public:
  virtual ~TableService() = default;

  /// Applies all writes or none. Precondition: `writes` is not empty and
  /// contains no key twice.
  [[nodiscard]] virtual TableStatus Transact(
      const std::vector<RowWrite>& writes) = 0;

  /// Reads the rows with the given keys. Rows that do not exist are omitted.
  [[nodiscard]] virtual ReadResult Read(
      const std::vector<std::string>& keys) = 0;

  /// Reads, in key order, up to `limit` rows whose key starts with `prefix` and
  /// is greater than `after`. An empty `after` starts at the first such row.
  [[nodiscard]] virtual ReadResult Scan(const std::string& prefix,
                                        const std::string& after,
                                        size_t limit) = 0;
};

/// The platform's object store. All calls block.
/// Thread safety: implementations may be called from any thread.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Creates the object. Returns kConflict if it already exists.
  [[nodiscard]] virtual TableStatus Create(const std::string& key,
                                           const std::string& bytes) = 0;

  struct GetResult {
    TableStatus status = TableStatus::kUnavailable;
    std::optional<std::string> bytes;
  };
  /// Reads an object. Returns kOk without bytes if it does not exist.
  [[nodiscard]] virtual GetResult Get(const std::string& key) = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_TABLE_SERVICE_H_
