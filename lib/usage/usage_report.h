#ifndef LIB_USAGE_USAGE_REPORT_H_
#define LIB_USAGE_USAGE_REPORT_H_

#include <optional>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/table_store/table_service.h"
#include "lib/usage/messages.h"

namespace applestand {

/// Sums what all hosts have counted for `account`. Nothing, with the reason,
/// where the table does not answer or a row cannot be read: a partial sum is
/// never given out. Blocks; thread-safe if `table` is.
[[nodiscard]] std::optional<Usage> ReadUsage(TableService& table,
                                             const ClientAccountId& account,
                                             Reason& reason);

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_REPORT_H_
