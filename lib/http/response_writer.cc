#include "lib/http/response_writer.h"

#include <pistache/http_defs.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "lib/base/verdict.h"

namespace applestand {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kServiceUnavailable = 503;
constexpr int kRetryAfterSeconds = 1;

bool IsConnectionHeader(const HttpHeader& header) {
  return SameHeaderName(header.name, "Connection") ||
         SameHeaderName(header.name, "Keep-Alive") ||
         SameHeaderName(header.name, "Transfer-Encoding") ||
         SameHeaderName(header.name, "Content-Length");
}

std::string WithoutControls(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; },
      ' ');
  return text;
}

void AppendHeader(std::string& bytes,
                  const std::string& name,
                  const std::string& value) {
  bytes += WithoutControls(name) + ": " + WithoutControls(value) + "\r\n";
}

bool AsksToClose(const HttpResponse& response) {
  const auto connection = FindHeader(response.headers, "Connection");
  return connection && SameHeaderName(*connection, "close");
}

}  // namespace

SerializedResponse Serialize(const HttpResponse& response,
                             const ResponseContext& context) {
  const std::string own_length = std::to_string(response.body.size());
  const std::string length =
      FindHeader(response.headers, "Content-Length").value_or(own_length);
  const bool empty_status =
      response.status == kNoContent || response.status == kNotModified;
  const bool cut = !context.head && length != own_length;

  SerializedResponse out;
  out.close = context.close || AsksToClose(response) || cut;
  const auto code = static_cast<Pistache::Http::Code>(response.status);
  out.bytes = "HTTP/1.1 " + std::to_string(response.status) + " " +
              Pistache::Http::codeString(code) + "\r\n";
  for (const HttpHeader& header : response.headers) {
    if (!IsConnectionHeader(header)) {
      AppendHeader(out.bytes, header.name, header.value);
    }
  }
  if (!empty_status) {
    AppendHeader(out.bytes, "Content-Length", length);
  }
  AppendHeader(out.bytes, "Connection", out.close ? "close" : "keep-alive");
  out.bytes += "\r\n";
  if (!context.head && !empty_status) {
    out.bytes += response.body;
  }
  return out;
}

HttpResponse RefusalResponse(int status, const std::string& text) {
  nlohmann::json problem = {
      {"title", text}, {"status", status}, {"ran", ToString(Ran::kNotRun)}};
  if (status == kServiceUnavailable) {
    problem["retry_after_s"] = kRetryAfterSeconds;
  }
  HttpResponse response = JsonResponse(status, problem.dump());
  response.headers.front().value = "application/problem+json";
  if (status == kServiceUnavailable) {
    response.headers.push_back(
        {"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  return response;
}

}  // namespace applestand
