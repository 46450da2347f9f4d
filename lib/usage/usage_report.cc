#include "lib/usage/usage_report.h"

#include <string>

#include "lib/usage/usage_keys.h"

namespace applestand {

namespace {
constexpr size_t kRowsPerScan = 200;
}  // namespace

std::optional<Usage> ReadUsage(TableService& table,
                               const ClientAccountId& account,
                               Reason& reason) {
  Usage sum;
  std::string after;
  while (true) {
    const ReadResult result =
        table.Scan(UsagePrefix(account), after, kRowsPerScan);
    if (result.status != TableStatus::kOk) {
      reason.text = std::string("table: ") + ToString(result.status);
      return std::nullopt;
    }
    for (const Row& row : result.rows) {
      const auto entry = Decode<UsageRow>(row.value, reason);
      if (!entry) {
        reason.text = row.key + ": " + reason.text;
        return std::nullopt;
      }
      sum.ran += entry->usage.ran;
      sum.disputed += entry->usage.disputed;
      after = row.key;
    }
    if (result.rows.size() < kRowsPerScan) {
      return sum;
    }
  }
}

}  // namespace applestand
