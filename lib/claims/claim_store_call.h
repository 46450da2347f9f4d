#ifndef LIB_CLAIMS_CLAIM_STORE_CALL_H_
#define LIB_CLAIMS_CLAIM_STORE_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/table_store/table_service.h"

namespace applestand {

/// A blocking call to the table or the object store that a ClaimManager
/// requests and its owner executes.
struct ClaimStoreCall {
  enum class Kind { kTransact, kRead, kPutObject, kGetObject };

  uint64_t id = 0;
  Kind kind = Kind::kTransact;
  /// kTransact: the conditional writes of the transaction.
  std::vector<RowWrite> writes;
  /// kRead: the table keys. kPutObject, kGetObject: a single object key.
  std::vector<std::string> keys;
  /// kPutObject: the content of the object.
  std::string bytes;
};

/// Result of a ClaimStoreCall.
struct ClaimStoreCallResult {
  /// The `id` of the call.
  uint64_t id = 0;
  TableStatus status = TableStatus::kUnavailable;
  /// kRead: those of the requested rows that exist.
  std::vector<Row> rows;
  /// kGetObject: the content of the object; std::nullopt if it does not exist.
  std::optional<std::string> bytes;
};

/// Executes `call` and blocks until it completes, so it must run on a worker
/// thread. Thread-safe if `table` and `objects` are.
ClaimStoreCallResult Execute(const ClaimStoreCall& call,
                             TableService& table,
                             ObjectStore& objects);

}  // namespace applestand

#endif  // LIB_CLAIMS_CLAIM_STORE_CALL_H_
