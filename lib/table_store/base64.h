#ifndef LIB_TABLE_STORE_BASE64_H_
#define LIB_TABLE_STORE_BASE64_H_

#include <optional>
#include <string>

namespace applestand {

/// Encodes arbitrary bytes as base64 with padding. Thread-safe.
std::string Base64Encode(const std::string& bytes);

/// Decodes padded base64. Returns std::nullopt if `text` is not well-formed.
/// Thread-safe.
[[nodiscard]] std::optional<std::string> Base64Decode(const std::string& text);

}  // namespace applestand

#endif  // LIB_TABLE_STORE_BASE64_H_
