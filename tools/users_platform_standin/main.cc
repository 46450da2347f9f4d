// Simulates the users' platform on one machine, for tests and demonstrations:
// its metadata store with a configuration, and targets.

#include <csignal>
#include <iomanip>
#include <iostream>
#include <iterator>
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
constexpr Duration kRestartAfterLeaving = std::chrono::milliseconds(300);
constexpr Duration kNoticePeriod = std::chrono::milliseconds(400);

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
  /// If set, each zone has one more target, which asks for rests, leaves and
  /// starts again as this seed determines.
  std::optional<uint32_t> notice_seed;
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
        m_limit_timer(reactor),
        m_notice_random(m_options.notice_seed.value_or(0)),
        m_notice_timer(reactor) {
    for (const std::string& zone : m_options.zones) {
      for (int i = 0; i < m_options.per_zone; ++i) {
        Slot& slot = m_slots.emplace_back();
        slot.zone = zone;
        slot.name = "i-" + zone + "-" + std::to_string(i);
        slot.service = "desk";
      }
    }
    m_first_notice_slot = m_slots.size();
    for (const std::string& zone : m_options.zones) {
      if (m_options.notice_seed) {
        Slot& slot = m_slots.emplace_back();
        slot.zone = zone;
        slot.name = "i-" + zone + "-notice";
        slot.service = "desk";
      }
    }
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
    if (m_options.notice_seed) {
      m_notice_timer.StartRepeating(kNoticePeriod, [this] { ChangeNotices(); });
    }
  }

  /// Writes the rows of running targets again and removes those of others, as
  /// targets and the platform do after the store came back from an older copy.
  void WriteRowsAgain() {
    for (Slot& slot : m_slots) {
      for (size_t i = 1; i <= slot.incarnations.size(); ++i) {
        const std::string& id = slot.ids[i - 1];
        if (i == slot.incarnations.size() &&
            !slot.incarnations.back()->crashed()) {
          PutRow(slot);
        } else if (id != slot.ids.back() && m_store.Has("servers", id)) {
          m_store.Remove("servers", id);
        }
      }
    }
  }

  /// Prints the received requests and the changes of limits, one a line, with
  /// the target's incarnation and the time in seconds of the boot clock. After
  /// a request follow the rest in seconds that its response asks for ("-" if
  /// none), and 1 if it says that the target leaves, otherwise 0. A test can
  /// count requests that ran more than once or that a target did not want.
  void PrintHistory() const {
    std::cout << std::fixed << std::setprecision(3);
    for (const Slot& slot : m_slots) {
      for (size_t i = 0; i < slot.incarnations.size(); ++i) {
        const PlatformTargetStandin& target = *slot.incarnations[i];
        for (size_t n = 0; n < target.requests.size(); ++n) {
          const HttpRequest& request = target.requests[n];
          const PlatformTargetStandin::Notice& notice = target.notices[n];
          std::cout << "request " << request.method << " " << request.target
                    << " "
                    << FindHeader(request.headers, "Request-Id").value_or("-")
                    << " " << slot.name << "-" << i + 1 << " "
                    << ToSeconds(target.arrivals[n].time_since_epoch()) << " "
                    << (notice.rest_seconds.empty() ? "-" : notice.rest_seconds)
                    << " " << notice.leaving << "\n";
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
    // The id of each incarnation in its row.
    std::vector<std::string> ids;
    // Set while the target leaves.
    std::optional<TimePoint> leaves_at;
    // Set from then until the next incarnation, which may have the same id.
    std::optional<TimePoint> restarts_at;
    bool keeps_id = false;
    // Set while the target asks for rests.
    std::optional<TimePoint> rests_until;
    std::optional<TimePoint> crashed_at;
    bool row_removed = false;
  };

  struct LimitChange {
    std::string target;
    std::optional<double> per_s;
    TimePoint at;
  };

  /// Returns the name of the latest incarnation in the printed history.
  static std::string CurrentName(const Slot& slot) {
    return slot.name + "-" + std::to_string(slot.incarnations.size());
  }

  /// Starts the target, under the id of its last incarnation if `keep_id`.
  void StartTarget(Slot& slot, bool keep_id = false) {
    const std::string& ip = m_options.listen_ip;
    slot.incarnations.push_back(nullptr);
    slot.ids.push_back(keep_id ? slot.ids.back() : CurrentName(slot));
    auto& target = slot.incarnations.back();
    target = std::make_unique<PlatformTargetStandin>(
        m_reactor, slot.ids.back(),
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
    m_store.Put("servers", slot.ids.back(),
                slot.incarnations.back()->MakeRow(
                    slot.service, slot.zone, "ready", advertised,
                    static_cast<int>(slot.incarnations.size())));
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
        m_store.Remove("servers", slot.ids.back());
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
    const size_t limited = (m_first_notice_slot + 1) / 2;
    Slot& slot = m_slots[2 * (m_limit_random() % limited)];
    std::optional<double> per_s;
    // Limits last for longer than the time after which they bind.
    if (m_limit_random() % 4 != 0) {
      per_s = std::uniform_real_distribution<double>(
          kMinPerSecond, kMaxPerSecond)(m_limit_random);
    }
    slot.incarnations.back()->SetRateLimit(per_s);
    m_limit_changes.push_back({CurrentName(slot), per_s, m_reactor.Now()});
  }

  uint32_t DrawNotice(uint32_t end) { return m_notice_random() % end; }

  /// Lets a random one of the targets for it ask for rests or leave, and
  /// restarts those that have left.
  void ChangeNotices() {
    const TimePoint now = m_reactor.Now();
    for (Slot& slot : m_slots) {
      PlatformTargetStandin& target = *slot.incarnations.back();
      if (target.crashed()) {
        slot.leaves_at.reset();
        continue;
      }
      if (slot.rests_until && now >= *slot.rests_until) {
        slot.rests_until.reset();
        target.AskForRest(std::nullopt);
      }
      if (slot.leaves_at && now >= *slot.leaves_at) {
        StopAfterLeaving(slot, now);
      } else if (slot.restarts_at && now >= *slot.restarts_at) {
        slot.restarts_at.reset();
        StartTarget(slot, slot.keeps_id);
      }
    }
    Slot& slot =
        m_slots[m_first_notice_slot + DrawNotice(m_options.zones.size())];
    PlatformTargetStandin& target = *slot.incarnations.back();
    if (target.crashed() || slot.leaves_at || slot.restarts_at) {
      return;
    }
    constexpr uint32_t kMaxRestMs = 4000;
    constexpr uint32_t kMaxRestingMs = 1500;
    constexpr uint32_t kMaxLeavingMs = 6000;
    const TimePoint leaves_at =
        now + std::chrono::milliseconds(DrawNotice(kMaxLeavingMs));
    switch (DrawNotice(6)) {
      case 0:
        // A rest that lasts until the target's next incarnation.
        target.AskForRest("7200");
        slot.leaves_at = leaves_at;
        break;
      case 1:
        target.SetLeaving(true);
        slot.leaves_at = leaves_at;
        break;
      case 2:
        // The row is written again, which ends no rest.
        PutRow(slot);
        break;
      default:
        target.AskForRest(std::to_string(
            ToSeconds(std::chrono::milliseconds(DrawNotice(kMaxRestMs)))));
        slot.rests_until =
            now + std::chrono::milliseconds(DrawNotice(kMaxRestingMs));
        break;
    }
  }

  void StopAfterLeaving(Slot& slot, TimePoint now) {
    slot.leaves_at.reset();
    slot.incarnations.back()->Stop();
    slot.keeps_id = DrawNotice(2) == 0;
    if (!slot.keeps_id) {
      m_store.Remove("servers", slot.ids.back());
    }
    slot.restarts_at = now + kRestartAfterLeaving;
  }

  Reactor& m_reactor;
  StoreStandin& m_store;
  const TargetOptions m_options;
  std::vector<Slot> m_slots;
  // The first of the targets that ask for rests and leave, one a zone.
  size_t m_first_notice_slot = 0;
  Timer m_crash_timer;
  std::mt19937 m_limit_random;
  std::vector<LimitChange> m_limit_changes;
  Timer m_limit_timer;
  std::mt19937 m_notice_random;
  Timer m_notice_timer;
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

/// Lets the store fail for all hosts for a while: it rejects calls, executes
/// them without a response, or discards its history.
class StoreFaults {
 public:
  StoreFaults(Reactor& reactor,
              StoreStandin& store,
              OperatorStandin& platform_operator,
              uint32_t seed)
      : m_reactor(reactor),
        m_store(store),
        m_operator(platform_operator),
        m_random(seed),
        m_timer(reactor) {}

  /// Starts a random fault. The operator writes nothing until its end.
  void Start() {
    using Fault = StoreStandin::Fault;
    constexpr Fault kFaults[] = {Fault::kDown, Fault::kBusy,
                                 Fault::kResponseLost, Fault::kNoResponse};
    constexpr uint32_t kMaxFaultMs = 2000;
    const uint32_t drawn = m_random() % (std::size(kFaults) + 1);
    if (drawn == std::size(kFaults)) {
      m_store.DiscardHistory();
      return;
    }
    const Duration time = std::chrono::milliseconds(m_random() % kMaxFaultMs);
    m_spans.emplace_back(m_reactor.Now(), m_reactor.Now() + time);
    m_operator.Pause();
    m_store.SetFault(kFaults[drawn]);
    m_timer.Start(time, [this] {
      m_store.SetFault(Fault::kNone);
      m_operator.Resume();
    });
  }

  /// Prints when each fault began and ended, in seconds of the boot clock, one
  /// a line.
  void PrintHistory(std::ostream& out) const {
    for (const auto& [start, end] : m_spans) {
      out << "store-fault " << ToSeconds(start.time_since_epoch()) << " "
          << ToSeconds(end.time_since_epoch()) << "\n";
    }
  }

 private:
  Reactor& m_reactor;
  StoreStandin& m_store;
  OperatorStandin& m_operator;
  std::mt19937 m_random;
  std::vector<std::pair<TimePoint, TimePoint>> m_spans;
  Timer m_timer;
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
  StoreFaults store_faults(reactor, store, platform_operator,
                           config_seed.value_or(0));
  const SignalHandler fail(reactor, SIGUSR2, [&] { store_faults.Start(); });
  const SignalHandler stop(reactor, SIGTERM, [&] {
    targets.PrintHistory();
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
    if (arguments.count("notice-seed") > 0) {
      targets.notice_seed = arguments["notice-seed"].as<uint32_t>();
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
