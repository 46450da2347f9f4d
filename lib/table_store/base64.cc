#include "lib/table_store/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace applestand {

namespace {

constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupChars = 4;

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string Base64Encode(const std::string& bytes) {
  const size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  // EVP_EncodeBlock() also writes a terminating zero byte.
  std::string text(groups * kGroupChars + 1, '\0');
  const int length = EVP_EncodeBlock(Bytes(text), Bytes(bytes),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

std::optional<std::string> Base64Decode(const std::string& text) {
  if (text.size() % kGroupChars != 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock() ignores surrounding white space and accepts any number of
  // padding characters at the end, so both are checked here.
  const auto padding =
      static_cast<size_t>(std::find_if(text.rbegin(), text.rend(),
                                       [](char c) { return c != '='; }) -
                          text.rbegin());
  const bool has_white_space =
      std::any_of(text.begin(), text.end(),
                  [](char c) { return static_cast<unsigned char>(c) <= ' '; });
  if (padding >= kGroupBytes || has_white_space) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kGroupChars * kGroupBytes, '\0');
  const int length =
      EVP_DecodeBlock(Bytes(bytes), Bytes(text), static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

}  // namespace applestand
