// Simulates the users' platform on one machine, for tests and demonstrations:
// its metadata store with a configuration, and targets.

#include <csignal>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>

#include "platform/standin/operator_standin.h"
#include "platform/standin/store_standin.h"
#include "platform/standin/target_standin.h"

namespace applestand {
namespace {

constexpr int kFirstTargetPort = 8200;
constexpr Duration kCrashCheckPeriod = std::chrono::milliseconds(50);
// Time from a target's crash until the store removes its row, and until the
// target is back under another id.
constexpr Duration kRowLifetimeAfterCrash = std::chrono::milliseconds(1500);
constexpr Duration kRestartDelay = std::chrono::milliseconds(2500);
constexpr Duration kLimitChangePeriod = std::chrono::milliseconds(700);

struct TargetOptions {
  std::vector<std::string> zones;
  int per_zone = 0;
  /// IP addresses that targets listen on and that their rows contain; empty for
  /// the loopback address with any port.
  std::string listen_ip;
  std::string advertised_ip;
  /// Targets crash on requests with this path; none if empty.
  std::string crash_path;
  /// Seed of the limits that targets name, change and end; none if not set.
  std::optional<uint32_t> limit_seed;
  /// Whether each zone also has a target of the service "counter".
  bool with_counter = false;
};

/// The targets of all zones. A target that crashes starts again.
class Targets {
 public:
  Targets(Reactor& reactor, StoreStandin& store, TargetOptions options)
      : m_reactor(reactor),
        m_store(store),
        m_options(std::move(options)),
        m_crash_timer(reactor),
        m_limit_random(m_options.limit_seed.value_or(0)),
        m_limit_timer(reactor) {
    for (const std::string& zone : m_options.zones) {
      for (int i = 0; i < m_options.per_zone; ++i) {
        Slot& slot = m_slots.emplace_back();
        slot.zone = zone;
        slot.name = "i-" + zone + "-" + std::to_string(i);
        slot.service = "desk";
      }
    }
    m_desk_slots = m_slots.size();
    for (const std::string& zone : m_options.zones) {
      if (m_options.with_counter) {
        Slot& slot = m_slots.emplace_back();
        slot.zone = zone;
        slot.name = "i-" + zone + "-counter";
        slot.service = "counter";
      }
    }
    for (size_t i = 0; i < m_slots.size(); ++i) {
      m_slots[i].port = ":" + std::to_string(kFirstTargetPort + i);
      StartTarget(m_slots[i]);
    }
    m_crash_timer.StartRepeating(kCrashCheckPeriod, [this] { CheckCrashes(); });
    if (m_options.limit_seed) {
      m_limit_timer.StartRepeating(kLimitChangePeriod,
                                   [this] { ChangeLimit(); });
    }
  }

  /// Writes the rows of running targets again and removes those of others, as
  /// targets and the platform do after the store came back from an older copy.
  void WriteRowsAgain() {
    for (Slot& slot : m_slots) {
      for (size_t i = 1; i <= slot.incarnations.size(); ++i) {
        const std::string id = slot.name + "-" + std::to_string(i);
        if (i == slot.incarnations.size() &&
            !slot.incarnations.back()->crashed()) {
          PutRow(slot);
        } else if (m_store.Has("servers", id)) {
          m_store.Remove("servers", id);
        }
      }
    }
  }

  /// Prints the received requests and the changes of limits, one a line, with
  /// the target and the time in seconds of the boot clock. A test can count
  /// requests that ran more than once or exceeded a limit.
  void PrintHistory() const {
    std::cout << std::fixed << std::setprecision(3);
    for (const Slot& slot : m_slots) {
      for (size_t i = 0; i < slot.incarnations.size(); ++i) {
        const PlatformTargetStandin& target = *slot.incarnations[i];
        for (size_t n = 0; n < target.requests.size(); ++n) {
          const HttpRequest& request = target.requests[n];
          std::cout << "request " << request.method << " " << request.target
                    << " "
                    << FindHeader(request.headers, "Request-Id").value_or("-")
                    << " " << slot.name << "-" << i + 1 << " "
                    << ToSeconds(target.arrivals[n].time_since_epoch()) << "\n";
        }
      }
    }
    for (const LimitChange& change : m_limit_changes) {
      std::cout << "limit " << change.target << " "
                << (change.per_s ? std::to_string(*change.per_s) : "none")
                << " " << ToSeconds(change.at.time_since_epoch()) << "\n";
    }
  }

 private:
  /// A target and its earlier incarnations, oldest first.
  struct Slot {
    std::string zone;
    std::string name;
    std::string service;
    std::string port;
    std::vector<std::unique_ptr<PlatformTargetStandin>> incarnations;
    std::optional<TimePoint> crashed_at;
    bool row_removed = false;
  };

  struct LimitChange {
    std::string target;
    std::optional<double> per_s;
    TimePoint at;
  };

  static std::string CurrentId(const Slot& slot) {
    return slot.name + "-" + std::to_string(slot.incarnations.size());
  }

  void StartTarget(Slot& slot) {
    const std::string& ip = m_options.listen_ip;
    slot.incarnations.push_back(nullptr);
    auto& target = slot.incarnations.back();
    target = std::make_unique<PlatformTargetStandin>(
        m_reactor, CurrentId(slot),
        ip.empty() ? "127.0.0.1:0" : ip + slot.port);
    if (!m_options.crash_path.empty()) {
      target->CrashOn(
          [path = m_options.crash_path](const HttpRequest& request) {
            return request.target == path;
          });
    }
    PutRow(slot);
    slot.crashed_at.reset();
    slot.row_removed = false;
  }

