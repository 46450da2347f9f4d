#include "lib/trace/span_exporter.h"

#include <utility>

namespace applestand {

namespace {

bool IsAccepted(const HttpCallResult& result) {
  return result.ran == Ran::kRan && result.response.status >= 200 &&
         result.response.status < 300;
}

}  // namespace

HttpSpanExporter::HttpSpanExporter(Options options, HttpClient& client)
    : m_options(std::move(options)),
      m_client(client),
      m_counters(std::make_shared<Counters>()) {}

void HttpSpanExporter::Export(std::vector<Span> spans) {
  const size_t count = spans.size();
  if (count == 0) {
    return;
  }
  if (m_counters->in_flight.fetch_add(1) >= m_options.max_concurrent_batches) {
    m_counters->in_flight.fetch_sub(1);
    m_counters->dropped += count;
    return;
  }
  HttpCall call;
  call.address = m_options.address;
  call.timeout = m_options.timeout;
  call.request.method = "POST";
  call.request.target = m_options.path;
  call.request.headers = {{"Content-Type", "application/json"}};
  call.request.body = EncodeOtlpJson(spans, m_options.service_name);
  m_client.Send(std::move(call), [counters = m_counters,
                                  count](const HttpCallResult& result) {
    (IsAccepted(result) ? counters->exported : counters->dropped) += count;
    counters->in_flight.fetch_sub(1);
  });
}

uint64_t HttpSpanExporter::exported() const {
  return m_counters->exported;
}

uint64_t HttpSpanExporter::dropped() const {
  return m_counters->dropped;
}

}  // namespace applestand
