#include "lib/trace/span.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

using Json = nlohmann::ordered_json;

// Values of the OTLP enumerations SpanKind and StatusCode.
constexpr int kSpanKindInternal = 1;
constexpr int kStatusCodeError = 2;

Json EncodeAttribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json EncodeSpan(const Span& span) {
  Json json = {
      {"traceId", ToHex(span.trace)},
      {"spanId", ToHex(span.id)},
  };
  if (!(span.parent == SpanId{})) {
    json["parentSpanId"] = ToHex(span.parent);
  }
  json["name"] = span.name;
  json["kind"] = kSpanKindInternal;
  // The JSON encoding of Protocol Buffers represents 64-bit integers as
  // strings.
  json["startTimeUnixNano"] = std::to_string(span.start_unix_ns);
  json["endTimeUnixNano"] = std::to_string(span.end_unix_ns);
  json["attributes"] = Json::array();
  for (const auto& [key, value] : span.attributes) {
    json["attributes"].push_back(EncodeAttribute(key, value));
  }
  json["status"] = Json::object();
  if (span.error) {
    json["status"]["code"] = kStatusCodeError;
  }
  return json;
}

}  // namespace

SpanRecorder::SpanRecorder(size_t capacity) : m_capacity(capacity) {}

void SpanRecorder::Record(Span span) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_spans.size() >= m_capacity) {
    ++m_dropped;
    return;
  }
  m_spans.push_back(std::move(span));
}

std::vector<Span> SpanRecorder::Drain(size_t max_spans) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<Span> spans;
  while (!m_spans.empty() && spans.size() < max_spans) {
    spans.push_back(std::move(m_spans.front()));
    m_spans.pop_front();
  }
  return spans;
}

uint64_t SpanRecorder::dropped() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_dropped;
}

std::string EncodeOtlpJson(const std::vector<Span>& spans,
                           const std::string& service_name) {
  std::map<std::string, Json> spans_by_host;
  for (const Span& span : spans) {
    spans_by_host[span.host.value()].push_back(EncodeSpan(span));
  }
  Json resources = Json::array();
  for (auto& [host, host_spans] : spans_by_host) {
    const Json resource = {
        {"attributes",
         Json::array({EncodeAttribute("service.name", service_name),
                      EncodeAttribute("host.name", host)})}};
    const Json scope_spans = {{"scope", {{"name", service_name}}},
                              {"spans", std::move(host_spans)}};
    resources.push_back(
        {{"resource", resource}, {"scopeSpans", Json::array({scope_spans})}});
  }
  const Json export_request = {{"resourceSpans", std::move(resources)}};
  return export_request.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace applestand
