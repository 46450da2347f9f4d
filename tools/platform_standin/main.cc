#include <cstdlib>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "lib/base/clock.h"
#include "lib/base/event_loop.h"
#include "lib/http/server.h"
#include "lib/standin/listen.h"
#include "lib/standin/platform_standin.h"
#include "lib/standin/program.h"

namespace applestand {

namespace {

cxxopts::Options DescribeOptions() {
  cxxopts::Options options(
      "applestand-platform-standin",
      "Takes the platform's place in tests: table, object store, host list "
      "and measurements in memory, with faults by POST /faults.");
  auto add = options.add_options();
  add("listen", "IP:port to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7400"));
  add("host-list-lag-ms", "Age of the host list that readers see",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("measurement-lag-ms", "Age of the measurements that readers see",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("help", "Show this text");
  add("version", "Show the version");
  return options;
}

int Serve(const cxxopts::ParseResult& arguments) {
  Reason reason;
  const auto address =
      ParseListenAddress(arguments["listen"].as<std::string>(), reason);
  if (!address) {
    std::cerr << "applestand-platform-standin: " << reason.text << "\n";
    return EXIT_FAILURE;
  }
  BlockStopSignals();
  const BootClock clock;
  EventLoop loop(clock);
  PlatformStandinOptions options;
  options.host_list_lag =
      std::chrono::milliseconds(arguments["host-list-lag-ms"].as<uint32_t>());
  options.measurement_lag =
      std::chrono::milliseconds(arguments["measurement-lag-ms"].as<uint32_t>());
  PlatformStandin standin(loop, options);

  HttpServerOptions server_options;
  server_options.address = address->ip;
  server_options.port = address->port;
  HttpServer server(server_options,
                    [&standin](HttpRequest request, HttpReply reply) {
                      standin.Handle(std::move(request), std::move(reply));
                    });
  server.Start();
  std::cout << "listening on " << address->ip << ":" << server.port()
            << std::endl;
  RunUntilStopSignal(loop);
  server.Stop();
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::RunStandin(argc, argv, "applestand-platform-standin",
                                applestand::DescribeOptions(),
                                applestand::Serve);
}
