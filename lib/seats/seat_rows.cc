#include "lib/seats/seat_rows.h"

namespace applestand {

std::string SeatKey(size_t seat) {
  return "seat/" + std::to_string(seat);
}

std::optional<SeatRow> ParseSeatRow(const std::string& value) {
  Reason ignored;
  std::optional<SeatRow> row = Decode<SeatRow>(value, ignored);
  if (!row || row->lease <= Duration::zero() || row->lease > kMaxSeatLease) {
    return std::nullopt;
  }
  return row;
}

}  // namespace applestand
