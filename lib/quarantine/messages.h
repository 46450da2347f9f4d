#ifndef LIB_QUARANTINE_MESSAGES_H_
#define LIB_QUARANTINE_MESSAGES_H_

#include <cstdint>
#include <string>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Identifies equal requests of one client account. The account is not part of
/// the hash, so that a forged hash collision affects only requests of the same
/// account.
struct Fingerprint {
  ClientAccountId account;
  /// XXH3 (128 bits) over method, host name, target and body.
  uint64_t high = 0;
  uint64_t low = 0;
  MSGPACK_DEFINE(account, high, low)

  /// Returns the hash as 32 hexadecimal digits.
  std::string Hex() const;

  friend bool operator==(const Fingerprint& a, const Fingerprint& b) {
    return a.high == b.high && a.low == b.low && a.account == b.account;
  }
  friend bool operator<(const Fingerprint& a, const Fingerprint& b) {
    if (a.high != b.high) {
      return a.high < b.high;
    }
    if (a.low != b.low) {
      return a.low < b.low;
    }
    return a.account < b.account;
  }
};

enum class QuarantineNoticeKind {
  /// `target` crashed while it was running the request.
  kSuspected,
  /// The request is quarantined for `remaining`.
  kQuarantined,
  /// A target returned a complete response, so the request does not crash
  /// targets.
  kCompleted,
};

/// Sent by a host to its peers to share what it has observed of a request.
struct QuarantineNotice {
  QuarantineNoticeKind kind = QuarantineNoticeKind::kSuspected;
  Fingerprint fingerprint;
  /// Set for kSuspected only.
  TargetId target;
  /// Set for kQuarantined only.
  Duration remaining{};
  /// For kSuspected: whether the host that observed the crash knew of a
  /// complete response to the request within
  /// QuarantineOptions::completed_window before.
  bool served_before = false;
  MSGPACK_DEFINE(kind, fingerprint, target, remaining, served_before)
};

}  // namespace applestand

MSGPACK_ADD_ENUM(applestand::QuarantineNoticeKind)

#endif  // LIB_QUARANTINE_MESSAGES_H_
