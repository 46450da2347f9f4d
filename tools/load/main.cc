#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "lib/base/clock.h"
#include "lib/base/event_loop.h"
#include "lib/replay/generator.h"
#include "lib/replay/replayer.h"
#include "lib/replay/scorecard.h"
#include "lib/replay/trace.h"

namespace applestand {

namespace {

constexpr char kVersion[] = "applestand-load 0.1.0";
constexpr int kMissed = 2;

constexpr char kFormatHelp[] = R"(
A trace holds one JSON object a line. The first line is the header:
  {"trace":"lenha","contracts":{"a":{"requests_per_second":30,"burst":60}}}
Every other line is a request, in order of time:
  {"at_ms":12.5,"client":"10.1.0.3","account":"a","key":"a.secret",
   "method":"POST","path":"/payments","body":"text","idempotency_key":"p-1",
   "deadline_ms":5000,"expect":{"status":[200],"ran":["yes"]}}
"body_bytes":n may stand for "body". "body", "idempotency_key" and "expect"
may be left out; so may either part of "expect".

Exit status: 0, or 2 where an outcome that a trace states was missed, or 1 on
any other error.
)";

cxxopts::Options DescribeOptions() {
  cxxopts::Options options(
      "applestand-load",
      "Replays a recorded trace at its recorded times, or makes one.");
  auto add = options.add_options();
  add("trace", "Trace to replay; - for standard input",
      cxxopts::value<std::string>()->default_value("-"));
  add("lookup", "IP:port of a look-up; may be repeated, tried in order",
      cxxopts::value<std::vector<std::string>>());
  add("speed", "Replayed seconds per second",
      cxxopts::value<double>()->default_value("1"));
  add("clients", "HTTP clients, each with its own thread",
      cxxopts::value<size_t>()->default_value("4"));
  add("resend",
      "Send requests with an idempotency key, and GETs, to the next host "
      "when nobody knows whether they ran");
  add("output", "json or text",
      cxxopts::value<std::string>()->default_value("text"));
  add("generate", "Write a trace of this workload instead: lenha or pwani",
      cxxopts::value<std::string>());
  add("seconds", "Length of the generated trace",
      cxxopts::value<double>()->default_value("10"));
  add("rate", "Requests a second of the generated trace",
      cxxopts::value<double>()->default_value("100"));
  add("seed", "Seed of the generated trace",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("excess",
      "How many times its contract the second account sends in the middle "
      "third of the generated trace",
      cxxopts::value<double>()->default_value("0"));
  add("help", "Show this text");
  add("version", "Show the version");
  return options;
}

int Fail(const std::string& text) {
  std::cerr << "applestand-load: " << text << "\n";
  return EXIT_FAILURE;
}

int Generate(const cxxopts::ParseResult& arguments) {
  GeneratorOptions options;
  options.workload = arguments["generate"].as<std::string>();
  options.seconds = arguments["seconds"].as<double>();
  options.rate = arguments["rate"].as<double>();
  options.seed = arguments["seed"].as<uint64_t>();
  options.excess = arguments["excess"].as<double>();
  Reason reason;
  const auto trace = GenerateTrace(options, reason);
  if (!trace) {
    return Fail(reason.text);
  }
  WriteTrace(*trace, std::cout);
  return EXIT_SUCCESS;
}

std::optional<Trace> Load(const std::string& path, Reason& reason) {
  if (path == "-") {
    return ReadTrace(std::cin, reason);
  }
  std::ifstream file(path);
  if (!file) {
    reason.text = "cannot open it";
    return std::nullopt;
  }
  return ReadTrace(file, reason);
}

std::string JsonReport(const Scorecard& scorecard,
                       const ReplaySummary& summary) {
  const auto millis = [](Duration duration) {
    return ToSeconds(duration) * 1000;
  };
  nlohmann::json report = nlohmann::json::parse(scorecard.ToJson());
  report["lookups"] = {{"asked", summary.lookups},
                       {"failed", summary.lookups_failed},
                       {"p99_ms", millis(summary.lookup_latency.At(0.99))}};
  report["sent_to_other_hosts"] = summary.other_hosts;
  report["resent"] = summary.resent;
  report["latest_start_ms"] = millis(summary.latest_start);
  return report.dump(2);
}

std::string TextReport(const Scorecard& scorecard,
                       const ReplaySummary& summary) {
  return scorecard.ToText() + "look-ups: " + std::to_string(summary.lookups) +
         ", failed: " + std::to_string(summary.lookups_failed) +
         "\nsent to other hosts: " + std::to_string(summary.other_hosts) +
         "\nresent: " + std::to_string(summary.resent) +
         "\nlatest start: " + std::to_string(ToMillis(summary.latest_start)) +
         " ms";
}

int Replay(const cxxopts::ParseResult& arguments) {
  ReplayOptions options;
  options.speed = arguments["speed"].as<double>();
  options.clients = arguments["clients"].as<size_t>();
  options.resend = arguments.count("resend") > 0;
  const std::string output = arguments["output"].as<std::string>();
  if (arguments.count("lookup") == 0) {
    return Fail("--lookup is missing");
  }
  if (!(options.speed > 0) || options.clients == 0) {
    return Fail("--speed and --clients must be over 0");
  }
  if (output != "json" && output != "text") {
    return Fail("--output is neither json nor text");
  }
  options.lookups = arguments["lookup"].as<std::vector<std::string>>();
  const std::string path = arguments["trace"].as<std::string>();
  Reason reason;
  const auto trace = Load(path, reason);
  if (!trace) {
    return Fail(path + ": " + reason.text);
  }

  const BootClock clock;
  EventLoop loop(clock);
  Scorecard scorecard(*trace, options.speed);
  Replayer replayer(loop, *trace, options, scorecard);
  loop.Post([&] { replayer.Start([&loop] { loop.Stop(); }); });
  loop.Run();
  std::cout << (output == "json" ? JsonReport(scorecard, replayer.summary())
                                 : TextReport(scorecard, replayer.summary()))
            << "\n";
  return scorecard.missed() == 0 ? EXIT_SUCCESS : kMissed;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = DescribeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help() << kFormatHelp;
      return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
      std::cout << kVersion << "\n";
      return EXIT_SUCCESS;
    }
    return arguments.count("generate") > 0 ? Generate(arguments)
                                           : Replay(arguments);
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}

}  // namespace

}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::Main(argc, argv);
}
