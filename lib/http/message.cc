#include "lib/http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace applestand {

namespace {

char Lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool IsUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '.' || c == '_' || c == '~' || c == '/';
}

bool IsHexDigit(char c) {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

/// Decodes a form-encoded query value, in which '+' means a space.
std::string DecodeQueryValue(std::string_view text) {
  std::string value(text);
  std::replace(value.begin(), value.end(), '+', ' ');
  return PercentDecode(value);
}

}  // namespace

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

size_t CountHeaders(const std::vector<HttpHeader>& headers,
                    std::string_view name) {
  return static_cast<size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const HttpHeader& header) {
        return SameHeaderName(header.name, name);
      }));
}

std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      std::string_view name) {
  if (CountHeaders(headers, name) != 1) {
    return std::nullopt;
  }
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [name](const HttpHeader& header) {
                                 return SameHeaderName(header.name, name);
                               });
  return it->value;
}

bool IsEndToEndHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
      "Connection",
      "Content-Length",
      "Keep-Alive",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Proxy-Connection"};
  return std::none_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
      [name](std::string_view hop) { return SameHeaderName(name, hop); });
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

std::optional<std::string> QueryParameter(const HttpRequest& request,
                                          std::string_view name) {
  std::string_view target = request.target;
  const size_t start = target.find('?');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = target.substr(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) {
      continue;
    }
    return equals == std::string_view::npos
               ? std::string()
               : DecodeQueryValue(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::string PercentEncode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      out.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(kDigits[byte >> 4]);
    out.push_back(kDigits[byte & 0xF]);
  }
  return out;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                         IsHexDigit(text[i + 1]) && IsHexDigit(text[i + 2]);
    if (!escaped) {
      out.push_back(text[i]);
      continue;
    }
    const std::string digits(text.substr(i + 1, 2));
    out.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
    i += 2;
  }
  return out;
}

HttpResponse JsonResponse(int status, std::string json) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(json);
  return response;
}

}  // namespace applestand
