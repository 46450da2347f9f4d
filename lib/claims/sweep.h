#ifndef LIB_CLAIMS_SWEEP_H_
#define LIB_CLAIMS_SWEEP_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/table_store/table_service.h"

namespace applestand {

/// Default time that claims are kept. It must exceed by far both the time over
/// which callers repeat a request and every attempt deadline.
constexpr Duration kClaimRetention = std::chrono::hours(24 * 14);

/// Chooses the claims that are older than `retention` and returns their
/// conditional deletes, at most `limit`; rows that do not parse are kept.
/// The owner scans kClaimPrefix page by page, on any host, and runs the deletes
/// in a transaction; losing a race with another sweeper does no harm.
///
/// `wall_now_unix_ms` is the caller's wall clock and `witness_unix_ms` the
/// newest creation time in a row that another host wrote; the earlier of the
/// two counts as now, so that one wrong clock cannot delete young claims.
/// Thread-safe.
[[nodiscard]] std::vector<RowWrite> ChooseExpiredClaims(
    const std::vector<Row>& rows,
    int64_t wall_now_unix_ms,
    int64_t witness_unix_ms,
    Duration retention,
    size_t limit);

}  // namespace applestand

#endif  // LIB_CLAIMS_SWEEP_H_
