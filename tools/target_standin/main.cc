#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>

#include "lib/base/clock.h"
#include "lib/base/event_loop.h"
#include "lib/http/server.h"
#include "lib/standin/journal.h"
#include "lib/standin/listen.h"
#include "lib/standin/program.h"
#include "lib/standin/target_standin.h"

namespace applestand {

namespace {

constexpr int kCrashStatus = 1;

cxxopts::Options DescribeOptions() {
  cxxopts::Options options(
      "applestand-target-standin",
      "Takes the place of targets in tests. Each --listen is one target; a "
      "crash ends them all. Control: GET /healthz /load /journal /stats, "
      "POST /faults.");
  auto add = options.add_options();
  add("listen", "IP:port of a target; may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:7500"));
  add("slots", "Requests that a target runs at once",
      cxxopts::value<uint32_t>()->default_value("4"));
  add("service-ms", "Time that a request takes",
      cxxopts::value<uint32_t>()->default_value("5"));
  add("cold-ms", "Extra time of a target's first requests",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("cold-requests", "Number of first requests that take extra time",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("load-lag-ms", "Age of the load that GET /load shows",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("crash-marker", "Text in a header or body that ends the process",
      cxxopts::value<std::string>()->default_value("poison"));
  add("journal", "File that gets a line for each request that ran",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "Show this text");
  add("version", "Show the version");
  return options;
}

TargetStandinOptions ReadOptions(const cxxopts::ParseResult& arguments) {
  const auto millis = [&arguments](const char* name) {
    return std::chrono::milliseconds(arguments[name].as<uint32_t>());
  };
  TargetStandinOptions options;
  options.slots = arguments["slots"].as<uint32_t>();
  options.service_time = millis("service-ms");
  options.cold_time = millis("cold-ms");
  options.cold_requests = arguments["cold-requests"].as<uint32_t>();
  options.load_lag = millis("load-lag-ms");
  options.crash_marker = arguments["crash-marker"].as<std::string>();
  return options;
}

/// A target and the server it listens with.
struct Listener {
  Listener(EventLoop& loop,
           Journal& journal,
           const TargetStandinOptions& options,
           const HttpServerOptions& server_options)
      : target(loop, journal, options, [] { _exit(kCrashStatus); }),
        server(server_options, [this](HttpRequest request, HttpReply reply) {
          target.Handle(std::move(request), std::move(reply));
        }) {}

  TargetStandin target;
  HttpServer server;
};

int Serve(const cxxopts::ParseResult& arguments) {
  BlockStopSignals();
  const BootClock clock;
  EventLoop loop(clock);
  Journal journal(arguments["journal"].as<std::string>());
  std::vector<std::unique_ptr<Listener>> listeners;
  for (const auto& text : arguments["listen"].as<std::vector<std::string>>()) {
    Reason reason;
    const auto address = ParseListenAddress(text, reason);
    if (!address) {
      std::cerr << "applestand-target-standin: " << reason.text << "\n";
      return EXIT_FAILURE;
    }
    TargetStandinOptions options = ReadOptions(arguments);
    options.name = text;
    HttpServerOptions server_options;
    server_options.address = address->ip;
    server_options.port = address->port;
    server_options.threads = 1;
    listeners.push_back(
        std::make_unique<Listener>(loop, journal, options, server_options));
    HttpServer& server = listeners.back()->server;
    server.Start();
    std::cout << "listening on " << address->ip << ":" << server.port()
              << std::endl;
  }
  RunUntilStopSignal(loop);
  for (const auto& listener : listeners) {
    listener->server.Stop();
  }
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::RunStandin(argc, argv, "applestand-target-standin",
                                applestand::DescribeOptions(),
                                applestand::Serve);
}
