#ifndef LIB_RPC_MESSAGE_KIND_H_
#define LIB_RPC_MESSAGE_KIND_H_

#include <cstdint>

namespace applestand {

/// The kind of a call between processes. Numbers are never reused.
enum class MessageKind : uint16_t {
  kHeartbeat = 1,
  kConfigPush = 2,
  kConfigFetch = 3,
  kLocalState = 4,
  kLoan = 10,
  kForward = 11,
  kCapacityReport = 12,
  kGrant = 13,
  kQuarantineNotice = 14,
};

}  // namespace applestand

#endif  // LIB_RPC_MESSAGE_KIND_H_
