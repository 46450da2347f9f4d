#ifndef LIB_HTTP_MESSAGE_H_
#define LIB_HTTP_MESSAGE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applestand {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// The connection on which a request was received. Thread-safe.
struct HttpConnectionInfo {
  /// Unique within the server.
  uint64_t id = 0;
  /// The caller has disconnected, so that a response can no longer be
  /// delivered.
  std::atomic<bool> closed{false};
};

/// A complete request. Headers keep their order, the case of their names, and
/// repetitions.
struct HttpRequest {
  std::string method;
  /// Path and query as sent, for example "/orders/7?full=1".
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  /// IP address of the caller, without port.
  std::string peer;
  /// Set by the server; null for a request made elsewhere.
  std::shared_ptr<const HttpConnectionInfo> connection = nullptr;
};

/// A complete response. The server writes Content-Length itself, but one given
/// in `headers` takes precedence: for HEAD, which has no body, it states the
/// length of the body that GET would return. For other methods, if it differs
/// from the length of the body, the connection is closed after the body.
struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Compares header names, ignoring ASCII case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Returns the value of the header `name`, or std::nullopt if it is absent or
/// repeated.
std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      std::string_view name);

/// Returns the number of headers with the name `name`.
size_t CountHeaders(const std::vector<HttpHeader>& headers,
                    std::string_view name);

/// Returns whether a proxy forwards the header. Hop-by-hop headers are not
/// forwarded, nor is Content-Length, which each hop writes itself.
bool IsEndToEndHeader(std::string_view name);

/// Returns the request target without its query.
std::string_view PathOf(const HttpRequest& request);

/// Returns the decoded value of a query parameter, or std::nullopt if it is
/// absent.
std::optional<std::string> QueryParameter(const HttpRequest& request,
                                          std::string_view name);

/// Escapes every byte except unreserved ASCII characters and '/'.
std::string PercentEncode(std::string_view text);

/// Decodes percent-encoded text. A '%' that is not followed by two hexadecimal
/// digits is kept.
std::string PercentDecode(std::string_view text);

/// Returns a response with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

}  // namespace applestand

#endif  // LIB_HTTP_MESSAGE_H_
