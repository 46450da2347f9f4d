#include "lib/keys/presented_key.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace applestand {

namespace {

constexpr std::string_view kBearerScheme = "bearer";
constexpr size_t kSecretBytes = 32;

std::string ToHex(const unsigned char* bytes, size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * size);
  for (size_t i = 0; i < size; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4]);
    hex.push_back(kDigits[bytes[i] & 15]);
  }
  return hex;
}

KeyParseResult Malformed(const char* text) {
  return {KeyPresence::kMalformed, std::nullopt, {text}};
}

bool IsKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

// Returns the part of an Authorization value after the scheme "Bearer", or
// std::nullopt if the value has another scheme.
std::optional<std::string_view> RemoveBearerScheme(std::string_view value) {
  const size_t space = value.find(' ');
  if (space == std::string_view::npos ||
      !SameHeaderName(value.substr(0, space), kBearerScheme)) {
    return std::nullopt;
  }
  return value.substr(space + 1);
}

KeyParseResult ParseToken(std::string_view token) {
  const size_t dot = token.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return Malformed("a key must have the form <key id>.<secret>");
  }
  const std::string_view id = token.substr(0, dot);
  const std::string_view secret = token.substr(dot + 1);
  if (!std::all_of(id.begin(), id.end(), IsKeyCharacter) ||
      !std::all_of(secret.begin(), secret.end(), IsKeyCharacter)) {
    return Malformed("a key holds only letters, digits, - and _");
  }
  if (secret.size() < kMinSecretLength || secret.size() > kMaxSecretLength) {
    return Malformed("a key's secret has 16 to 256 characters");
  }
  return {KeyPresence::kPresent,
          PresentedKey{KeyId(std::string(id)), std::string(secret)},
          {}};
}

}  // namespace

KeyParseResult ParseKey(const HttpRequest& request) {
  const size_t bearer_count =
      CountHeaders(request.headers, kAuthorizationHeader);
  const size_t key_count = CountHeaders(request.headers, kKeyHeader);
  if (bearer_count + key_count == 0) {
    return {};
  }
  if (bearer_count + key_count > 1) {
    return Malformed("a request must show one key, once");
  }
  if (key_count == 1) {
    return ParseToken(*FindHeader(request.headers, kKeyHeader));
  }
  const std::string value = *FindHeader(request.headers, kAuthorizationHeader);
  const auto token = RemoveBearerScheme(value);
  if (!token) {
    return Malformed("Authorization must have the form Bearer <key>");
  }
  return ParseToken(*token);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

bool SecretMatches(std::string_view secret, std::string_view sha256_hex) {
  const std::string hash = Sha256Hex(secret);
  return hash.size() == sha256_hex.size() &&
         CRYPTO_memcmp(hash.data(), sha256_hex.data(), hash.size()) == 0;
}

std::optional<std::string> GenerateSecret(Reason& reason) {
  std::array<unsigned char, kSecretBytes> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    reason.text = "the system's random generator failed";
    return std::nullopt;
  }
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace applestand
