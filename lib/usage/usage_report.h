#ifndef LIB_USAGE_USAGE_REPORT_H_
#define LIB_USAGE_USAGE_REPORT_H_

#include <optional>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/table_store/table_service.h"
#include "lib/usage/messages.h"

namespace applestand {

/// Returns the sum of the usage of `account` over all hosts and incarnations.
/// Returns std::nullopt and sets `reason` if the table does not respond or a
/// row cannot be decoded, so that a partial sum is never reported. Blocks.
/// Thread-safe if `table` is.
[[nodiscard]] std::optional<Usage> ReadUsage(TableService& table,
                                             const ClientAccountId& account,
                                             Reason& reason);

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_REPORT_H_
