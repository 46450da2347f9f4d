#ifndef LIB_TABLE_STORE_TABLE_SERVICE_H_
#define LIB_TABLE_STORE_TABLE_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/base/ids.h"

namespace applestand {

/// One row of the platform's table.
struct Row {
  std::string key;
  std::string value;
  RowVersion version;
};

/// One conditional write of a transaction. The row must have exactly
/// `expected` as its version (0: the row must not exist); it is then set to
/// `value`, or deleted where `value` is absent, and its version grows by one.
struct RowWrite {
  std::string key;
  RowVersion expected;
  std::optional<std::string> value;
};

enum class TableStatus {
  kOk,
  /// A condition did not hold; nothing was written.
  kConflict,
  /// The service was not reached or refused; nothing was or will be written.
  kUnavailable,
  /// No answer came; the transaction may or may not take effect, also later.
  kUnknown,
};

const char* ToString(TableStatus status);

struct ReadResult {
  TableStatus status = TableStatus::kUnavailable;
  /// The rows that exist, in key order.
  std::vector<Row> rows;
};

/// The platform's transactional table service. All calls block; those who may
/// not block call from a thread of their own.
/// Thread safety: implementations may be called from any thread.
class TableService {
 public:
  virtual ~TableService() = default;

  /// Applies all writes or none. Precondition: `writes` is not empty and names
  /// no key twice.
  [[nodiscard]] virtual TableStatus Transact(
      const std::vector<RowWrite>& writes) = 0;

  /// Reads the named rows; absent rows are left out.
  [[nodiscard]] virtual ReadResult Read(
      const std::vector<std::string>& keys) = 0;

  /// Reads up to `limit` rows whose key starts with `prefix` and is greater
  /// than `after`, in key order.
  [[nodiscard]] virtual ReadResult Scan(const std::string& prefix,
                                        const std::string& after,
                                        size_t limit) = 0;
};

/// The platform's object store. Same calling rules as TableService.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Creates the object if it does not exist; kConflict where it does.
  [[nodiscard]] virtual TableStatus Create(const std::string& key,
                                           const std::string& bytes) = 0;

  struct GetResult {
    TableStatus status = TableStatus::kUnavailable;
    std::optional<std::string> bytes;
  };
  /// Reads an object; kOk without bytes where it does not exist.
  [[nodiscard]] virtual GetResult Get(const std::string& key) = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_TABLE_SERVICE_H_
