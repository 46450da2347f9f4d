#include "lib/claims/expired_claims.h"

#include <algorithm>
#include <optional>

#include "lib/claims/claim.h"

namespace applestand {

std::vector<RowWrite> ChooseExpiredClaims(const std::vector<Row>& rows,
                                          int64_t wall_now_unix_ms,
                                          int64_t newest_peer_claim_unix_ms,
                                          Duration retention,
                                          size_t limit) {
  const int64_t oldest_retained_unix_ms =
      std::min(wall_now_unix_ms, newest_peer_claim_unix_ms) -
      ToMillis(retention);
  std::vector<RowWrite> deletes;
  for (const Row& row : rows) {
    if (deletes.size() == limit) {
      break;
    }
    Reason reason;
    const std::optional<ClaimRow> claim = ParseClaimRow(row.value, reason);
    if (claim && claim->created_unix_ms < oldest_retained_unix_ms) {
      deletes.push_back({row.key, row.version, std::nullopt});
    }
  }
  return deletes;
}

}  // namespace applestand
