#ifndef LIB_KEYS_PRESENTED_KEY_H_
#define LIB_KEYS_PRESENTED_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// Headers that may carry a key, in lower case.
inline constexpr std::string_view kAuthorizationHeader = "authorization";
inline constexpr std::string_view kKeyHeader = "x-applestand-key";

/// Characters of a secret: letters, digits, "-" and "_".
inline constexpr size_t kShortestSecret = 16;
inline constexpr size_t kLongestSecret = 256;

/// The key that a caller showed.
struct PresentedKey {
  KeyId id;
  std::string secret;
};

enum class KeyPresence {
  kAbsent,
  kPresent,
  /// Shown more than once, or not as "<key id>.<secret>".
  kMalformed,
};

struct KeyParseResult {
  KeyPresence presence = KeyPresence::kAbsent;
  /// Set where `presence` is kPresent.
  std::optional<PresentedKey> key;
  Reason reason;
};

/// Finds the key in "Authorization: Bearer <key id>.<secret>" or
/// "X-Applestand-Key: <key id>.<secret>", of which exactly one may come, once.
/// Thread-safe.
KeyParseResult ParseKey(const HttpRequest& request);

/// Lower-case hexadecimal SHA-256. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

/// Whether `secret` has this hash, in a time that does not depend on where
/// they differ. Thread-safe.
[[nodiscard]] bool SecretMatches(std::string_view secret,
                                 std::string_view sha256_hex);

/// A new secret of 256 random bits, in hexadecimal; nothing, with the reason,
/// where the system's generator fails. Thread-safe.
[[nodiscard]] std::optional<std::string> GenerateSecret(Reason& reason);

}  // namespace applestand

#endif  // LIB_KEYS_PRESENTED_KEY_H_
