#ifndef LIB_HTTP_REQUEST_HEAD_H_
#define LIB_HTTP_REQUEST_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lib/http/message.h"

namespace applestand {

/// Why a request was refused before any of it was executed.
struct Refusal {
  int status = 0;
  std::string text;
};

/// A request without its body, and how the body is framed.
struct RequestHead {
  HttpRequest request;
  /// The body uses the chunked transfer coding; otherwise its length is
  /// `body_bytes`.
  bool chunked = false;
  size_t body_bytes = 0;
  /// The caller waits for `100 Continue` before it sends the body.
  bool expects_continue = false;
  /// The caller wants to send more requests on the connection.
  bool keep_alive = true;
  bool http_1_0 = false;
};

/// Returns whether a request may begin with this byte.
bool CanStartRequest(char c);

/// Parses the request line and the headers, without the blank line after them.
/// Returns std::nullopt and sets `refusal` if recipients could interpret the
/// head in different ways, or if it announces a body of more than
/// `max_body_bytes`. Thread-safe.
/// Precondition: every line feed in `text` follows a carriage return.
[[nodiscard]] std::optional<RequestHead> ParseRequestHead(std::string_view text,
                                                          size_t max_body_bytes,
                                                          Refusal& refusal);

/// Returns the headers of a head that may be incomplete or malformed, for log
/// lines: those whose line has ended and can be parsed. Thread-safe.
std::vector<HttpHeader> ReadableHeaders(std::string_view head);

}  // namespace applestand

#endif  // LIB_HTTP_REQUEST_HEAD_H_
