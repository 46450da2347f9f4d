#include "lib/replay/trace.h"

#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using nlohmann::json;

constexpr double kMaxMillis = 1e9;
constexpr uint64_t kMaxBodyBytes = uint64_t{64} << 20;
constexpr std::array<Ran, 3> kVerdicts = {Ran::kNotRun, Ran::kRan,
                                          Ran::kMayHaveRun};

Duration DurationFromMillis(const json& value) {
  const double millis = value.get<double>();
  if (!(millis >= 0) || millis > kMaxMillis) {
    throw std::invalid_argument("a time is out of range");
  }
  return Duration(std::llround(millis * 1000));
}

Ran RanFromText(const std::string& text) {
  for (const Ran ran : kVerdicts) {
    if (text == ToString(ran)) {
      return ran;
    }
  }
  throw std::invalid_argument("'" + text + "' is not yes, no or unknown");
}

TraceExpectation ExpectationFromJson(const json& document) {
  TraceExpectation expect;
  if (document.contains("status")) {
    expect.statuses = document.at("status").get<std::vector<int>>();
  }
  if (document.contains("ran")) {
    for (const json& ran : document.at("ran")) {
      expect.ran.push_back(RanFromText(ran.get<std::string>()));
    }
  }
  return expect;
}

TraceRequest RequestFromJson(const json& document) {
  TraceRequest request;
  request.at = DurationFromMillis(document.at("at_ms"));
  request.client = document.at("client").get<std::string>();
  request.account = document.at("account").get<std::string>();
  request.key = document.at("key").get<std::string>();
  request.method = document.at("method").get<std::string>();
  request.path = document.at("path").get<std::string>();
  request.body = document.value("body", "");
  request.body_bytes = document.value("body_bytes", uint64_t{0});
  request.idempotency_key = document.value("idempotency_key", "");
  request.deadline = DurationFromMillis(document.at("deadline_ms"));
  if (document.contains("expect")) {
    request.expect = ExpectationFromJson(document.at("expect"));
  }
  if (request.body_bytes > kMaxBodyBytes) {
    throw std::invalid_argument("body_bytes is out of range");
  }
  return request;
}

void ReadHeader(const json& document, Trace& trace) {
  trace.name = document.at("trace").get<std::string>();
  for (const auto& [account, terms] : document.at("contracts").items()) {
    TraceContract& contract = trace.contracts[account];
    contract.requests_per_second =
        terms.at("requests_per_second").get<double>();
    contract.burst = terms.at("burst").get<double>();
  }
}

void ReadLine(const std::string& text, size_t line, Trace& trace) {
  const json document = json::parse(text);
  if (line == 1) {
    ReadHeader(document, trace);
    return;
  }
  TraceRequest request = RequestFromJson(document);
  request.line = line;
  if (!trace.requests.empty() && request.at < trace.requests.back().at) {
    throw std::invalid_argument("the request is earlier than the one before");
  }
  trace.requests.push_back(std::move(request));
}

json ToJson(const TraceExpectation& expect) {
  json document = json::object();
  if (!expect.statuses.empty()) {
    document["status"] = expect.statuses;
  }
  for (const Ran ran : expect.ran) {
    document["ran"].push_back(ToString(ran));
  }
  return document;
}

json ToJson(const TraceRequest& request) {
  json document = {{"at_ms", ToSeconds(request.at) * 1000},
                   {"client", request.client},
                   {"account", request.account},
                   {"key", request.key},
                   {"method", request.method},
                   {"path", request.path},
                   {"deadline_ms", ToSeconds(request.deadline) * 1000}};
  if (!request.body.empty()) {
    document["body"] = request.body;
  }
  if (request.body_bytes > 0) {
    document["body_bytes"] = request.body_bytes;
  }
  if (!request.idempotency_key.empty()) {
    document["idempotency_key"] = request.idempotency_key;
  }
  if (json expect = ToJson(request.expect); !expect.empty()) {
    document["expect"] = std::move(expect);
  }
  return document;
}

}  // namespace

std::optional<Trace> ReadTrace(std::istream& in, Reason& reason) {
  Trace trace;
  std::string text;
  size_t line = 0;
  while (std::getline(in, text)) {
    ++line;
    if (text.empty() && line > 1) {
      continue;
    }
    try {
      ReadLine(text, line, trace);
    } catch (const std::exception& error) {
      reason.text = "line " + std::to_string(line) + ": " + error.what();
      return std::nullopt;
    }
  }
  if (line == 0) {
    reason.text = "line 1: the trace is empty";
    return std::nullopt;
  }
  return trace;
}

void WriteTrace(const Trace& trace, std::ostream& out) {
  json contracts = json::object();
  for (const auto& [account, contract] : trace.contracts) {
    contracts[account] = {{"requests_per_second", contract.requests_per_second},
                          {"burst", contract.burst}};
  }
  out << json{{"trace", trace.name}, {"contracts", std::move(contracts)}}.dump()
      << "\n";
  for (const TraceRequest& request : trace.requests) {
    out << ToJson(request).dump() << "\n";
  }
}

std::string BodyOf(const TraceRequest& request) {
  if (request.body_bytes == 0) {
    return request.body;
  }
  // Bodies of distinct requests differ, so that mixed-up ones are noticed.
  std::string body = "request " + std::to_string(request.line) + " ";
  body.resize(request.body_bytes, 'b');
  return body;
}

}  // namespace applestand
