#ifndef LIB_KEYS_PRESENTED_KEY_H_
#define LIB_KEYS_PRESENTED_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// Names of the headers that may carry a key, in lower case.
inline constexpr std::string_view kAuthorizationHeader = "authorization";
inline constexpr std::string_view kKeyHeader = "x-applestand-key";

/// Length of a secret in characters. A secret consists of letters, digits, "-"
/// and "_".
inline constexpr size_t kMinSecretLength = 16;
inline constexpr size_t kMaxSecretLength = 256;

/// The key that a caller presented, not yet verified.
struct PresentedKey {
  KeyId id;
  std::string secret;
};

enum class KeyPresence {
  kAbsent,
  kPresent,
  /// Presented more than once, or not in the form "<key id>.<secret>".
  kMalformed,
};

struct KeyParseResult {
  KeyPresence presence = KeyPresence::kAbsent;
  /// Set if `presence` is kPresent.
  std::optional<PresentedKey> key;
  /// Set if `presence` is kMalformed.
  Reason reason;
};

/// Parses the key from "Authorization: Bearer <key id>.<secret>" or
/// "X-Applestand-Key: <key id>.<secret>". A request with more than one of these
/// headers is malformed. Thread-safe.
KeyParseResult ParseKey(const HttpRequest& request);

/// Returns the SHA-256 hash of `bytes` in lower-case hexadecimal. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

/// Returns true if `secret` has the given hash. The hashes are compared in
/// constant time, so that timing does not reveal where they differ.
/// Thread-safe.
[[nodiscard]] bool SecretMatches(std::string_view secret,
                                 std::string_view sha256_hex);

/// Returns a new secret of 256 random bits in hexadecimal. Returns std::nullopt
/// and sets `reason` if the system's random number generator fails.
/// Thread-safe.
[[nodiscard]] std::optional<std::string> GenerateSecret(Reason& reason);

}  // namespace applestand

#endif  // LIB_KEYS_PRESENTED_KEY_H_
