#include "lib/keys/route_index.h"

#include <algorithm>

namespace applestand {

namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

// Returns true for characters that may appear unescaped in a path. ";" may not,
// because some servers end a segment there.
bool IsAllowedUnescaped(char c) {
  return IsUnreserved(c) ||
         std::string_view("/!$&'()*+,=:@").find(c) != std::string_view::npos;
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

// Returns true if all servers interpret the percent-encoded character at the
// start of `text` in the same way: it must be escaped and cannot end a segment.
bool IsUnambiguousEscape(std::string_view text) {
  if (text.size() < 3 || HexValue(text[1]) < 0 || HexValue(text[2]) < 0) {
    return false;
  }
  const auto c =
      static_cast<unsigned char>(HexValue(text[1]) * 16 + HexValue(text[2]));
  return c >= ' ' && c != 0x7f && !IsUnreserved(static_cast<char>(c)) &&
         std::string_view("/\\%;").find(static_cast<char>(c)) ==
             std::string_view::npos;
}

}  // namespace

bool IsUnambiguousPath(std::string_view path, Reason& reason) {
  if (path.empty() || path.front() != '/') {
    reason.text = "the path must start with /";
    return false;
  }
  for (size_t i = 0; i < path.size(); ++i) {
    const bool is_escape = path[i] == '%';
    if (is_escape ? !IsUnambiguousEscape(path.substr(i))
                  : !IsAllowedUnescaped(path[i])) {
      reason.text =
          "the path holds a character or percent-coding that could "
          "be read in two ways";
      return false;
    }
  }
  std::string_view rest = path.substr(1);
  while (!rest.empty()) {
    const size_t slash = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, slash);
    if (segment.empty() || segment == "." || segment == "..") {
      reason.text = "the path holds an empty, . or .. segment";
      return false;
    }
    rest.remove_prefix(std::min(slash + 1, rest.size()));
  }
  return true;
}

void RouteIndex::Update(const ConfigState& state) {
  if (m_version == state.version) {
    return;
  }
  m_by_prefix.clear();
  for (const auto& [id, route] : state.routes) {
    m_by_prefix[route.path_prefix] = &route;
  }
  m_version = state.version;
}

const Route* RouteIndex::Find(std::string_view path) const {
  const auto find = [this](std::string_view prefix) -> const Route* {
    const auto it = m_by_prefix.find(prefix);
    return it == m_by_prefix.end() ? nullptr : it->second;
  };
  for (size_t length = path.size(); length > 0;) {
    if (const Route* route = find(path.substr(0, length))) {
      return route;
    }
    const size_t slash = path.rfind('/', length - 1);
    length = slash == std::string_view::npos ? 0 : slash;
  }
  return find("/");
}

}  // namespace applestand
