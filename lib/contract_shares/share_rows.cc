#include "lib/contract_shares/share_rows.h"

namespace applestand {

std::string ShareRowKey(size_t share) {
  return "seat/" + std::to_string(share);
}

std::optional<ShareRow> ParseShareRow(const std::string& value) {
  Reason ignored;
  std::optional<ShareRow> row = Decode<ShareRow>(value, ignored);
  if (!row || row->lease <= Duration::zero() || row->lease > kMaxShareLease) {
    return std::nullopt;
  }
  return row;
}

}  // namespace applestand
