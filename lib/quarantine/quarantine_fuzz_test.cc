#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/quarantine/quarantine.h"

namespace applestand {

namespace {

constexpr int kHosts = 4;
constexpr int kTargets = 30;
constexpr int kTargetsPerZone = 5;
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kLongestRun = std::chrono::milliseconds(50);
constexpr Duration kNoticeDelay = std::chrono::milliseconds(20);
constexpr Duration kCrashDetectionDelay = std::chrono::milliseconds(200);
// If a crash is detected only by the target's missing heartbeats, the poison
// request reaches further targets meanwhile.
constexpr Duration kSlowCrashDetectionDelay = std::chrono::milliseconds(1200);
// A request that has crashed three targets may reach three more that much
// later.
constexpr Duration kContactTime = std::chrono::seconds(3);
constexpr int kMaxLateCrashes = 3;
constexpr int kUniquePerTick = 8;
constexpr int kClientRetryDelayTicks = 100;
// Ticks between two tries of a request that crashes targets.
constexpr int kPoisonPeriodTicks = 100;
// Longer than QuarantineOptions::crossing_window.
constexpr Duration kTimeSinceServed = std::chrono::seconds(3);
constexpr int kPoison = 0;
constexpr int kHot = 1;
constexpr int kFirstUnique = 2;

QuarantineOptions TwoCrashesOnly() {
  QuarantineOptions options;
  options.crashes_to_quarantine_always = options.crashes_to_quarantine;
  options.completed_window = Duration::zero();
  options.crossing_window = Duration::zero();
  return options;
}

Fingerprint MakeFingerprint(int request) {
  return {ClientAccountId("a"), 0, static_cast<uint64_t>(request)};
}

TargetId MakeTargetId(int target) {
  return TargetId("t" + std::to_string(target));
}

struct Attempt {
  int request = 0;
  int host = 0;
  int target = 0;
  TimePoint end;
};

/// Simulates kHosts entry hosts and kTargets targets. Notices between the hosts
/// and reports of crashes arrive with a delay.
class Simulation {
 public:
  Simulation(const QuarantineOptions& options,
             uint64_t seed,
             Duration crash_detection_delay = kCrashDetectionDelay)
      : m_random(seed), m_crash_detection_delay(crash_detection_delay) {
    for (auto& host : m_hosts) {
      host = std::make_unique<Quarantine>(options);
    }
  }

  /// Sends a request through a host unless the host has quarantined it.
  void Send(int request, int host) {
    if (m_hosts[host]->RemainingTime(MakeFingerprint(request), m_now)) {
      m_rejected.insert(request);
      ++m_rejections[request];
      return;
    }
    const int target = PickTarget();
    if (target < 0) {
      return;
    }
    m_attempts.push_back({request, host, target, m_now + RunTime()});
  }

  /// Sends both requests to the same target, through random hosts; the second
  /// one is still in flight when the target crashes. Sends none once the first
  /// is quarantined, as if no other target could complete the second.
  void SendBeside(int crashing, int beside) {
    const int target = PickTarget();
    const TimePoint end = m_now + RunTime();
    for (const auto& [request, until] :
         {std::pair(crashing, end), std::pair(beside, end + kTick)}) {
      const int host = Random(kHosts);
      if (m_hosts[host]->RemainingTime(MakeFingerprint(request), m_now)) {
        ++m_rejections[request];
        if (request == crashing) {
          return;
        }
      } else if (target >= 0) {
        m_attempts.push_back({request, host, target, until});
      }
    }
  }

  /// A complete response reaches all hosts.
  void Complete(int request) {
    for (const auto& host : m_hosts) {
      host->OnCompleteResponse(MakeFingerprint(request), m_now);
    }
  }

  /// Returns whether a host has quarantined the request.
  bool IsQuarantined(int request) {
    return std::any_of(
        std::begin(m_hosts), std::end(m_hosts), [&](const auto& host) {
          return host->RemainingTime(MakeFingerprint(request), m_now)
              .has_value();
        });
  }

  void Tick() {
    m_now += kTick;
    std::vector<Attempt> running;
    for (const Attempt& attempt : std::exchange(m_attempts, {})) {
      if (attempt.end > m_now) {
        running.push_back(attempt);
      } else if (attempt.request == kPoison) {
        m_poison_crashes.push_back(m_now);
        Crash(attempt.target);
        Abort(attempt);
      } else {
        m_hosts[attempt.host]->OnCompleteResponse(
            MakeFingerprint(attempt.request), m_now);
      }
    }
    for (const Attempt& attempt : running) {
      if (m_down_until[attempt.target] > m_now) {
        Abort(attempt);
      } else {
        m_attempts.push_back(attempt);
      }
    }
    DeliverMessages();
  }

  void CrashZone(int zone) {
    for (int i = 0; i < kTargetsPerZone; ++i) {
      Crash(zone * kTargetsPerZone + i);
    }
  }

