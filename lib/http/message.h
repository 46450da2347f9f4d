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

/// The connection that a request came on. Thread-safe.
struct HttpConnectionInfo {
  /// Unique within the server.
  uint64_t id = 0;
  /// The caller has gone; its answer would reach nobody.
  std::atomic<bool> closed{false};
};

/// A whole request. Headers keep their order, names as sent, and repeats.
struct HttpRequest {
  std::string method;
  /// Path and query as sent, for example "/orders/7?full=1".
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  /// IP number of the caller, without port.
  std::string peer;
  /// Set by the server; null for a request made elsewhere.
  std::shared_ptr<const HttpConnectionInfo> connection = nullptr;
};

/// A whole answer. The server writes Content-Length itself, but one given in
/// `headers` goes before it: on HEAD, where no body is sent, it says how long
/// the body of GET would be; where it exceeds the body, the connection is
/// closed after the body.
struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Compares header names, which ignore ASCII case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Returns the value of the only header called `name`; nothing where it is
/// absent or repeated.
std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      std::string_view name);

/// Number of headers called `name`.
size_t CountHeaders(const std::vector<HttpHeader>& headers,
                    std::string_view name);

/// Whether a header speaks of the message, not of one connection or of the
/// body's length, which each hop states anew.
bool IsEndToEndHeader(std::string_view name);

/// The target without its query.
std::string_view PathOf(const HttpRequest& request);

/// The decoded value of a query parameter; nothing where it is absent.
std::optional<std::string> QueryParameter(const HttpRequest& request,
                                          std::string_view name);

/// Escapes every byte but unreserved ASCII characters and '/'.
std::string PercentEncode(std::string_view text);

/// Undoes PercentEncode; a '%' without two hexadecimal digits stays as it is.
std::string PercentDecode(std::string_view text);

/// An answer with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

}  // namespace applestand

#endif  // LIB_HTTP_MESSAGE_H_
