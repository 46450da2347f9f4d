#include <doctest/doctest.h>

#include <cctype>
#include <string>

#include "lib/keys/header_filter.h"
#include "lib/keys/presented_key.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

const std::string kSecret = "abcDEF012345-_xyzUVW";
const std::string kToken = "k1." + kSecret;

// Builds requests that contain the key in various places and encodings.
class RequestBuilder {
 public:
  explicit RequestBuilder(const Script& script) : m_script(script) {}

  HttpRequest Build() {
    HttpRequest request;
    request.target = "/orders?" + Value();
    while (m_at < m_script.size()) {
      request.headers.push_back({Name(), Value()});
    }
    return request;
  }

 private:
  uint32_t Next() { return m_at < m_script.size() ? m_script[m_at++] : 0; }

  std::string Name() {
    static constexpr const char* kNames[] = {
        "authorization", "x-applestand-key", "accept",     "referer",
        "cookie",        "user-agent",       "x-injected", "content-type"};
    const uint32_t pick = Next();
    return MixCase(kNames[pick % 8], pick);
  }

  std::string Value() {
    const uint32_t pick = Next();
    switch (pick % 6) {
      case 0:
        return "Bearer " + kToken;
      case 1:
        return kToken;
      case 2:
        return "a=" + MixCase(kSecret, pick) + "&b";
      case 3:
        return "x" + PercentEncode(PercentEncode(kSecret, pick), pick >> 3);
      case 4:
        return PercentEncode(kToken, pick) + "%";
      default:
        return "plain/1.0 (1.2.3)";
    }
  }

  static std::string MixCase(std::string text, uint32_t bits) {
    for (size_t i = 0; i < text.size(); ++i) {
      if (((bits >> (i % 24)) & 1) != 0) {
        text[i] = static_cast<char>(std::toupper(text[i]));
      }
    }
    return text;
  }

  static std::string PercentEncode(const std::string& text, uint32_t bits) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string encoded;
    for (size_t i = 0; i < text.size(); ++i) {
      if (((bits >> (i % 24)) & 1) != 0) {
        encoded += {'%', kDigits[text[i] >> 4], kDigits[text[i] & 15]};
      } else {
        encoded += text[i];
      }
    }
    return encoded;
  }

  const Script& m_script;
  size_t m_at = 0;
};

// Returns true if `text` contains the secret, in any case and under up to three
// layers of percent-encoding. Independent of the implementation under test.
bool RevealsSecret(std::string text) {
  const auto lower = [](std::string s) {
    for (char& c : s) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return s;
  };
  for (int layer = 0; layer < 4; ++layer) {
    if (lower(text).find(lower(kSecret)) != std::string::npos) {
      return true;
    }
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
      const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                             std::isxdigit(text[i + 1]) != 0 &&
                             std::isxdigit(text[i + 2]) != 0;
      if (is_escape) {
        decoded +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    text = decoded;
  }
  return false;
}

}  // namespace

TEST_CASE("no forwarded text reveals the presented key to the target") {
  ConfigState state;
  state.keys[KeyId("k1")] = {KeyId("k1"), {}, Sha256Hex(kSecret)};
  const HeaderFilter filter(state, {"x-applestand-key", "cookie"});
  int accepted_count = 0;
  CheckScripts(2, 3000, 12, [&](const Script& script) {
    const HttpRequest request = RequestBuilder(script).Build();
    const bool presents_key =
        ParseKey(request).presence == KeyPresence::kPresent;
    Reason reason;
    const auto forwarded = filter.Filter(request, reason);
    if (!forwarded) {
      RC_ASSERT(!reason.text.empty());
      return;
    }
    ++accepted_count;
    for (const HttpHeader& header : *forwarded) {
      RC_ASSERT(!SameHeaderName(header.name, kAuthorizationHeader));
      RC_ASSERT(!SameHeaderName(header.name, kKeyHeader));
      RC_ASSERT(!presents_key || !RevealsSecret(header.value));
    }
    RC_ASSERT(!presents_key || !RevealsSecret(request.target));
  });
  CHECK(accepted_count > 0);
}

}  // namespace applestand
