#include "lib/retry/problem.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

int64_t CeilToSeconds(Duration duration) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  return (duration.count() + kMicrosPerSecond - 1) / kMicrosPerSecond;
}

}  // namespace

HttpResponse MakeProblemResponse(const Problem& problem) {
  nlohmann::ordered_json body = {
      {"type", "urn:applestand:problem:" + problem.type},
      {"title", problem.title},
      {"status", problem.status},
      {"detail", problem.detail},
      {"ran", ToString(problem.ran)},
  };
  HttpResponse response;
  response.status = problem.status;
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (problem.retry_after > Duration::zero()) {
    const int64_t seconds = CeilToSeconds(problem.retry_after);
    body["retry_after_s"] = seconds;
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace applestand
