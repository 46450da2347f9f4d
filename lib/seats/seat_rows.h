#ifndef LIB_SEATS_SEAT_ROWS_H_
#define LIB_SEATS_SEAT_ROWS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "lib/seats/messages.h"

namespace applestand {

/// Longest lease that a row may state; longer ones are taken for garbage.
constexpr Duration kMaxSeatLease = std::chrono::hours(1);

/// Key of the table row of a seat. Thread-safe.
std::string SeatKey(size_t seat);

/// The contents of a seat's row; nothing if it is not a lease. Thread-safe.
[[nodiscard]] std::optional<SeatRow> ParseSeatRow(const std::string& value);

}  // namespace applestand

#endif  // LIB_SEATS_SEAT_ROWS_H_
