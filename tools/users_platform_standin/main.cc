// Simulates the users' platform on one machine, for tests and demonstrations:
// its metadata store with a configuration, and targets.

#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "platform/standin/demo_config.h"
#include "platform/standin/store_standin.h"
#include "platform/standin/target_standin.h"

namespace applestand {
namespace {

constexpr int kFirstTargetPort = 8200;

int Serve(const std::string& store_address,
          const std::vector<std::string>& zones,
          int targets_per_zone,
          const std::string& listen_ip,
          const std::string& advertised_ip,
          const std::string& key) {
  signal(SIGPIPE, SIG_IGN);
  Reactor reactor;
  StoreStandin store(reactor, store_address);
  store.Put("op", "config", DemoConfig(1, key));
  std::vector<std::unique_ptr<PlatformTargetStandin>> targets;
  for (const std::string& zone : zones) {
    for (int i = 0; i < targets_per_zone; ++i) {
      const std::string id = "i-" + zone + "-" + std::to_string(i);
      const std::string port =
          ":" + std::to_string(kFirstTargetPort + targets.size());
      targets.push_back(std::make_unique<PlatformTargetStandin>(
          reactor, id, listen_ip.empty() ? "127.0.0.1:0" : listen_ip + port));
      const std::string advertised_address =
          advertised_ip.empty() ? "" : advertised_ip + port;
      store.Put(
          "servers", id,
          targets.back()->MakeRow("desk", zone, "ready", advertised_address));
    }
  }
  const SignalHandler stop(reactor, SIGTERM, [&] {
    // Prints the received requests, one a line, so that a test can count those
    // that ran more than once.
    for (const auto& target : targets) {
      for (const HttpRequest& request : target->requests) {
        std::cout << request.method << " " << request.target << " "
                  << FindHeader(request.headers, "Request-Id").value_or("-")
                  << "\n";
      }
    }
    reactor.Stop();
  });
  std::cout << "ready" << std::endl;
  reactor.Run();
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("applestand-users-platform-standin",
                           "Simulates the users' platform in tests");
  options.add_options()("store", "address that the store listens on, IP:port",
                        cxxopts::value<std::string>())(
      "zones", "availability zones with targets, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "targets", "number of targets in each zone",
      cxxopts::value<int>()->default_value("2"))(
      "targets-at",
      "IP address that the targets listen on, with ports from 8200 on",
      cxxopts::value<std::string>()->default_value(""))(
      "targets-shown-at",
      "IP address of the targets in their rows in the store",
      cxxopts::value<std::string>()->default_value(""))(
      "key", "key of the client account",
      cxxopts::value<std::string>()->default_value("demo-key"))(
      "help", "print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Serve(arguments["store"].as<std::string>(),
                 arguments["zones"].as<std::vector<std::string>>(),
                 arguments["targets"].as<int>(),
                 arguments["targets-at"].as<std::string>(),
                 arguments["targets-shown-at"].as<std::string>(),
                 arguments["key"].as<std::string>());
  } catch (const std::exception& error) {
    std::cerr << "applestand-users-platform-standin: " << error.what() << "\n";
    return 2;
  }
}

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::Main(argc, argv);
}