  void PutRow(const Slot& slot) {
    const std::string advertised = m_options.advertised_ip.empty()
                                       ? ""
                                       : m_options.advertised_ip + slot.port;
    m_store.Put("servers", CurrentId(slot),
                slot.incarnations.back()->MakeRow(slot.service, slot.zone,
                                                  "ready", advertised));
  }

  void CheckCrashes() {
    const TimePoint now = m_reactor.Now();
    for (Slot& slot : m_slots) {
      if (!slot.incarnations.back()->crashed()) {
        continue;
      }
      if (!slot.crashed_at) {
        slot.crashed_at = now;
      }
      const Duration down = now - *slot.crashed_at;
      if (!slot.row_removed && down >= kRowLifetimeAfterCrash) {
        m_store.Remove("servers", CurrentId(slot));
        slot.row_removed = true;
      }
      if (down >= kRestartDelay) {
        StartTarget(slot);
      }
    }
  }

  /// Lets a random target name another limit, or none. Every second target
  /// never names one, so that most requests can be served.
  void ChangeLimit() {
    constexpr double kMinPerSecond = 0.5;
    constexpr double kMaxPerSecond = 20;
    const size_t limited = (m_desk_slots + 1) / 2;
    Slot& slot = m_slots[2 * (m_limit_random() % limited)];
    std::optional<double> per_s;
    // Limits last for longer than the time after which they bind.
    if (m_limit_random() % 4 != 0) {
      per_s = std::uniform_real_distribution<double>(
          kMinPerSecond, kMaxPerSecond)(m_limit_random);
    }
    slot.incarnations.back()->SetRateLimit(per_s);
    m_limit_changes.push_back({CurrentId(slot), per_s, m_reactor.Now()});
  }

  Reactor& m_reactor;
  StoreStandin& m_store;
  const TargetOptions m_options;
  std::vector<Slot> m_slots;
  // The first of them, which belong to the service "desk".
  size_t m_desk_slots = 0;
  Timer m_crash_timer;
  std::mt19937 m_limit_random;
  std::vector<LimitChange> m_limit_changes;
  Timer m_limit_timer;
};

/// Makes the store come back from an older copy of itself. It is away for a
/// moment before that, and loses up to kCopyPeriod.
class RestoreDrill {
 public:
  RestoreDrill(Reactor& reactor,
               StoreStandin& store,
               Targets& targets,
               OperatorStandin& platform_operator)
      : m_reactor(reactor),
        m_store(store),
        m_targets(targets),
        m_operator(platform_operator),
        m_copy_timer(reactor),
        m_step_timer(reactor) {
    m_store.SaveCopy();
    m_copy_timer.StartRepeating(kCopyPeriod, [this] { m_store.SaveCopy(); });
  }

  void Start() {
    m_started_at.push_back(m_reactor.Now());
    m_operator.Pause();
    m_store.SetFault(StoreStandin::Fault::kDown);
    m_step_timer.Start(kAwayTime, [this] {
      m_store.RestoreCopy();
      m_store.SetFault(StoreStandin::Fault::kNone);
      m_step_timer.Start(kWriteAgainDelay, [this] {
        m_operator.Resume();
        m_targets.WriteRowsAgain();
      });
    });
  }

  /// Prints when each restoration began and when the operator had written
  /// again, in seconds of the boot clock, one a line.
  void PrintHistory(std::ostream& out) const {
    for (const TimePoint started_at : m_started_at) {
      const TimePoint end = started_at + kAwayTime + kWriteAgainDelay;
      out << "restore " << ToSeconds(started_at.time_since_epoch()) << " "
          << ToSeconds(end.time_since_epoch()) << "\n";
    }
  }

 private:
  static constexpr Duration kCopyPeriod = std::chrono::seconds(3);
  static constexpr Duration kAwayTime = std::chrono::milliseconds(300);
  static constexpr Duration kWriteAgainDelay = std::chrono::seconds(1);

  Reactor& m_reactor;
  StoreStandin& m_store;
  Targets& m_targets;
  OperatorStandin& m_operator;
  std::vector<TimePoint> m_started_at;
  Timer m_copy_timer;
  Timer m_step_timer;
};

int Serve(const std::string& store_address,
          TargetOptions target_options,
          const std::string& key,
          std::optional<uint32_t> config_seed) {
  signal(SIGPIPE, SIG_IGN);
  Reactor reactor;
  StoreStandin store(reactor, store_address);
  OperatorStandin platform_operator(reactor, store, key);
  if (config_seed) {
    platform_operator.StartChanges(*config_seed);
    target_options.with_counter = true;
  }
  Targets targets(reactor, store, std::move(target_options));
  RestoreDrill drill(reactor, store, targets, platform_operator);
  const SignalHandler restore(reactor, SIGUSR1, [&drill] { drill.Start(); });
  const SignalHandler stop(reactor, SIGTERM, [&] {
    targets.PrintHistory();
    platform_operator.PrintHistory(std::cout);
    drill.PrintHistory(std::cout);
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
    TargetOptions targets;
    targets.zones = arguments["zones"].as<std::vector<std::string>>();
    targets.per_zone = arguments["targets"].as<int>();
    targets.listen_ip = arguments["targets-at"].as<std::string>();
    targets.advertised_ip = arguments["targets-shown-at"].as<std::string>();
    targets.crash_path = arguments["crash-path"].as<std::string>();
    if (arguments.count("limit-seed") > 0) {
      targets.limit_seed = arguments["limit-seed"].as<uint32_t>();
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
