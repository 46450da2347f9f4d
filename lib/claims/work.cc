#include "lib/claims/work.h"

#include <utility>

namespace applestand {

ClaimWorkResult Execute(const ClaimWork& work,
                        TableService& table,
                        ObjectStore& objects) {
  ClaimWorkResult result;
  result.id = work.id;
  switch (work.kind) {
    case ClaimWork::Kind::kTransact:
      result.status = table.Transact(work.writes);
      break;
    case ClaimWork::Kind::kRead: {
      ReadResult read = table.Read(work.keys);
      result.status = read.status;
      result.rows = std::move(read.rows);
      break;
    }
    case ClaimWork::Kind::kPutObject:
      result.status = objects.Create(work.keys.front(), work.bytes);
      break;
    case ClaimWork::Kind::kGetObject: {
      ObjectStore::GetResult got = objects.Get(work.keys.front());
      result.status = got.status;
      result.bytes = std::move(got.bytes);
      break;
    }
  }
  return result;
}

}  // namespace applestand
