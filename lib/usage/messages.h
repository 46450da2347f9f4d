#ifndef LIB_USAGE_MESSAGES_H_
#define LIB_USAGE_MESSAGES_H_

#include <cstdint>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Numbers of requests of a client account that are charged or disputed.
struct Usage {
  /// Requests that ran. Each is charged once.
  uint64_t ran = 0;
  /// Requests that may have run. They are not charged and are reported
  /// separately.
  uint64_t disputed = 0;

  MSGPACK_DEFINE(ran, disputed)
};

/// Value of a row "usage/<account>/<host>/<incarnation>": the cumulative totals
/// that one incarnation of a host has counted for the account.
struct UsageRow {
  ClientAccountId account;
  HostId host;
  Incarnation incarnation;
  Usage usage;

  MSGPACK_DEFINE(account, host, incarnation, usage)
};

}  // namespace applestand

#endif  // LIB_USAGE_MESSAGES_H_
