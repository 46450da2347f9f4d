// Simulates the users' platform on one machine, for tests and demonstrations:
// its metadata store with a configuration, and targets.

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>

#include "platform/standin/operator_standin.h"
#include "platform/standin/store_faults.h"
#include "platform/standin/store_standin.h"
#include "platform/standin/target_set.h"

namespace applestand {
namespace {

int Serve(const std::string& store_address,
          TargetSetOptions target_options,
          const std::string& key,
          std::optional<uint32_t> config_seed) {
  Reactor reactor;
  StoreStandin store(reactor, store_address);
  OperatorStandin platform_operator(reactor, store, key);
  if (config_seed) {
    platform_operator.StartChanges(*config_seed);
    target_options.with_counter = true;
  }
  TargetSet targets(reactor, store, std::move(target_options));
  RestoreDrill drill(reactor, store, targets, platform_operator);
  const SignalHandler restore(reactor, SIGUSR1, [&drill] { drill.Start(); });
  StoreFaults store_faults(reactor, store, platform_operator,
                           config_seed.value_or(0));
  const SignalHandler fail(reactor, SIGUSR2, [&] { store_faults.Start(); });
  const SignalHandler stop(reactor, SIGTERM, [&] {
    targets.PrintHistory(std::cout);
    platform_operator.PrintHistory(std::cout);
    drill.PrintHistory(std::cout);
    store_faults.PrintHistory(std::cout);
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
      "crash-path", "path of requests on which targets crash",
      cxxopts::value<std::string>()->default_value(""))(
      "limit-seed",
      "seed of the limits on their requests that targets name and change",
      cxxopts::value<uint32_t>())(
      "notice-seed",
      "seed of the targets that ask for rests, and that leave and start again",
      cxxopts::value<uint32_t>())(
      "repeat-seed",
      "seed of the targets that turn requests away and repeat responses late",
      cxxopts::value<uint32_t>())(
      "config-seed",
      "seed of the versions of the configuration that the operator writes",
      cxxopts::value<uint32_t>())("key", "key of the client account",
                                  cxxopts::value<std::string>()->default_value(
                                      "demo-key"))("help", "print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    TargetSetOptions targets;
    targets.zones = arguments["zones"].as<std::vector<std::string>>();
    targets.per_zone = arguments["targets"].as<int>();
    targets.listen_ip = arguments["targets-at"].as<std::string>();
    targets.advertised_ip = arguments["targets-shown-at"].as<std::string>();
    targets.crash_path = arguments["crash-path"].as<std::string>();
    if (arguments.count("limit-seed") > 0) {
      targets.limit_seed = arguments["limit-seed"].as<uint32_t>();
    }
    if (arguments.count("notice-seed") > 0) {
      targets.notice_seed = arguments["notice-seed"].as<uint32_t>();
    }
    if (arguments.count("repeat-seed") > 0) {
      targets.repeat_seed = arguments["repeat-seed"].as<uint32_t>();
    }
    std::optional<uint32_t> config_seed;
    if (arguments.count("config-seed") > 0) {
      config_seed = arguments["config-seed"].as<uint32_t>();
    }
    return Serve(arguments["store"].as<std::string>(), std::move(targets),
                 arguments["key"].as<std::string>(), config_seed);
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
