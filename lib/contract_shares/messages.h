#ifndef LIB_CONTRACT_SHARES_MESSAGES_H_
#define LIB_CONTRACT_SHARES_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Value of the table row "seat/<k>": the lease of contract share k. Every
/// client account's contract is divided into the same number of equal shares.
struct ShareRow {
  HostId host;
  Incarnation incarnation;
  /// Length of the lease. The holder counts it from before it sent the write.
  Duration lease{};
  /// Distinguishes the writes of one incarnation.
  uint64_t serial = 0;
  /// True if the last holder has stopped using the share.
  bool released = false;

  MSGPACK_DEFINE(host, incarnation, lease, serial, released)
};

/// A contract share that this host may use in [from, until). Both are times
/// since boot, so the message is valid only on this machine and until it
/// reboots.
struct OwnedShare {
  ShareIndex index;
  Duration from{};
  Duration until{};
  /// Serial and incarnation in the table row that confirms the lease. Used by
  /// ShareManager::Adopt.
  uint64_t serial = 0;
  Incarnation row_incarnation;

  MSGPACK_DEFINE(index, from, until, serial, row_incarnation)
};

/// Sent by the control process to the entry process of the same machine: all
/// contract shares that the host may use. Replaces any grant with a lower
/// (incarnation, generation).
struct ShareGrant {
  Incarnation incarnation;
  uint64_t generation = 0;
  std::vector<OwnedShare> shares;

  MSGPACK_DEFINE(incarnation, generation, shares)
};

/// Sent by the entry process to the control process: the grant is in force, so
/// shares that it does not contain are no longer used.
struct ShareGrantApplied {
  Incarnation incarnation;
  uint64_t generation = 0;

  MSGPACK_DEFINE(incarnation, generation)
};

}  // namespace applestand

#endif  // LIB_CONTRACT_SHARES_MESSAGES_H_
