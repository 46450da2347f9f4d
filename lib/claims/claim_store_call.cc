#include "lib/claims/claim_store_call.h"

#include <utility>

namespace applestand {

ClaimStoreCallResult Execute(const ClaimStoreCall& call,
                             TableService& table,
                             ObjectStore& objects) {
  ClaimStoreCallResult result;
  result.id = call.id;
  switch (call.kind) {
    case ClaimStoreCall::Kind::kTransact:
      result.status = table.Transact(call.writes);
      break;
    case ClaimStoreCall::Kind::kRead: {
      ReadResult read = table.Read(call.keys);
      result.status = read.status;
      result.rows = std::move(read.rows);
      break;
    }
    case ClaimStoreCall::Kind::kPutObject:
      result.status = objects.Create(call.keys.front(), call.bytes);
      break;
    case ClaimStoreCall::Kind::kGetObject: {
      ObjectStore::GetResult object = objects.Get(call.keys.front());
      result.status = object.status;
      result.bytes = std::move(object.bytes);
      break;
    }
  }
  return result;
}

}  // namespace applestand
