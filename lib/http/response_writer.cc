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

bool IsManagedHeader(const HttpHeader& header) {
  return SameHeaderName(header.name, "Connection") ||
         SameHeaderName(header.name, "Keep-Alive") ||
         SameHeaderName(header.name, "Transfer-Encoding") ||
         SameHeaderName(header.name, "Content-Length");
}

std::string ReplaceControlCharacters(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; },
      ' ');
  return text;
}

void AppendHeader(std::string& bytes,
                  const std::string& name,
                  const std::string& value) {
  bytes += ReplaceControlCharacters(name) + ": " +
           ReplaceControlCharacters(value) + "\r\n";
}

bool RequestsClose(const HttpResponse& response) {
  const auto connection = FindHeader(response.headers, "Connection");
  return connection && SameHeaderName(*connection, "close");
}

}  // namespace

SerializedResponse Serialize(const HttpResponse& response,
                             const ResponseContext& context) {
  const std::string body_length = std::to_string(response.body.size());
  const std::string length =
      FindHeader(response.headers, "Content-Length").value_or(body_length);
  const bool bodiless_status =
      response.status == kNoContent || response.status == kNotModified;
  const bool length_mismatch = !context.head && length != body_length;

  SerializedResponse out;
  out.close = context.close || RequestsClose(response) || length_mismatch;
  const auto code = static_cast<Pistache::Http::Code>(response.status);
  out.bytes = "HTTP/1.1 " + std::to_string(response.status) + " " +
              Pistache::Http::codeString(code) + "\r\n";
  for (const HttpHeader& header : response.headers) {
    if (!IsManagedHeader(header)) {
      AppendHeader(out.bytes, header.name, header.value);
    }
  }
  if (!bodiless_status) {
    AppendHeader(out.bytes, "Content-Length", length);
  }
  AppendHeader(out.bytes, "Connection", out.close ? "close" : "keep-alive");
  out.bytes += "\r\n";
  if (!context.head && !bodiless_status) {
    out.bytes += response.body;
  }
  return out;
}

HttpResponse MakeRefusalResponse(int status, const std::string& text) {
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
