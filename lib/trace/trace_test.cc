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
  TraceIds ids(1, 1);
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

/// Waits until `done` holds, for at most ten seconds.
template <class Condition>
bool Await(Condition done) {
  for (int i = 0; i < 1000 && !done(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return done();
}

}  // namespace

TEST_CASE("a traceparent is parsed and written unchanged") {
  Reason reason;
  const auto context = ParseTraceparent(kHeader, reason);
  REQUIRE(context.has_value());
  CHECK(context->sampled);
  CHECK(ToHex(context->trace) == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(FormatTraceparent(*context) == kHeader);
}

TEST_CASE("a later version is read by its first four fields") {
  Reason reason;
  std::string later = kHeader + "-what-else";
  later.replace(0, 2, "01");
  CHECK(ParseTraceparent(later, reason).has_value());
  CHECK(ParseTraceparent(later.substr(0, 55), reason).has_value());
  later[55] = '.';
  CHECK_FALSE(ParseTraceparent(later, reason).has_value());
}

TEST_CASE("malformed traceparents are refused") {
  const auto with = [](size_t at, const std::string& text) {
    std::string header = kHeader;
    return header.replace(at, text.size(), text);
  };
  for (const std::string& bad :
       {std::string(), kHeader.substr(0, 54), kHeader + "0", kHeader + "-00",
        " " + kHeader, with(0, "ff"), with(0, "0g"), with(3, "4BF9"),
        with(2, "_"), with(35, "_"), with(52, "_"), with(53, "0x"),
        with(3, std::string(32, '0')), with(36, std::string(16, '0')),
        with(10, std::string(1, '\0')), std::string(4096, '-')}) {
    Reason reason;
    CHECK_FALSE(ParseTraceparent(bad, reason).has_value());
    CHECK_FALSE(reason.text.empty());
  }
}

TEST_CASE("a cut traceparent is refused at every length") {
  for (size_t size = 0; size < kHeader.size(); ++size) {
    Reason reason;
    CHECK_FALSE(ParseTraceparent(kHeader.substr(0, size), reason).has_value());
  }
}

TEST_CASE("the sampled share follows the ratio, and children inherit it") {
  for (const double ratio : {0.0, 0.1, 1.0}) {
    TraceIds ids(7, ratio);
    int sampled = 0;
    for (int i = 0; i < 10000; ++i) {
      sampled += ids.NewTrace().sampled ? 1 : 0;
    }
    CHECK(sampled == doctest::Approx(10000 * ratio).epsilon(0.1));
  }
  TraceIds ids(7, 1);
  const TraceContext parent = ids.NewTrace();
  const TraceContext child = ids.Child(parent);
  CHECK(child.sampled);
  CHECK(child.trace == parent.trace);
  CHECK_FALSE(child.span == parent.span);
}

TEST_CASE("a full recorder drops new spans and counts them") {
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

TEST_CASE("spans reach a collector, and a slow one costs no waiting") {
  std::promise<HttpReply> held;
  std::future<HttpReply> reply = held.get_future();
  HttpServer server({}, [&held](HttpRequest request, HttpReply answer) {
    CHECK(request.target == "/v1/traces");
    held.set_value(std::move(answer));
  });
  server.Start();
  HttpClient client;
  HttpSpanExporter::Options options;
  options.address = "127.0.0.1:" + std::to_string(server.port());
  options.max_open = 1;
  HttpSpanExporter exporter(options, client);
  exporter.Export({MakeSpan("a")});
  exporter.Export({MakeSpan("b"), MakeSpan("c")});
  CHECK(exporter.dropped() == 2);
  REQUIRE(reply.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  reply.get()(JsonResponse(200, "{}"));
  CHECK(Await([&exporter] { return exporter.exported() == 1; }));
}

TEST_CASE("spans for a collector that is not there are dropped") {
  HttpClient client;
  HttpSpanExporter::Options options;
  options.address = "127.0.0.1:1";
  HttpSpanExporter exporter(options, client);
  exporter.Export({MakeSpan("a")});
  CHECK(Await([&exporter] { return exporter.dropped() == 1; }));
  CHECK(exporter.exported() == 0);
}

}  // namespace applestand
