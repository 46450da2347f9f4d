#include "lib/standin/journal.h"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

/// Serializes text that may not be UTF-8.
std::string Dump(const nlohmann::json& document) {
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

nlohmann::json ToJson(const JournalEntry& entry) {
  const HttpRequest& request = entry.request;
  nlohmann::json headers = nlohmann::json::array();
  for (const HttpHeader& header : request.headers) {
    headers.push_back({header.name, header.value});
  }
  nlohmann::json key;
  if (const auto value = FindHeader(request.headers, "Idempotency-Key")) {
    key = *value;
  }
  return {{"target", entry.target},
          {"at_us", entry.start.time_since_epoch().count()},
          {"draining", entry.draining},
          {"method", request.method},
          {"path", request.target},
          {"headers", std::move(headers)},
          {"body_bytes", request.body.size()},
          {"body_sha256", Sha256Hex(request.body)},
          {"idempotency_key", std::move(key)}};
}

}  // namespace

std::string Sha256Hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text.push_back(kDigits[digest[i] >> 4]);
    text.push_back(kDigits[digest[i] & 0xF]);
  }
  return text;
}

Journal::Journal(const std::string& file) {
  if (file.empty()) {
    return;
  }
  m_file.open(file, std::ios::app);
  if (!m_file) {
    throw std::runtime_error("cannot open the journal " + file);
  }
}

void Journal::Record(const JournalEntry& entry) {
  m_lines.push_back(Dump(ToJson(entry)));
  if (m_file.is_open()) {
    m_file << m_lines.back() << std::endl;
  }
}

std::string Journal::ToJsonArray() const {
  std::string text = "[";
  for (const std::string& line : m_lines) {
    text += text.size() > 1 ? "," : "";
    text += line;
  }
  return text + "]";
}

}  // namespace applestand
