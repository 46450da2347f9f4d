#ifndef LIB_HTTP_RESPONSE_WRITER_H_
#define LIB_HTTP_RESPONSE_WRITER_H_

#include <string>

#include "lib/http/message.h"

namespace applestand {

/// Properties of the request and the connection that a serialized response
/// depends on.
struct ResponseContext {
  /// The request method was HEAD, so no body is sent.
  bool head = false;
  /// The connection is closed after the response.
  bool close = false;
};

struct SerializedResponse {
  std::string bytes;
  /// The connection has to be closed after the bytes.
  bool close = false;
};

/// Serializes a response. Its `Connection`, `Keep-Alive` and
/// `Transfer-Encoding` headers are left out because they belong to one
/// connection, but `Connection: close` closes the connection. Control
/// characters in headers are replaced with spaces. Thread-safe.
SerializedResponse Serialize(const HttpResponse& response,
                             const ResponseContext& context);

/// Returns a problem response from the server itself, stating that the request
/// was not executed.
HttpResponse MakeRefusalResponse(int status, const std::string& text);

}  // namespace applestand

#endif  // LIB_HTTP_RESPONSE_WRITER_H_
