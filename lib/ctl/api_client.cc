#include "lib/ctl/api_client.h"

#include <utility>

namespace applestand {

ApiClient::ApiClient(ApiOptions options, HttpClient& client)
    : m_options(std::move(options)), m_client(client) {}

std::optional<ApiResponse> ApiClient::Get(const std::string& target,
                                          Reason& reason) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  return Call(std::move(request), reason);
}

std::optional<ApiResponse> ApiClient::Append(
    const Change& change,
    std::optional<uint64_t> expected_version,
    Reason& reason) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/changes";
  if (expected_version) {
    request.target += "?expected=" + std::to_string(*expected_version);
  }
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = ToJson(change);
  return Call(std::move(request), reason);
}

std::optional<ApiResponse> ApiClient::Call(HttpRequest request,
                                           Reason& reason) {
  request.headers.push_back({"Authorization", "Bearer " + m_options.token});
  HttpCall call;
  call.address = m_options.address;
  call.timeout = m_options.timeout;
  // Responses have no id that would tell them from those to other calls.
  call.own_connection = true;
  call.request = std::move(request);
  HttpCallResult result = m_client.SendAndWait(std::move(call));
  if (result.ran != Ran::kRan) {
    reason.text = m_options.address + ": " + result.reason.text;
    return std::nullopt;
  }
  return ApiResponse{result.response.status, std::move(result.response.body)};
}

}  // namespace applestand
