#include "lib/codec/json_stream.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using Json = nlohmann::json;

bool IsBlank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// Returns whether the byte may stand in a number, true, false or null.
bool IsScalarByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '+' ||
         c == '-' || c == '.';
}

/// Returns whether the text of a string stands for itself.
bool IsPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    constexpr char kLastPrintable = '~';
    return c >= ' ' && c <= kLastPrintable && c != '\\';
  });
}

/// Returns the string that stands in the text between quotes, or std::nullopt
/// if it is not well-formed.
std::optional<std::string> DecodeString(std::string text) {
  if (IsPlain(text)) {
    return text;
  }
  const Json value = Json::parse('"' + text + '"', nullptr, false);
  return value.is_string() ? std::optional(value.get<std::string>())
                           : std::nullopt;
}

}  // namespace

bool JsonStreamParser::Push(std::string_view bytes) {
  while (!bytes.empty()) {
    if (m_token == Token::kString) {
      bytes.remove_prefix(ReadString(bytes));
    } else if (m_token == Token::kScalar) {
      bytes.remove_prefix(ReadScalar(bytes));
      if (!bytes.empty() && !EndScalar()) {
        return false;
      }
    } else if (!ReadStructure(bytes.front())) {
      return false;
    } else if (m_token != Token::kScalar) {
      bytes.remove_prefix(1);
    }
  }
  return true;
}

bool JsonStreamParser::Finish() {
  if (m_token == Token::kScalar && !EndScalar()) {
    return false;
  }
  return m_token == Token::kNone && m_expected == Expected::kNothing;
}

size_t JsonStreamParser::ReadString(std::string_view bytes) {
  size_t end = 0;
  for (; end < bytes.size(); ++end) {
    const char c = bytes[end];
    if (std::exchange(m_escaped, false)) {
      continue;
    }
    if (c == '"') {
      Keep(bytes.substr(0, end));
      EndString();
      return end + 1;
    }
    m_escaped = c == '\\';
  }
  Keep(bytes);
  return end;
}

size_t JsonStreamParser::ReadScalar(std::string_view bytes) {
  const auto* const end =
      std::find_if_not(bytes.begin(), bytes.end(), IsScalarByte);
  const auto count = static_cast<size_t>(end - bytes.begin());
  Keep(bytes.substr(0, count));
  return count;
}

void JsonStreamParser::Keep(std::string_view bytes) {
  m_too_long |= bytes.size() > m_max_bytes - m_text.size();
  if (m_too_long) {
    m_text.clear();
  } else {
    m_text.append(bytes);
  }
}

bool JsonStreamParser::ReadStructure(char c) {
  if (IsBlank(c)) {
    return true;
  }
  switch (c) {
    case '{':
      return Begin(true);
    case '[':
      return Begin(false);
    case '}':
      return End(true);
    case ']':
      return End(false);
    case ':':
      return std::exchange(m_expected, Expected::kValue) == Expected::kColon;
    case ',':
      if (m_expected != Expected::kCommaOrEnd) {
        return false;
      }
      m_expected = m_open.back() ? Expected::kKey : Expected::kValue;
      return true;
    case '"':
      m_token = Token::kString;
      return ExpectsValue() || m_expected == Expected::kKey ||
             m_expected == Expected::kKeyOrEnd;
    default:
      m_token = Token::kScalar;
      return IsScalarByte(c) && ExpectsValue();
  }
}

bool JsonStreamParser::Begin(bool object) {
  if (!ExpectsValue()) {
    return false;
  }
  m_open.push_back(object);
  m_expected = object ? Expected::kKeyOrEnd : Expected::kValueOrEnd;
  if (object) {
    m_observer.OnBeginObject();
  } else {
    m_observer.OnBeginArray();
  }
  return true;
}

bool JsonStreamParser::End(bool object) {
  const Expected when_empty =
      object ? Expected::kKeyOrEnd : Expected::kValueOrEnd;
  if (m_open.empty() || m_open.back() != object ||
      (m_expected != when_empty && m_expected != Expected::kCommaOrEnd)) {
    return false;
  }
  m_open.pop_back();
  EndValue();
  m_observer.OnEnd();
  return true;
}

void JsonStreamParser::EndValue() {
  m_expected = m_open.empty() ? Expected::kNothing : Expected::kCommaOrEnd;
}

bool JsonStreamParser::EndScalar() {
  m_token = Token::kNone;
  const bool too_long = std::exchange(m_too_long, false);
  const std::string text = std::exchange(m_text, {});
  if (!too_long && !Json::accept(text)) {
    return false;
  }
  EndValue();
  m_observer.OnScalar(text);
  return true;
}

void JsonStreamParser::EndString() {
  m_token = Token::kNone;
  const bool too_long = std::exchange(m_too_long, false);
  std::string text = std::exchange(m_text, {});
  std::optional<std::string> decoded =
      too_long ? std::nullopt : DecodeString(std::move(text));
  if (ExpectsValue()) {
    EndValue();
    m_observer.OnString(std::move(decoded));
  } else {
    m_expected = Expected::kColon;
    m_observer.OnKey(std::move(decoded));
  }
}

}  // namespace applestand
