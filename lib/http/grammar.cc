#include "lib/http/grammar.h"

#include <algorithm>
#include <string>

namespace applestand {

namespace {

bool IsTextByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

}  // namespace

bool IsTokenChar(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kPunctuation.find(c) != std::string::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool HasOnlyTextBytes(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextByte);
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::optional<HttpHeader> ParseHeader(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name)) {
    return std::nullopt;
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (!HasOnlyTextBytes(value)) {
    return std::nullopt;
  }
  return HttpHeader{std::string(name), std::string(value)};
}

bool ListContains(const std::vector<HttpHeader>& headers,
                  std::string_view name,
                  std::string_view word) {
  for (const HttpHeader& header : headers) {
    if (!SameHeaderName(header.name, name)) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::string_view item = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), item.size() + 1));
      if (SameHeaderName(TrimBlanks(item), word)) {
        return true;
      }
    }
  }
  return false;
}

bool HasFurtherStatusLine(std::string_view head) {
  constexpr std::string_view kStart = "HTTP/1.";
  // The minor version, a blank and three digits.
  constexpr size_t kRestBytes = 5;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  for (size_t at = head.find(kStart, 1); at != std::string_view::npos;
       at = head.find(kStart, at + 1)) {
    const std::string_view rest = head.substr(at + kStart.size(), kRestBytes);
    if (rest.size() == kRestBytes && is_digit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.end(), is_digit)) {
      return true;
    }
  }
  return false;
}

}  // namespace applestand
