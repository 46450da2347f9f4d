#include "lib/keys/header_filter.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "lib/keys/presented_key.h"

namespace applestand {

namespace {

constexpr int kMaxDecodingLayers = 8;

// Never forwarded, even if the settings list them as extra headers.
constexpr std::string_view kBlockedHeaders[] = {
    kAuthorizationHeader, kKeyHeader,   "proxy-authorization",
    "proxy-authenticate", "connection", "keep-alive",
    "proxy-connection",   "te",         "trailer",
    "transfer-encoding",  "upgrade",    "host",
    "content-length",     "expect",
};

constexpr std::string_view kStandardHeaders[] = {
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "date",
    "digest",
    "idempotency-key",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-range",
    "if-unmodified-since",
    "origin",
    "pragma",
    "range",
    "referer",
    "tracestate",
    "traceparent",
    "user-agent",
    "x-request-id",
};

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return lower;
}

int HexValue(char c) {
  const size_t value =
      std::string_view("0123456789abcdef").find(ToLower({&c, 1}).front());
  return value == std::string_view::npos ? -1 : static_cast<int>(value);
}

// Decodes one layer of percent-encoding. Invalid escapes are kept unchanged.
std::string DecodePercentLayer(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
        HexValue(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 +
                                          HexValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

// Returns the longest sequence of token characters that ends before `from`.
std::string_view TokenBefore(std::string_view text, size_t from) {
  size_t start = from;
  while (start > 0 && IsTokenCharacter(text[start - 1])) {
    --start;
  }
  return text.substr(start, from - start);
}

// Returns the longest sequence of token characters that starts at `from`.
std::string_view TokenAt(std::string_view text, size_t from) {
  size_t end = from;
  while (end < text.size() && IsTokenCharacter(text[end])) {
    ++end;
  }
  return text.substr(from, end - from);
}

// Returns true if `text` contains "<key id>.<secret>" of a key in the
// configuration.
bool ContainsConfiguredKey(std::string_view text, const ConfigState& state) {
  for (size_t dot = text.find('.'); dot != std::string_view::npos;
       dot = text.find('.', dot + 1)) {
    const std::string_view secret = TokenAt(text, dot + 1);
    if (secret.size() < kMinSecretLength || secret.size() > kMaxSecretLength) {
      continue;
    }
    const auto key =
        state.keys.find(KeyId(std::string(TokenBefore(text, dot))));
    if (key != state.keys.end() &&
        SecretMatches(secret, key->second.secret_sha256)) {
      return true;
    }
  }
  return false;
}

// Returns the secrets presented in key headers, in lower case, including those
// in malformed headers.
std::vector<std::string> PresentedSecrets(const HttpRequest& request) {
  std::vector<std::string> secrets;
  for (const HttpHeader& header : request.headers) {
    if (!SameHeaderName(header.name, kAuthorizationHeader) &&
        !SameHeaderName(header.name, kKeyHeader)) {
      continue;
    }
    std::string_view token = header.value;
    token.remove_prefix(token.find_last_of(" \t") + 1);
    token.remove_prefix(token.find('.') + 1);
    if (token.size() >= kMinSecretLength) {
      secrets.push_back(ToLower(token));
    }
  }
  return secrets;
}

bool ContainsKey(std::string_view text,
                 const std::vector<std::string>& secrets,
                 const ConfigState& state) {
  std::string decoded_text(text);
  for (int i = 0; i < kMaxDecodingLayers; ++i) {
    const std::string lower = ToLower(decoded_text);
    for (const std::string& secret : secrets) {
      if (lower.find(secret) != std::string::npos) {
        return true;
      }
    }
    if (ContainsConfiguredKey(decoded_text, state)) {
      return true;
    }
    std::string next = DecodePercentLayer(decoded_text);
    if (next == decoded_text) {
      return false;
    }
    decoded_text = std::move(next);
  }
  // No legitimate request needs more layers. Text that is still encoded could
  // contain a key, so the request is rejected.
  return true;
}

// Returns true if the value contains no control character other than a tab.
bool HasNoControlCharacter(const HttpHeader& header) {
  const auto is_allowed = [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f);
  };
  return std::all_of(header.value.begin(), header.value.end(), is_allowed);
}

}  // namespace

HeaderFilter::HeaderFilter(const ConfigState& state,
                           const std::vector<std::string>& extra_names)
    : m_state(state) {
  m_allowed.insert(std::begin(kStandardHeaders), std::end(kStandardHeaders));
  for (const std::string& name : extra_names) {
    m_allowed.insert(ToLower(name));
  }
  for (const std::string_view name : kBlockedHeaders) {
    m_allowed.erase(std::string(name));
  }
}

std::optional<std::vector<HttpHeader>> HeaderFilter::Filter(
    const HttpRequest& request,
    Reason& reason) const {
  const std::vector<std::string> secrets = PresentedSecrets(request);
  if (ContainsKey(request.target, secrets, m_state)) {
    reason.text =
        "a key may stand in its header only, not in the path or query";
    return std::nullopt;
  }
  std::vector<HttpHeader> forwarded;
  for (const HttpHeader& header : request.headers) {
    if (m_allowed.count(ToLower(header.name)) == 0) {
      continue;
    }
    if (!HasNoControlCharacter(header)) {
      reason.text = "header " + header.name + " holds a control character";
      return std::nullopt;
    }
    if (ContainsKey(header.value, secrets, m_state)) {
      reason.text = "a key may stand in its header only, not in " + header.name;
      return std::nullopt;
    }
    forwarded.push_back(header);
  }
  return forwarded;
}

}  // namespace applestand
