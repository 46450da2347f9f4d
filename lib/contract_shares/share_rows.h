#ifndef LIB_CONTRACT_SHARES_SHARE_ROWS_H_
#define LIB_CONTRACT_SHARES_SHARE_ROWS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "lib/contract_shares/messages.h"

namespace applestand {

/// Longest lease that a row may state. A row with a longer lease is treated as
/// corrupt.
constexpr Duration kMaxShareLease = std::chrono::hours(1);

/// Returns the key of the table row of a contract share. Thread-safe.
std::string ShareRowKey(size_t share);

/// Returns the contents of a share's row, or std::nullopt if `value` does not
/// decode or its lease is not in (0, kMaxShareLease]. Thread-safe.
[[nodiscard]] std::optional<ShareRow> ParseShareRow(const std::string& value);

}  // namespace applestand

#endif  // LIB_CONTRACT_SHARES_SHARE_ROWS_H_
