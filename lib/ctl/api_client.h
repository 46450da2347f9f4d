#ifndef LIB_CTL_API_CLIENT_H_
#define LIB_CTL_API_CLIENT_H_

#include <optional>
#include <string>

#include "lib/config/change.h"
#include "lib/http/client.h"

namespace applestand {

/// Where the operators' interface is and what to show it.
struct ApiOptions {
  /// "IP:port" of any host's control process.
  std::string address;
  std::string token;
  Duration timeout = std::chrono::seconds(15);
};

/// An answer of the operators' interface.
struct ApiAnswer {
  int status = 0;
  std::string body;
};

/// Calls the operators' interface of a control process; every call blocks.
/// Thread-safe.
class ApiClient {
 public:
  ApiClient(ApiOptions options, HttpClient& client);

  /// Nothing, with the reason, where no whole answer came.
  [[nodiscard]] std::optional<ApiAnswer> Get(const std::string& target,
                                             Reason& reason);

  /// Sends a change. Sending one change id again is safe.
  [[nodiscard]] std::optional<ApiAnswer> Append(
      const Change& change,
      std::optional<uint64_t> expected_version,
      Reason& reason);

 private:
  std::optional<ApiAnswer> Call(HttpRequest request, Reason& reason);

  const ApiOptions m_options;
  HttpClient& m_client;
};

}  // namespace applestand

#endif  // LIB_CTL_API_CLIENT_H_