  int Random(int below) { return static_cast<int>(m_random() % below); }
  int poison_crashes() const {
    return static_cast<int>(m_poison_crashes.size());
  }
  /// Number of crashes by kPoison from kContactTime after the third one on.
  int late_poison_crashes() const {
    return static_cast<int>(std::count_if(
        m_poison_crashes.begin(), m_poison_crashes.end(), [this](TimePoint at) {
          return at > m_poison_crashes[2] + kContactTime;
        }));
  }
  int RejectionsOf(int request) { return m_rejections[request]; }
  /// Number of distinct requests other than kPoison and kHot that were rejected
  /// as quarantined.
  size_t innocent_rejected() const {
    return m_rejected.size() - m_rejected.count(kPoison) -
           m_rejected.count(kHot);
  }
  std::set<int> TakeAborted() { return std::exchange(m_aborted, {}); }

 private:
  struct Message {
    TimePoint due;
    int host = 0;
    std::optional<QuarantineNotice> notice;
    int crashed_target = 0;
  };

  Duration RunTime() {
    return kLongestRun - std::chrono::milliseconds(Random(40));
  }

  int PickTarget() {
    for (int tries = 0; tries < 100; ++tries) {
      if (const int target = Random(kTargets); m_down_until[target] <= m_now) {
        return target;
      }
    }
    return -1;
  }

  void Crash(int target) {
    m_down_until[target] = m_now + std::chrono::seconds(3);
    for (int host = 0; host < kHosts; ++host) {
      m_messages.push_back(
          {m_now + m_crash_detection_delay, host, std::nullopt, target});
    }
  }

  void Abort(const Attempt& attempt) {
    m_aborted.insert(attempt.request);
    m_hosts[attempt.host]->OnAttemptAborted(
        MakeFingerprint(attempt.request), MakeTargetId(attempt.target), m_now);
  }

  void DeliverMessages() {
    for (Message& message : std::exchange(m_messages, {})) {
      if (message.due > m_now) {
        m_messages.push_back(std::move(message));
      } else if (message.notice) {
        m_hosts[message.host]->OnNotice(*message.notice, m_now);
      } else {
        m_hosts[message.host]->OnTargetCrash(
            MakeTargetId(message.crashed_target), m_now);
      }
    }
    for (int from = 0; from < kHosts; ++from) {
      for (const QuarantineNotice& notice : m_hosts[from]->TakeNotices()) {
        for (int to = 0; to < kHosts; ++to) {
          if (to != from) {
            m_messages.push_back({m_now + kNoticeDelay, to, notice, 0});
          }
        }
      }
    }
  }

  std::mt19937_64 m_random;
  const Duration m_crash_detection_delay;
  TimePoint m_now{std::chrono::hours(1)};
  std::unique_ptr<Quarantine> m_hosts[kHosts];
  TimePoint m_down_until[kTargets];
  std::vector<Attempt> m_attempts;
  std::deque<Message> m_messages;
  std::set<int> m_rejected;
  std::set<int> m_aborted;
  std::map<int, int> m_rejections;
  std::vector<TimePoint> m_poison_crashes;
};

/// Returns the number of targets that one poison request crashes in a minute.
/// It is sent every half second through a random host. If `zones_crash`, two
/// zones crash after the first of its attempts.
int CrashesByPoison(const QuarantineOptions& options,
                    uint64_t seed,
                    bool zones_crash = false) {
  Simulation simulation(options, seed);
  for (int tick = 0; tick < 12000; ++tick) {
    if (zones_crash && tick == 50) {
      simulation.CrashZone(1);
      simulation.CrashZone(2);
    }
    if (tick % 100 == 0) {
      simulation.Send(kPoison, simulation.Random(kHosts));
    }
    simulation.Tick();
  }
  return simulation.poison_crashes();
}

struct CrashesBeside {
  int crashes = 0;
  int late_crashes = 0;
  bool other_is_quarantined = false;
};

/// Sends a poison request `tries` times, each time beside another request. One
/// of the two, `served`, was completed some seconds before.
CrashesBeside CrashesByPoisonBeside(uint64_t seed,
                                    int served,
                                    int tries,
                                    Duration crash_detection_delay) {
  Simulation simulation(ThreeCrashOptions(), seed, crash_detection_delay);
  simulation.Complete(served);
  for (Duration left = kTimeSinceServed; left > Duration::zero();
       left -= kTick) {
    simulation.Tick();
  }
  for (int tick = 0; tick < tries * kPoisonPeriodTicks; ++tick) {
    if (tick % kPoisonPeriodTicks == 0) {
      simulation.SendBeside(kPoison, kHot);
    }
    simulation.Tick();
  }
  return {simulation.poison_crashes(), simulation.late_poison_crashes(),
          simulation.IsQuarantined(kHot)};
}

struct CrashRejections {
  size_t innocent_rejected = 0;
  int hot_rejections = 0;
};

/// Crashes two zones 20 ms apart. One request is sent in every tick, the others
/// once each. A request whose attempt was aborted is sent again: the first time
/// immediately, as the entry does, after that with a delay, as a caller does.
CrashRejections RejectionsAfterZoneCrash(const QuarantineOptions& options,
                                         uint64_t seed) {
  Simulation simulation(options, seed);
  int next = kFirstUnique;
  std::map<int, int> aborts;
  std::multimap<int, int> resends;
  for (int tick = 0; tick < 2000; ++tick) {
    simulation.Send(kHot, simulation.Random(kHosts));
    for (int i = 0; i < kUniquePerTick; ++i) {
      simulation.Send(next++, simulation.Random(kHosts));
    }
    if (tick == 200 || tick == 204) {
      simulation.CrashZone(tick == 200 ? 1 : 2);
    }
    for (const int aborted : simulation.TakeAborted()) {
      if (aborted != kHot) {
        resends.emplace(
            tick + (++aborts[aborted] == 1 ? 0 : kClientRetryDelayTicks),
            aborted);
      }
    }
    for (; !resends.empty() && resends.begin()->first <= tick;
         resends.erase(resends.begin())) {
      simulation.Send(resends.begin()->second, simulation.Random(kHosts));
    }
    simulation.Tick();
  }
  return {simulation.innocent_rejected(), simulation.RejectionsOf(kHot)};
}

}  // namespace

TEST_CASE("fuzz: a poison request crashes at most three targets") {
  CHECK(FixedSeedCheck(20261206, 60, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    // Two crashes quarantine the request for two minutes, longer than the run.
    // A third one may occur before the hosts have been notified.
    RC_ASSERT(CrashesByPoison({}, seed) <= 3);
  }));
}

