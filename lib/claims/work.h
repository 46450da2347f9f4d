#ifndef LIB_CLAIMS_WORK_H_
#define LIB_CLAIMS_WORK_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/table_store/table_service.h"

namespace applestand {

/// One blocking call that a ClaimBook asks its owner to make.
struct ClaimWork {
  enum class Kind { kTransact, kRead, kPutObject, kGetObject };

  uint64_t id = 0;
  Kind kind = Kind::kTransact;
  /// kTransact: the conditional writes.
  std::vector<RowWrite> writes;
  /// kRead: the table keys. kPutObject, kGetObject: the one object key.
  std::vector<std::string> keys;
  /// kPutObject: the object.
  std::string bytes;
};

/// How the call ended.
struct ClaimWorkResult {
  uint64_t id = 0;
  TableStatus status = TableStatus::kUnavailable;
  /// kRead: the rows that exist.
  std::vector<Row> rows;
  /// kGetObject: the object, if it exists.
  std::optional<std::string> bytes;
};

/// Makes the call and blocks until it has ended; for a worker thread.
/// Thread-safe as far as the two services are.
ClaimWorkResult Execute(const ClaimWork& work,
                        TableService& table,
                        ObjectStore& objects);

}  // namespace applestand

#endif  // LIB_CLAIMS_WORK_H_
