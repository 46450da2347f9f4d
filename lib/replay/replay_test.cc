#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/http/server.h"
#include "lib/replay/generator.h"
#include "lib/replay/percentiles.h"
#include "lib/replay/replayer.h"
#include "lib/replay/scorecard.h"
#include "lib/replay/trace.h"

namespace applestand {

namespace {

constexpr char kHeader[] =
    R"({"trace":"t","contracts":{"a":{"requests_per_second":1,"burst":2}}})";

std::string Line(const std::string& at, const std::string& more = "") {
  return R"({"at_ms":)" + at +
         R"(,"client":"10.0.0.1","account":"a","key":"k.s","method":"GET",)" +
         R"("path":"/x","deadline_ms":1000)" + more + "}";
}

std::optional<Trace> Parse(const std::string& text, Reason& reason) {
  std::istringstream in(text);
  return ReadTrace(in, reason);
}

std::string ErrorOf(const std::string& text) {
  Reason reason;
  CHECK_FALSE(Parse(text, reason).has_value());
  return reason.text;
}

}  // namespace

TEST_CASE("errors in a trace name their line") {
  CHECK(ErrorOf("").rfind("line 1:", 0) == 0);
  CHECK(ErrorOf("nonsense").rfind("line 1:", 0) == 0);
  const std::string start = std::string(kHeader) + "\n" + Line("5") + "\n";
  CHECK(ErrorOf(start + "{}").rfind("line 3:", 0) == 0);
  CHECK(ErrorOf(start + Line("4")).rfind("line 3:", 0) == 0);
  CHECK(ErrorOf(start + Line("-1")).rfind("line 3:", 0) == 0);
  CHECK(ErrorOf(start + Line("6", R"(,"expect":{"ran":["maybe"]})"))
            .rfind("line 3:", 0) == 0);
}

TEST_CASE("a generated trace is read back as it was written") {
  GeneratorOptions options;
  options.workload = "pwani";
  options.seconds = 3;
  options.excess = 4;
  Reason reason;
  const auto trace = GenerateTrace(options, reason);
  REQUIRE(trace);
  CHECK(trace->requests.size() > 200);
  std::ostringstream first;
  WriteTrace(*trace, first);
  const auto again = Parse(first.str(), reason);
  REQUIRE_MESSAGE(again, reason.text);
  std::ostringstream second;
  WriteTrace(*again, second);
  CHECK(first.str() == second.str());
  std::ostringstream repeated;
  WriteTrace(*GenerateTrace(options, reason), repeated);
  CHECK(first.str() == repeated.str());
  options.workload = "other";
  CHECK_FALSE(GenerateTrace(options, reason).has_value());
}

TEST_CASE("percentiles are those of the nearest rank") {
  Percentiles percentiles;
  CHECK(percentiles.At(0.5) == Duration::zero());
  for (int i = 100; i > 0; --i) {
    percentiles.Add(Duration(i));
  }
  CHECK(percentiles.At(0.5) == Duration(50));
  CHECK(percentiles.At(0.99) == Duration(99));
  CHECK(percentiles.At(1) == Duration(100));
}

TEST_CASE("refusals count as wrongful only inside the rate") {
  Reason reason;
  // Burst 2, one a second: the third comes too early, the fourth does not.
  const auto trace = Parse(std::string(kHeader) + "\n" + Line("0") + "\n" +
                               Line("0") + "\n" + Line("0") + "\n" +
                               Line("1500", R"(,"expect":{"status":[200]})"),
                           reason);
  REQUIRE_MESSAGE(trace, reason.text);
  Scorecard scorecard(*trace, 1);
  for (const TraceRequest& request : trace->requests) {
    scorecard.Add(request, {429, Ran::kNotRun, Duration::zero(), ""});
  }
  const auto json = nlohmann::json::parse(scorecard.ToJson());
  CHECK(json["all"]["refused"] == 4);
  CHECK(json["all"]["refused_inside_rate"] == 3);
  CHECK(json["missed"] == 1);
  CHECK(json["missed_examples"][0].get<std::string>().rfind("line 5:", 0) == 0);
}

TEST_CASE("a replay follows the look-up's hosts and reports the outcomes") {
  std::string hosts;
  HttpServer server(
      {}, [&hosts](const HttpRequest& request, const HttpReply& reply) {
        if (PathOf(request) == "/v1/hosts") {
          reply(JsonResponse(200, hosts));
          return;
        }
        HttpResponse response = JsonResponse(
            request.method == "POST" ? 429 : 200, R"({"ran":"no"})");
        if (request.method == "POST") {
          response.headers.front().value = "application/problem+json";
        }
        reply(std::move(response));
      });
  server.Start();
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  // Nobody listens at the first host.
  hosts = R"({"hosts":[{"address":"127.0.0.1:1"},{"address":")" + address +
          R"("}],"ttl_s":60})";
  Reason reason;
  std::string post = Line("2", R"(,"expect":{"status":[429],"ran":["no"]})");
  post.replace(post.find("GET"), 3, "POST");
  const auto trace =
      Parse(std::string(kHeader) + "\n" +
                Line("0", R"(,"expect":{"status":[200],"ran":["yes"]})") +
                "\n" + post,
            reason);
  REQUIRE_MESSAGE(trace, reason.text);

  const BootClock clock;
  EventLoop loop(clock);
  Scorecard scorecard(*trace, 1);
  ReplayOptions options;
  options.lookups = {"127.0.0.1:1", address};
  Replayer replayer(loop, *trace, options, scorecard);
  loop.Post([&] { replayer.Start([&loop] { loop.Stop(); }); });
  loop.Run();
  CHECK(scorecard.missed() == 0);
  const auto json = nlohmann::json::parse(scorecard.ToJson());
  CHECK(json["all"]["ran"] == 1);
  CHECK(json["all"]["refused_inside_rate"] == 1);
  CHECK(replayer.summary().lookups_failed == 1);
  CHECK(replayer.summary().other_hosts == 2);
}

}  // namespace applestand