TEST_CASE(
    "fuzz: with three crashes required, a poison request crashes at most six "
    "targets, also while zones crash") {
  CHECK(FixedSeedCheck(20261204, 60, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    RC_ASSERT(CrashesByPoison(ThreeCrashOptions(), seed) <= 6);
    RC_ASSERT(CrashesByPoison(ThreeCrashOptions(), seed, true) <= 6);
  }));
}

// Guards against refusing a request that many callers send because it was in
// flight wherever another one crashed a target.
TEST_CASE(
    "fuzz: a request that was served and runs beside a poison request at each "
    "target is not quarantined, and the poison request crashes at most six") {
  CHECK(FixedSeedCheck(20261208, 60, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const CrashesBeside result =
        CrashesByPoisonBeside(seed, kHot, 8, kSlowCrashDetectionDelay);
    RC_ASSERT(result.crashes >= 4 && result.crashes <= 6);
    RC_ASSERT(result.late_crashes <= kMaxLateCrashes);
    RC_ASSERT(!result.other_is_quarantined);
  }));
}

// Guards against a poison request that was served once running on because
// another one, which was not, was in flight beside it.
TEST_CASE(
    "fuzz: a poison request that was served before crashes at most six targets "
    "beside a request that never completes, at most three of them late") {
  CHECK(FixedSeedCheck(20261209, 60, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    RC_ASSERT(CrashesByPoisonBeside(seed, kPoison, 40, kCrashDetectionDelay)
                  .crashes <= 6);
    RC_ASSERT(CrashesByPoisonBeside(seed, kPoison, 40, kSlowCrashDetectionDelay)
                  .late_crashes <= kMaxLateCrashes);
  }));
}

TEST_CASE(
    "fuzz: with three crashes required, the crash of two zones quarantines no "
    "innocent request") {
  CHECK(FixedSeedCheck(20261205, 40, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const CrashRejections rejections =
        RejectionsAfterZoneCrash(ThreeCrashOptions(), seed);
    RC_ASSERT(rejections.innocent_rejected == 0U);
    RC_ASSERT(rejections.hot_rejections <=
              (kLongestRun + kNoticeDelay) / kTick);
  }));
}

TEST_CASE("fuzz: the crash of two zones quarantines no innocent request") {
  CHECK(FixedSeedCheck(20261207, 40, 100, [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const CrashRejections rejections = RejectionsAfterZoneCrash({}, seed);
    RC_ASSERT(rejections.innocent_rejected == 0U);
    // The next complete response clears the request on all hosts: a running
    // attempt takes at most kLongestRun, and its notice kNoticeDelay.
    RC_ASSERT(rejections.hot_rejections <=
              (kLongestRun + kNoticeDelay) / kTick);
  }));
}

TEST_CASE("quarantining after any two crashes rejects innocent requests") {
  size_t rejected = 0;
  int hot = 0;
  int crashes = 0;
  int crashes_with_all_rules = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const CrashRejections rejections =
        RejectionsAfterZoneCrash(TwoCrashesOnly(), seed);
    rejected += rejections.innocent_rejected;
    hot += rejections.hot_rejections;
    crashes += CrashesByPoison(TwoCrashesOnly(), seed);
    crashes_with_all_rules += CrashesByPoison({}, seed);
  }
  MESSAGE("two crashes alone, 40 zone crashes: "
          << rejected << " innocent requests rejected, the most frequent one "
          << hot << " times; crashes by 40 poison requests in a minute: "
          << crashes << ", with all rules " << crashes_with_all_rules);
  CHECK(rejected > 0);
  CHECK(hot > 0);
}

}  // namespace applestand
