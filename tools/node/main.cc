// The process that runs on each host of the users' platform.

#include <malloc.h>
#include <sys/stat.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "lib/daemon/daemon.h"
#include "lib/daemon/version.h"
#include "lib/log/log.h"
#include "lib/net/unsent_data_limit.h"
#include "lib/node/node.h"
#include "platform/adapter.h"
#include "platform/store_client.h"

namespace applestand {
namespace {

// The settings file may change without a signal; it is checked this often.
constexpr Duration kSettingsPeriod = std::chrono::seconds(1);

/// Returns a value that changes whenever the file is written, or an empty
/// string if the file's status cannot be read.
std::string FileStamp(const std::string& file) {
  struct stat status {};
  if (stat(file.c_str(), &status) != 0) {
    return "";
  }
  return std::to_string(status.st_mtim.tv_sec) + "." +
         std::to_string(status.st_mtim.tv_nsec) + "/" +
         std::to_string(status.st_size);
}

void Reload(Node& node, const std::string& file, const char* reason) {
  std::vector<std::string> errors;
  const auto settings = LoadNodeSettings(file, errors);
  if (settings) {
    node.Reload(*settings);
    LogEvent(Event::kReloaded, {{"file", file}, {"reason", reason}});
    return;
  }
  for (const std::string& error : errors) {
    LogEvent(Event::kReloadFailed, {{"reason", error}});
  }
}

void LogCut(const UnsentDataLimit::Cut& cut) {
  LogEvent(Event::kPeerDoesNotRead, {{"peer", cut.peer},
                                     {"unsent_bytes", cut.bytes},
                                     {"all_unsent_bytes", cut.total_bytes},
                                     {"stalled_ms", ToMillis(cut.stalled)}});
}

/// Makes the allocator return long buffers to the system when they are freed.
/// By default it keeps more and longer ones the longer those freed before were,
/// and the gaps between them add up beyond what is in use.
void ReturnFreedMemory() {
  constexpr int kMappedBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBytes);
}

int Serve(const std::string& file, const NodeSettings& settings) {
  InitBufferedLogging();
  ReturnFreedMemory();
  Reactor reactor;
  // Responses that are being received take at most this part of the memory.
  constexpr size_t kResponseMemoryDivisor = 8;
  HttpClientPool http_client(reactor,
                             settings.memory_bytes / kResponseMemoryDivisor);
  // Data that waits for peers to read takes at most this part.
  constexpr size_t kUnsentMemoryDivisor = 8;
  const UnsentDataLimit unsent_limit(
      reactor, settings.memory_bytes / kUnsentMemoryDivisor, LogCut);
  const UsersPlatformAdapter platform(settings.zones);
  StoreClient::Options store_options;
  store_options.address = settings.store_address;
  store_options.max_value_bytes = settings.max_row_bytes;
  StoreClient store(reactor, http_client, store_options);
  auto node = std::make_unique<Node>(reactor, http_client, store, platform,
                                     settings, NewIncarnation());
  const auto stop = [&] { node->Stop([&] { reactor.Stop(); }); };
  const SignalHandler on_term(reactor, SIGTERM, stop);
  const SignalHandler on_int(reactor, SIGINT, stop);
  const SignalHandler on_hup(reactor, SIGHUP,
                             [&] { Reload(*node, file, "signal"); });
  std::string stamp = FileStamp(file);
  Timer settings_timer(reactor);
  settings_timer.StartRepeating(kSettingsPeriod, [&] {
    if (std::string now = FileStamp(file); now != stamp) {
      stamp = std::move(now);
      Reload(*node, file, "file changed");
    }
  });
  LogEvent(Event::kStarted, {{"host", settings.host},
                             {"zone", settings.zone},
                             {"version", kVersion},
                             {"callers", settings.callers_address}});
  node->Start();
  reactor.Run();
  // Logs the requests that are cut.
  node = nullptr;
  LogEvent(Event::kStopped, {{"host", settings.host}});
  FlushLog();
  return kExitOk;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("applestand-node",
                           "Serves callers on one host of the users' platform");
  options.add_options()("settings", "settings file of this host (TOML)",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "check the settings and exit")(
      "version", "print the version")("help", "print this help");
  std::string file;
  bool check = false;
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help()
                << "\nExit codes: 0 done, 1 failed, 2 wrong use or settings\n";
      return kExitOk;
    }
    if (arguments.count("version") > 0) {
      std::cout << kVersion << "\n";
      return kExitOk;
    }
    if (arguments.count("settings") == 0) {
      std::cerr << "applestand-node: --settings FILE is missing\n";
      return kExitUsage;
    }
    file = arguments["settings"].as<std::string>();
    check = arguments.count("check") > 0;
  } catch (const std::exception& error) {
    std::cerr << "applestand-node: " << error.what() << "\n";
    return kExitUsage;
  }
  std::vector<std::string> errors;
  const auto settings = LoadNodeSettings(file, errors);
  for (const std::string& error : errors) {
    std::cerr << error << "\n";
  }
  if (!settings) {
    return kExitUsage;
  }
  if (check) {
    std::cout << file << ": ok\n";
    return kExitOk;
  }
  try {
    return Serve(file, *settings);
  } catch (const std::exception& error) {
    LogEvent(Event::kStartFailed, {{"reason", error.what()}});
    FlushLog();
    return kExitFailed;
  }
}

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  // A SIGHUP that arrives before its handler is installed must not terminate
  // the process.
  signal(SIGHUP, SIG_IGN);
  return applestand::Main(argc, argv);
}
