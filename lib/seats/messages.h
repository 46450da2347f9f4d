#ifndef LIB_SEATS_MESSAGES_H_
#define LIB_SEATS_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Value of a row "seat/<k>".
struct SeatRow {
  HostId host;
  Incarnation incarnation;
  /// Counted by the holder from before it sent the write.
  Duration lease{};
  /// Tells the writes of one incarnation apart.
  uint64_t serial = 0;
  /// The last holder has stopped using the seat.
  bool released = false;

  MSGPACK_DEFINE(host, incarnation, lease, serial, released)
};

/// One seat that this host may use in [from, until). Both are times since
/// boot, so the message is valid on this machine and for this boot only.
struct OwnedSeat {
  SeatIndex index;
  Duration from{};
  Duration until{};
  /// Of the table row that proves the lease; for SeatManager::Adopt.
  uint64_t serial = 0;
  Incarnation row_incarnation;

  MSGPACK_DEFINE(index, from, until, serial, row_incarnation)
};

/// Control process to entry process of the same machine: all seats that the
/// host may use. It replaces any grant with a lower (incarnation, generation).
struct SeatGrant {
  Incarnation incarnation;
  uint64_t generation = 0;
  std::vector<OwnedSeat> seats;

  MSGPACK_DEFINE(incarnation, generation, seats)
};

/// Entry process to control process: the grant is in force, so seats that it
/// left out are no longer used.
struct SeatGrantApplied {
  Incarnation incarnation;
  uint64_t generation = 0;

  MSGPACK_DEFINE(incarnation, generation)
};

}  // namespace applestand

#endif  // LIB_SEATS_MESSAGES_H_
