#include <doctest/doctest.h>

#include <future>
#include <thread>

#include <nlohmann/json.hpp>

#include "lib/http/server.h"
#include "lib/trace/span.h"
#include "lib/trace/span_exporter.h"
#include "lib/trace/trace_context.h"

namespace applestand {

namespace {

const std::string kHeader =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

Span MakeSpan(const std::string& host) {
  TraceIdGenerator ids(1, 1);
  const TraceContext trace = ids.NewTrace();
  Span span;
  span.trace = trace.trace;
  span.id = trace.span;
  span.name = "forward";
  span.host = HostId(host);
  span.start_unix_ns = 1'700'000'000'000'000'001;
  span.end_unix_ns = 1'700'000'000'000'000'002;
  span.attributes = {{"target", "t1\xff"}};
  return span;
}

/// Waits until `condition` holds, for at most 10 s. Returns whether it held.
template <class Condition>
bool Await(Condition condition) {
  for (int i = 0; i < 1000 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

}  // namespace

TEST_CASE("a traceparent is parsed and formatted without change") {
  Reason reason;
  const auto context = ParseTraceparent(kHeader, reason);
  REQUIRE(context.has_value());
  CHECK(context->sampled);
  CHECK(ToHex(context->trace) == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(FormatTraceparent(*context) == kHeader);
}

TEST_CASE("only the first four fields of a later version are parsed") {
  Reason reason;
  std::string later = kHeader + "-what-else";
  later.replace(0, 2, "01");
  CHECK(ParseTraceparent(later, reason).has_value());
  CHECK(ParseTraceparent(later.substr(0, 55), reason).has_value());
  later[55] = '.';
  CHECK_FALSE(ParseTraceparent(later, reason).has_value());
}

TEST_CASE("malformed traceparents are rejected") {
  const auto replace_at = [](size_t offset, const std::string& text) {
    std::string header = kHeader;
    return header.replace(offset, text.size(), text);
  };
  for (const std::string& bad :
       {std::string(), kHeader.substr(0, 54), kHeader + "0", kHeader + "-00",
        " " + kHeader, replace_at(0, "ff"), replace_at(0, "0g"),
        replace_at(3, "4BF9"), replace_at(2, "_"), replace_at(35, "_"),
        replace_at(52, "_"), replace_at(53, "0x"),
        replace_at(3, std::string(32, '0')),
        replace_at(36, std::string(16, '0')),
        replace_at(10, std::string(1, '\0')), std::string(4096, '-')}) {
    Reason reason;
    CHECK_FALSE(ParseTraceparent(bad, reason).has_value());
    CHECK_FALSE(reason.text.empty());
  }
}

TEST_CASE("a truncated traceparent is rejected at every length") {
  for (size_t size = 0; size < kHeader.size(); ++size) {
    Reason reason;
    CHECK_FALSE(ParseTraceparent(kHeader.substr(0, size), reason).has_value());
  }
}

TEST_CASE(
    "the sampled fraction matches the ratio and children inherit the "
    "decision") {
  for (const double ratio : {0.0, 0.1, 1.0}) {
    TraceIdGenerator ids(7, ratio);
    int sampled = 0;
    for (int i = 0; i < 10000; ++i) {
      sampled += ids.NewTrace().sampled ? 1 : 0;
    }
    CHECK(sampled == doctest::Approx(10000 * ratio).epsilon(0.1));
  }
  TraceIdGenerator ids(7, 1);
  const TraceContext parent = ids.NewTrace();
  const TraceContext child = ids.Child(parent);
  CHECK(child.sampled);
  CHECK(child.trace == parent.trace);
  CHECK_FALSE(child.span == parent.span);
}

TEST_CASE("a full recorder drops and counts new spans") {
  SpanRecorder recorder(2);
  for (int i = 0; i < 5; ++i) {
    recorder.Record(MakeSpan(std::to_string(i)));
  }
  CHECK(recorder.dropped() == 3);
  const auto spans = recorder.Drain(10);
  REQUIRE(spans.size() == 2);
  CHECK(spans[0].host == HostId("0"));
  CHECK(recorder.Drain(10).empty());
}

TEST_CASE("spans are encoded as OTLP JSON, one resource per host") {
  const auto json = nlohmann::json::parse(
      EncodeOtlpJson({MakeSpan("a"), MakeSpan("b"), MakeSpan("a")}, "entry"));
  REQUIRE(json["resourceSpans"].size() == 2);
  const auto& spans = json["resourceSpans"][0]["scopeSpans"][0]["spans"];
  REQUIRE(spans.size() == 2);
  CHECK(spans[0]["startTimeUnixNano"] == "1700000000000000001");
  CHECK(spans[0]["traceId"].get<std::string>().size() == 32);
  CHECK_FALSE(spans[0].contains("parentSpanId"));
  CHECK(spans[0]["attributes"][0]["key"] == "target");
}

// Guards against an exporter that blocks or queues without bound while the
// collector does not respond.
TEST_CASE(
    "spans reach a collector, and a slow collector does not block Export") {
  std::promise<HttpReply> pending_reply;
  std::future<HttpReply> reply = pending_reply.get_future();
  HttpServer server({},
                    [&pending_reply](HttpRequest request, HttpReply responder) {
                      CHECK(request.target == "/v1/traces");
                      pending_reply.set_value(std::move(responder));
                    });
  server.Start();
  HttpClient client;
  HttpSpanExporter::Options options;
  options.address = "127.0.0.1:" + std::to_string(server.port());
  options.max_concurrent_batches = 1;
  HttpSpanExporter exporter(options, client);
  exporter.Export({MakeSpan("a")});
  exporter.Export({MakeSpan("b"), MakeSpan("c")});
  CHECK(exporter.dropped() == 2);
  REQUIRE(reply.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  reply.get()(JsonResponse(200, "{}"));
  CHECK(Await([&exporter] { return exporter.exported() == 1; }));
}

TEST_CASE("spans are dropped if the collector is unreachable") {
  HttpClient client;
  HttpSpanExporter::Options options;
  options.address = "127.0.0.1:1";
  HttpSpanExporter exporter(options, client);
  exporter.Export({MakeSpan("a")});
  CHECK(Await([&exporter] { return exporter.dropped() == 1; }));
  CHECK(exporter.exported() == 0);
}

}  // namespace applestand
