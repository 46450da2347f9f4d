#ifndef LIB_HTTP_REQUEST_HEAD_H_
#define LIB_HTTP_REQUEST_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "lib/http/message.h"

namespace applestand {

/// Why a request is refused before anything ran.
struct Refusal {
  int status = 0;
  std::string text;
};

/// A request without its body, and how the body comes.
struct RequestHead {
  HttpRequest request;
  /// The body comes in chunks; otherwise it has `body_bytes`.
  bool chunked = false;
  size_t body_bytes = 0;
  /// The caller waits for `100 Continue` before it sends the body.
  bool expects_continue = false;
  /// The caller wants to send more requests on the connection.
  bool keep_alive = true;
};

/// Whether a request may begin with this byte.
bool StartsRequest(char c);

/// Parses the request line and headers, without the blank line that ends them.
/// Precondition: every line feed in `text` follows a carriage return. Nothing,
/// with the refusal, for what has not one meaning to every reader or announces
/// more than `max_body_bytes`. Thread-safe.
[[nodiscard]] std::optional<RequestHead> ParseRequestHead(std::string_view text,
                                                          size_t max_body_bytes,
                                                          Refusal& refusal);

}  // namespace applestand

#endif  // LIB_HTTP_REQUEST_HEAD_H_
