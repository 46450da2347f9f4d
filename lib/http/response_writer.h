#ifndef LIB_HTTP_RESPONSE_WRITER_H_
#define LIB_HTTP_RESPONSE_WRITER_H_

#include <string>

#include "lib/http/message.h"

namespace applestand {

/// What the bytes of an answer depend on besides the answer itself.
struct ResponseContext {
  /// The request was HEAD: no body is sent.
  bool head = false;
  /// The connection closes after the answer.
  bool close = false;
};

/// An answer's bytes, and whether the connection has to close after them.
struct SerializedResponse {
  std::string bytes;
  bool close = false;
};

/// Serializes an answer. `Connection`, `Keep-Alive` and `Transfer-Encoding`
/// headers are the connection's own and are left out; `Connection: close` asks
/// to close. Control characters in headers become spaces. Thread-safe.
SerializedResponse Serialize(const HttpResponse& response,
                             const ResponseContext& context);

/// A refusal by the server itself: nothing has run.
HttpResponse RefusalResponse(int status, const std::string& text);

}  // namespace applestand

#endif  // LIB_HTTP_RESPONSE_WRITER_H_
