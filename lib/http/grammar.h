#ifndef LIB_HTTP_GRAMMAR_H_
#define LIB_HTTP_GRAMMAR_H_

#include <optional>
#include <string_view>
#include <vector>

#include "lib/http/message.h"

namespace applestand {

/// Returns whether `c` may stand in a token (RFC 9110, 5.6.2). Thread-safe.
bool IsTokenChar(char c);

/// Returns whether `text` is a token, as methods and header names are.
/// Thread-safe.
bool IsToken(std::string_view text);

/// Returns whether `text` has no control bytes other than tab, as values of
/// headers and reason phrases (RFC 9110, 5.5; RFC 9112, 4). Thread-safe.
bool HasOnlyTextBytes(std::string_view text);

/// Returns `text` without blanks and tabs at its ends. Thread-safe.
std::string_view TrimBlanks(std::string_view text);

/// Parses a header or trailer without its line end (RFC 9112, 5). Returns
/// std::nullopt if the line is none, which includes folded lines and blanks
/// before the colon. Thread-safe.
std::optional<HttpHeader> ParseHeader(std::string_view line);

/// Returns whether the comma-separated lists in all headers `name` contain
/// `word`, ignoring case. Thread-safe.
bool ListContains(const std::vector<HttpHeader>& headers,
                  std::string_view name,
                  std::string_view word);

/// Returns whether a status line begins within `head`, the head of a response
/// or a part of it, after its first byte: a response that was cut, and the
/// beginning of the next one, look like one head. Thread-safe.
bool HasFurtherStatusLine(std::string_view head);

}  // namespace applestand

#endif  // LIB_HTTP_GRAMMAR_H_
