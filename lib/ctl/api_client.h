#ifndef LIB_CTL_API_CLIENT_H_
#define LIB_CTL_API_CLIENT_H_

#include <optional>
#include <string>

#include "lib/config/change.h"
#include "lib/http/client.h"

namespace applestand {

/// Address and credentials of the operator API.
struct ApiOptions {
  /// "IP:port" of the control process of any host.
  std::string address;
  /// Operator token, sent as a bearer token.
  std::string token;
  /// Limit for one call, including the time to connect.
  Duration timeout = std::chrono::seconds(15);
};

/// A complete response of the operator API.
struct ApiResponse {
  int status = 0;
  std::string body;
};

/// Client of a control process's operator API. All calls block until the
/// response or the timeout. Thread-safe.
class ApiClient {
 public:
  /// `client` must outlive this object.
  ApiClient(ApiOptions options, HttpClient& client);

  /// Sends a GET request for `target`, a path with an optional query. Returns
  /// std::nullopt and sets `reason` if no complete response arrives.
  [[nodiscard]] std::optional<ApiResponse> Get(const std::string& target,
                                               Reason& reason);

  /// Appends a change to the configuration log. With `expected_version`, the
  /// change is appended only if the log is at that version. Can be repeated
  /// safely with the same change id, which is its idempotency key. Returns
  /// std::nullopt and sets `reason` if no complete response arrives; the change
  /// may have been accepted nevertheless.
  [[nodiscard]] std::optional<ApiResponse> Append(
      const Change& change,
      std::optional<uint64_t> expected_version,
      Reason& reason);

 private:
  std::optional<ApiResponse> Call(HttpRequest request, Reason& reason);

  const ApiOptions m_options;
  HttpClient& m_client;
};

}  // namespace applestand

#endif  // LIB_CTL_API_CLIENT_H_
