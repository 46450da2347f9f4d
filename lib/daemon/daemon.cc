#include "lib/daemon/daemon.h"

#include <pthread.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include <cxxopts.hpp>

#include "lib/daemon/version.h"
#include "lib/log/log.h"

namespace applestand {

namespace {

// Number of low bits of an incarnation number that are random; the other bits
// are the wall-clock time in milliseconds.
constexpr int kRandomBits = 16;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Result of parsing the command line and loading the settings.
struct StartupResult {
  /// std::nullopt if the process must exit immediately with `exit_code`.
  std::optional<HostSettings> settings;
  int exit_code = kExitOk;
};

StartupResult LoadSettings(const std::string& file, bool check_only) {
  std::vector<std::string> errors;
  StartupResult result;
  result.settings = LoadHostSettings(file, errors);
  for (const std::string& error : errors) {
    std::cerr << error << "\n";
  }
  if (!result.settings) {
    result.exit_code = kExitUsage;
    return result;
  }
  if (check_only) {
    std::cout << file << ": ok\n";
    result.settings.reset();
  }
  return result;
}

StartupResult ParseDaemonArguments(int argc,
                                   char** argv,
                                   const std::string& program,
                                   const std::string& purpose) {
  cxxopts::Options options(program, purpose);
  options.add_options()("settings", "settings file of this host (TOML)",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "check the settings and exit")(
      "version", "print the version")("help", "print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help()
                << "\nExit codes: 0 success, 1 failure, 2 invalid arguments or "
                   "settings\n";
      return {std::nullopt, kExitOk};
    }
    if (arguments.count("version") > 0) {
      std::cout << program << " " << kVersion << "\n";
      return {std::nullopt, kExitOk};
    }
    if (arguments.count("settings") == 0) {
      std::cerr << program << ": --settings FILE is required; see --help\n";
      return {std::nullopt, kExitUsage};
    }
    InitLogging(argv[0]);
    return LoadSettings(arguments["settings"].as<std::string>(),
                        arguments.count("check") > 0);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    return {std::nullopt, kExitUsage};
  }
}

}  // namespace

Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::random_device random;
  const uint64_t low = random() & ((1U << kRandomBits) - 1);
  return Incarnation((static_cast<uint64_t>(millis) << kRandomBits) | low);
}

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

uint16_t PortOf(const std::string& address) {
  return static_cast<uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
}

SignalWatcher::SignalWatcher() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void SignalWatcher::RunLoop(EventLoop& loop,
                            const std::function<void()>& on_stop) {
  std::thread signal_thread([&loop, &on_stop] {
    const sigset_t signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    loop.Post(on_stop);
    sigwait(&signals, &signal);
    _exit(kExitFailed);
  });
  // Runs until the process exits.
  signal_thread.detach();
  loop.Run();
}

int DaemonMain(int argc,
               char** argv,
               const std::string& program,
               const std::string& purpose,
               const std::function<int(const HostSettings&)>& run) {
  const StartupResult startup =
      ParseDaemonArguments(argc, argv, program, purpose);
  if (!startup.settings) {
    return startup.exit_code;
  }
  try {
    return run(*startup.settings);
  } catch (const std::exception& error) {
    LogEvent(Event::kStartFailed, {{"reason", error.what()}});
    return kExitFailed;
  }
}

}  // namespace applestand
