#ifndef LIB_CLAIMS_EXPIRED_CLAIMS_H_
#define LIB_CLAIMS_EXPIRED_CLAIMS_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// Default retention period of claims. It must be much longer than the time
/// over which callers retry a request, and than every attempt deadline.
constexpr Duration kClaimRetention = std::chrono::hours(24 * 14);

/// Returns conditional deletes, at most `limit`, for the claims in `rows` that
/// are older than `retention`. Rows that cannot be parsed are not deleted.
/// Any host may scan the rows under kClaimPrefix page by page and commit the
/// deletes in a transaction. Concurrent deletion by several hosts is safe,
/// because each delete is conditional on the row version.
///
/// `wall_now_unix_ms` is the wall-clock time of this host.
/// `newest_peer_claim_unix_ms` is the latest creation time in a row that
/// another host wrote. The earlier of the two is taken as the current time, so
/// that a single wrong clock cannot cause the deletion of recent claims.
/// Thread-safe.
[[nodiscard]] std::vector<RowWrite> ChooseExpiredClaims(
    const std::vector<Row>& rows,
    int64_t wall_now_unix_ms,
    int64_t newest_peer_claim_unix_ms,
    Duration retention,
    size_t limit);

}  // namespace applestand

#endif  // LIB_CLAIMS_EXPIRED_CLAIMS_H_
