#include "lib/claims/sweep.h"

#include <algorithm>
#include <optional>

#include "lib/claims/claim.h"

namespace applestand {

std::vector<RowWrite> ChooseExpiredClaims(const std::vector<Row>& rows,
                                          int64_t wall_now_unix_ms,
                                          int64_t witness_unix_ms,
                                          Duration retention,
                                          size_t limit) {
  const int64_t oldest_kept =
      std::min(wall_now_unix_ms, witness_unix_ms) - ToMillis(retention);
  std::vector<RowWrite> deletes;
  for (const Row& row : rows) {
    if (deletes.size() == limit) {
      break;
    }
    Reason reason;
    const std::optional<ClaimRow> claim = ParseClaimRow(row.value, reason);
    if (claim && claim->created_unix_ms < oldest_kept) {
      deletes.push_back({row.key, row.version, std::nullopt});
    }
  }
  return deletes;
}

}  // namespace applestand
