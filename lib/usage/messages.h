#ifndef LIB_USAGE_MESSAGES_H_
#define LIB_USAGE_MESSAGES_H_

#include <cstdint>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Requests of a client account that are charged or in dispute.
struct Usage {
  /// Requests that ran: charged, once each.
  uint64_t ran = 0;
  /// Requests that may have run: not charged, shown apart.
  uint64_t disputed = 0;

  MSGPACK_DEFINE(ran, disputed)
};

/// Value of a row "usage/<account>/<host>/<incarnation>": all that one run of
/// a host has counted so far.
struct UsageRow {
  ClientAccountId account;
  HostId host;
  Incarnation incarnation;
  Usage usage;

  MSGPACK_DEFINE(account, host, incarnation, usage)
};

}  // namespace applestand

#endif  // LIB_USAGE_MESSAGES_H_
