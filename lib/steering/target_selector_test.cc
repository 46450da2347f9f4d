#include "lib/steering/target_selector.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("desk");
constexpr double kColdRate = 14;
// Of two equal targets, each is to get at least two fifths of its half.
constexpr double kMinShare = 0.2;
// A target that is much slower than another one is only tried now and then.
constexpr double kMaxSlowShare = 0.1;

SteeringTarget Target(const std::string& id,
                      const std::string& region,
                      uint32_t slots = 4) {
  SteeringTarget target;
  target.id = TargetId(id);
  target.incarnation = Incarnation(1);
  target.service = kService;
  target.region = RegionId(region);
  target.zone = ZoneId(region + "-1");
  target.address = "127.0.0.1:1";
  target.slots = slots;
  return target;
}

/// A host in region "norte" and its selector, with targets in "norte" and
/// "sul".
class TestHost {
 public:
  TestHost(int local, int remote) : selector(Options()) {
    ServingService service;
    service.id = kService;
    service.cold_rate = kColdRate;
    service.cold_time = seconds(3);
    selector.SetServices({{kService, service}});
    selector.SetHosts(2, 0);
    selector.SetRegionHosts(1);
    for (int i = 0; i < local; ++i) {
      selector.Update(Target("n" + std::to_string(i), "norte"), now);
    }
    for (int i = 0; i < remote; ++i) {
      selector.Update(Target("s" + std::to_string(i), "sul"), now);
    }
  }

  static SelectorOptions Options() {
    SelectorOptions options;
    options.self = HostId("h");
    options.region = RegionId("norte");
    options.zone = ZoneId("norte-1");
    return options;
  }

  static TargetQuery Query(uint64_t object) {
    TargetQuery query;
    query.service = kService;
    query.object = object;
    query.latency_objective_left = milliseconds(200);
    query.time_left = milliseconds(1200);
    query.priority = 2;
    return query;
  }

  std::optional<TargetId> Choose(const TargetQuery& query) {
    const auto choice = selector.Choose(query, now);
    const auto* target = std::get_if<TargetChoice>(&choice);
    return target == nullptr ? std::nullopt : std::optional(target->target);
  }

  NoTargetReason RejectionReason(const TargetQuery& query) {
    const auto choice = selector.Choose(query, now);
    const auto* none = std::get_if<NoTarget>(&choice);
    REQUIRE(none != nullptr);
    CHECK(none->retry_after > Duration::zero());
    return none->reason;
  }

  /// Sends a request and simulates a response after `took`.
  std::optional<TargetId> Serve(uint64_t object, Duration took) {
    auto target = Choose(Query(object));
    if (target) {
      selector.OnSent(*target, object, now);
      now += took;
      selector.OnAttemptEnd(*target, AttemptOutcome::kAnswered, took,
                            std::nullopt, {}, now);
    }
    return target;
  }

  TimePoint now{std::chrono::hours(1)};
  TargetSelector selector;
};

/// A host that sends requests, each for the next of a number of objects, to two
/// targets with free slots. Their response times differ by chance.
class TwoTargets {
 public:
  static constexpr uint64_t kObjects = 40;
  static constexpr uint64_t kSeeds = 20;
  static constexpr double kPerSecond = 33;

  TwoTargets(uint64_t seed, Duration service_time, double per_second)
      : m_host(2, 0),
        m_random(seed),
        m_service_time(service_time),
        m_send_period(static_cast<int64_t>(1e6 / per_second)) {
    constexpr uint32_t kSlots = 32;
    for (const char* id : {"n0", "n1"}) {
      m_host.selector.Update(Target(id, "norte", kSlots), m_host.now);
    }
    m_host.selector.SetLiveHosts({{RegionId("norte"), {HostId("h")}}},
                                 m_host.now);
  }

  struct Counts {
    int all = 0;
    /// Requests to the first target.
    int first = 0;
    /// Requests to another target than the one before for the same object.
    int moved = 0;
    double share() const { return static_cast<double>(first) / all; }
  };

  /// Sends requests for `time`, all for new objects but one in `known_every`,
  /// if that is not 0. The first target takes `extra` longer for warm objects.
  Counts RunNew(Duration time, Duration extra, uint64_t known_every) {
    Counts counts;
    for (const TimePoint end = m_host.now + time; m_host.now < end;) {
      Respond();
      const bool is_known = known_every != 0 && m_sent % known_every == 0;
      Send(is_known ? m_sent / known_every % kObjects : kObjects + m_sent,
           counts, extra);
      ++m_sent;
      m_host.now += m_send_period;
    }
    return counts;
  }

  /// From now on, requests for cold objects take this many times as long.
  void SetColdFactor(double factor) { m_cold_factor = factor; }

  /// Sends requests for `time`. The first target takes `extra` longer. Does not
  /// count those for new objects.
  Counts Run(Duration time, Duration extra = Duration::zero()) {
    Counts counts;
    for (const TimePoint end = m_host.now + time; m_host.now < end;) {
      Respond();
      Send(m_sent++ % kObjects, counts, extra);
      if (m_new_objects) {
        Counts not_counted;
        Send(kObjects + m_sent, not_counted, extra);
      }
      m_host.now += m_send_period;
    }
    return counts;
  }

  /// The objects are requested from both targets.
  void WarmObjectsAtBoth() {
    for (uint64_t object = 0; object < kObjects; ++object) {
      for (const char* id : {"n0", "n1"}) {
        const auto conditions =
            m_host.selector.OnSent(TargetId(id), object, m_host.now);
        m_host.selector.OnAttemptEnd(TargetId(id), AttemptOutcome::kAnswered,
                                     m_service_time, std::nullopt, conditions,
                                     m_host.now);
      }
    }
  }

  /// From now on, each of the requests is followed by one for a new object.
  void AddNewObjects() { m_new_objects = true; }

  void LimitFirst(std::optional<double> requests_per_s) {
    m_host.selector.OnRateLimit(TargetId("n0"), requests_per_s, m_host.now,
                                m_host.now);
  }

 private:
  struct Request {
    TargetId target;
    Duration took;
    AttemptConditions conditions;
  };

  // Time for which the host's processor was busy with other work.
  Duration Noise() {
    constexpr uint64_t kMaxNoiseMicros = 4000;
    return Duration(m_random() % kMaxNoiseMicros);
  }

  void Send(uint64_t object, Counts& counts, Duration extra) {
    const auto target = m_host.Choose(TestHost::Query(object));
    REQUIRE(target.has_value());
    const bool is_first = *target == TargetId("n0");
    const auto [last, added] = m_last_target.try_emplace(object, *target);
    ++counts.all;
    counts.first += is_first ? 1 : 0;
    counts.moved += last->second != *target ? 1 : 0;
    last->second = *target;
    const auto conditions = m_host.selector.OnSent(*target, object, m_host.now);
    const Duration work =
        m_service_time + (is_first ? extra : Duration::zero());
    const Duration took =
        Noise() + std::chrono::duration_cast<Duration>(
                      work * (conditions.warm ? 1.0 : m_cold_factor));
    m_in_flight.emplace(m_host.now + took, Request{*target, took, conditions});
  }

  void Respond() {
    const auto done = m_in_flight.upper_bound(m_host.now);
    for (auto it = m_in_flight.begin(); it != done; ++it) {
      const Request& request = it->second;
      m_host.selector.OnAttemptEnd(request.target, AttemptOutcome::kAnswered,
                                   request.took, std::nullopt,
                                   request.conditions, it->first);
    }
    m_in_flight.erase(m_in_flight.begin(), done);
  }

  TestHost m_host;
  std::mt19937_64 m_random;
  const Duration m_service_time;
  const Duration m_send_period;
  uint64_t m_sent = 0;
  bool m_new_objects = false;
  double m_cold_factor = 1;
  std::map<uint64_t, TargetId> m_last_target;
  std::multimap<TimePoint, Request> m_in_flight;
};

}  // namespace

TEST_CASE(
    "an object stays at one target, and objects are spread over all targets") {
  TestHost host(12, 12);
  std::map<TargetId, int> objects;
  for (uint64_t object = 0; object < 155; ++object) {
    const auto first = host.Serve(object, milliseconds(70));
    REQUIRE(first.has_value());
    ++objects[*first];
    CHECK(host.Serve(object, milliseconds(70)) == first);
    CHECK(host.Serve(object, milliseconds(70)) == first);
  }
  CHECK(objects.size() == 12);
  for (const auto& [target, count] : objects) {
    CHECK(target.value()[0] == 'n');
    // A target keeps at least 65 objects warm. More than three times the mean
    // would be a hot spot.
    CHECK(count < 3 * 155 / 12);
  }
}

TEST_CASE("hosts choose the same target for an object without sharing state") {
  TestHost one(12, 0);
  // Without history, like a host after a restart.
  TestHost two(12, 0);
  for (uint64_t object = 0; object < 50; ++object) {
    CHECK(one.Serve(object, milliseconds(70)) ==
          two.Choose(TestHost::Query(object)));
  }
}

TEST_CASE("when a target drains, the objects of other targets do not move") {
  TestHost host(12, 0);
  std::map<uint64_t, TargetId> before;
  for (uint64_t object = 0; object < 100; ++object) {
    before[object] = *host.Serve(object, milliseconds(70));
  }
  SteeringTarget draining = Target("n3", "norte");
  draining.draining = true;
  host.selector.Update(draining, host.now);
  for (const auto& [object, target] : before) {
    const auto after = host.Choose(TestHost::Query(object));
    REQUIRE(after.has_value());
    CHECK(*after != TargetId("n3"));
    if (target != TargetId("n3")) {
      CHECK(*after == target);
    }
  }
}

TEST_CASE(
    "an object moves to the next target if queueing costs more than a cold "
    "object") {
  TestHost host(4, 0);
  const auto target = host.Serve(1, milliseconds(70));
  REQUIRE(target.has_value());
  std::set<TargetId> used;
  for (int i = 0; i < 40; ++i) {
    TargetQuery query = TestHost::Query(1);
    query.latency_objective_left = seconds(2);
    const auto next = host.Choose(query);
    REQUIRE(next.has_value());
    used.insert(*next);
    host.selector.OnSent(*next, 1, host.now);
  }
  CHECK(used.count(*target) == 1);
  CHECK(used.size() > 1);
}

TEST_CASE("during a burst, requests for a warm object queue at its target") {
  // Three requests per slot, as in a burst into a region that lost a zone. If
  // the object were processed cold elsewhere, it would evict objects that are
  // warm there.
  TestHost host(4, 0);
  const auto target = host.Serve(1, milliseconds(70));
  REQUIRE(target.has_value());
  for (int i = 0; i < 12; ++i) {
    TargetQuery query = TestHost::Query(1);
    query.latency_objective_left = seconds(2);
    CHECK(host.Choose(query) == target);
    host.selector.OnSent(*target, 1, host.now);
  }
}

TEST_CASE("during a burst, queueing is bounded by the latency objective") {
  TestHost host(1, 0);
  int sent = 0;
  while (host.Choose(TestHost::Query(1)) && sent < 100) {
    host.selector.OnSent(TargetId("n0"), 1, host.now);
    ++sent;
  }
  // With four slots and a service time of 0.1 s, 8 requests meet the latency
  // objective of 0.2 s; 48 would fit into the caller's deadline of 1.2 s. What
  // is sent beyond 8 is late and delays what follows.
  CHECK(sent > 4);
  CHECK(sent <= 8);
  CHECK(host.RejectionReason(TestHost::Query(1)) ==
        NoTargetReason::kOverloaded);
}

TEST_CASE("a request that cannot be served in time is rejected at once") {
  TestHost host(1, 0);
  for (int i = 0; i < 20; ++i) {
    const auto target = host.Choose(TestHost::Query(1));
    if (!target) {
      break;
    }
    host.selector.OnSent(*target, 1, host.now);
  }
  CHECK(host.RejectionReason(TestHost::Query(1)) ==
        NoTargetReason::kOverloaded);
  // A request of the highest priority may queue longer than others.
  TargetQuery urgent = TestHost::Query(1);
  urgent.priority = 0;
  CHECK(host.Choose(urgent).has_value());
}

TEST_CASE(
    "a host sends a cold target its share of the limit in any second, no "
    "more") {
  TestHost host(1, 0);
  SteeringTarget cold = Target("n0", "norte", 1000);
  cold.cold_left = seconds(5);
  host.selector.Update(cold, host.now);
  std::vector<TimePoint> sent;
  const TimePoint end = host.now + seconds(5);
  while (host.now < end) {
    if (const auto target = host.Choose(TestHost::Query(1))) {
      host.selector.OnSent(*target, 1, host.now);
      host.selector.OnAttemptEnd(*target, AttemptOutcome::kAnswered,
                                 milliseconds(1), std::nullopt, {}, host.now);
      sent.push_back(host.now);
    }
    host.now += milliseconds(5);
  }
  const double bound = (kColdRate * 1.5 + 5) / 2;
  CHECK(sent.size() > 5 * bound / 2);
  for (size_t i = 0; i < sent.size(); ++i) {
    size_t in_second = 0;
    for (size_t j = i; j < sent.size() && sent[j] - sent[i] < seconds(1); ++j) {
      ++in_second;
    }
    CHECK(in_second <= bound);
  }
}

TEST_CASE("cold targets get no requests while the number of hosts is unknown") {
  TargetSelector selector(TestHost::Options());
  const TimePoint now{std::chrono::hours(1)};
  ServingService service;
  service.id = kService;
  service.cold_rate = kColdRate;
  selector.SetServices({{kService, service}});
  SteeringTarget cold = Target("n0", "norte");
  cold.cold_left = seconds(5);
  selector.Update(cold, now);
  CHECK(std::holds_alternative<NoTarget>(
      selector.Choose(TestHost::Query(1), now)));
  selector.SetHosts(1, 0);
  CHECK(std::holds_alternative<TargetChoice>(
      selector.Choose(TestHost::Query(1), now)));
  selector.BlockColdTargetsUntil(now + seconds(1));
  CHECK(std::holds_alternative<NoTarget>(
      selector.Choose(TestHost::Query(1), now)));
}

TEST_CASE(
    "if there are more hosts than the limit, only some use a cold target") {
  constexpr uint32_t kHosts = 90;
  const TimePoint now{std::chrono::hours(1)};
  int users = 0;
  for (uint32_t rank = 0; rank < kHosts; ++rank) {
    TargetSelector selector(TestHost::Options());
    ServingService service;
    service.id = kService;
    service.cold_rate = 3.3;
    selector.SetServices({{kService, service}});
    selector.SetHosts(kHosts, rank);
    SteeringTarget cold = Target("n0", "norte");
    cold.cold_left = seconds(5);
    selector.Update(cold, now);
    users += std::holds_alternative<TargetChoice>(
                 selector.Choose(TestHost::Query(1), now))
                 ? 1
                 : 0;
  }
  CHECK(users > 0);
  CHECK(users <= 3.3 * 1.5 + 5);
}

TEST_CASE(
    "an evacuated zone gets no requests, and its targets are cold afterwards") {
  TestHost host(3, 3);
  host.selector.SetEvacuatedZones({ZoneId("norte-1")}, host.now);
  CHECK(host.Choose(TestHost::Query(1))->value()[0] == 's');
  host.selector.SetEvacuatedZones({}, host.now);
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    TargetQuery query = TestHost::Query(1);
    query.home_regions = std::vector<RegionId>{RegionId("norte")};
    if (const auto target = host.Choose(query)) {
      host.selector.OnSent(*target, 1, host.now);
      host.selector.OnAttemptEnd(*target, AttemptOutcome::kAnswered,
                                 milliseconds(1), std::nullopt, {}, host.now);
      ++chosen;
    }
  }
  // Three targets; this host has half of the limit of each.
  CHECK(chosen <= 3 * (kColdRate * 1.5 + 5) / 2);
}

TEST_CASE("requests stay in their home regions, even if these have no target") {
  TestHost host(2, 2);
  TargetQuery query = TestHost::Query(1);
  query.home_regions = std::vector<RegionId>{RegionId("sul")};
  CHECK(host.Choose(query)->value()[0] == 's');
  query.home_regions = std::vector<RegionId>{};
  CHECK(host.RejectionReason(query) == NoTargetReason::kNoTarget);
}

TEST_CASE("an unreachable target is ejected, for longer each time") {
  TestHost host(1, 0);
  const TargetId target("n0");
  Duration ejection_time{};
  for (int i = 0; i < 3; ++i) {
    host.selector.OnSent(target, 1, host.now);
    host.selector.OnAttemptEnd(target, AttemptOutcome::kUnreachable,
                               milliseconds(250), std::nullopt, {}, host.now);
    CHECK(host.RejectionReason(TestHost::Query(1)) ==
          NoTargetReason::kUnavailable);
    const TimePoint from = host.now;
    while (!host.Choose(TestHost::Query(1))) {
      host.now += milliseconds(50);
    }
    CHECK(host.now - from > ejection_time);
    ejection_time = host.now - from;
  }
}

TEST_CASE("targets that drop requests get fewer while others have capacity") {
  TestHost host(6, 0);
  const auto bad = host.Serve(7, milliseconds(70));
  for (int i = 0; i < 4; ++i) {
    host.selector.OnSent(*bad, 7, host.now);
    host.selector.OnAttemptEnd(*bad, AttemptOutcome::kLost, milliseconds(200),
                               std::nullopt, {}, host.now);
  }
  CHECK(host.Choose(TestHost::Query(7)) != bad);
  host.now += seconds(20);
  CHECK(host.Choose(TestHost::Query(7)) == bad);
}

TEST_CASE("the selector includes the load of other hosts of the region") {
  TestHost host(2, 0);
  const auto target = host.Serve(5, milliseconds(70));
  host.selector.SetRegionLoad({{HashTargetId(*target), 40}}, {}, host.now);
  CHECK(host.Choose(TestHost::Query(5)) != target);
  // The load of the others expires if no update arrives.
  host.now += seconds(3);
  CHECK(host.Choose(TestHost::Query(5)) == target);
}

TEST_CASE("a region with few slots starts with spillover to other regions") {
  // A region such as "sul": 4 of 30 targets, and a third of the callers.
  TestHost host(4, 26);
  host.selector.SetHosts(11, 0);
  host.selector.SetRegionHosts(4);
  host.selector.SetWarmUpEnd(host.now + seconds(1));
  host.selector.Tick(host.now);
  host.now += seconds(8);
  host.selector.Tick(host.now);
  CHECK(host.selector.SpilloverShare(kService) > 0.4);
  // The region must not keep more than its share of the slots. Otherwise it
  // rejects requests while objects are cold, which then moved 22 of 100
  // requests of the region to other regions within two seconds.
  CHECK(host.selector.SpilloverShare(kService) >= 1 - (4.0 / 30) / (4.0 / 11));
  int remote = 0;
  for (uint64_t object = 0; object < 200; ++object) {
    remote += host.Choose(TestHost::Query(object))->value()[0] == 's' ? 1 : 0;
  }
  CHECK(remote > 60);
  CHECK(remote < 160);
}

// Guards against counting all slots of targets that take few requests, so that
// their region keeps requests which it must then refuse.
TEST_CASE("a region whose targets name limits spills over to other regions") {
  constexpr int kLocal = 4;
  TestHost host(kLocal, 12);
  host.selector.SetLiveHosts({{RegionId("norte"), {HostId("h")}}}, host.now);
  for (uint64_t object = 0; object < 40; ++object) {
    host.Serve(object, milliseconds(70));
  }
  host.selector.OnSent(TargetId("n0"), 0, host.now);
  host.selector.Tick(host.now);
  CHECK(host.selector.SpilloverShare(kService) == 0);
  for (int i = 1; i < kLocal; ++i) {
    host.selector.OnRateLimit(TargetId("n" + std::to_string(i)), 3, host.now,
                              host.now);
  }
  host.now += milliseconds(250);
  host.selector.Tick(host.now);
  // One of four targets works in full, the others take a fraction of a slot.
  CHECK(host.selector.SpilloverShare(kService) > 0.6);
}

TEST_CASE(
    "the spilled share changes by its maximum slope unless slots are lost") {
  SpillControl control{SpillOptions()};
  TimePoint now{std::chrono::hours(1)};
  control.Update(0, 10, now);
  double before = control.share();
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(250);
    control.Update(5, 10, now);
    CHECK(control.share() - before <= 0.04 * 0.25 + 1e-9);
    before = control.share();
  }
  CHECK(before > 0.3);
  // Half of the slots are lost; the requests that they served spill over at
  // once.
  now += milliseconds(250);
  control.Update(5, 5, now);
  CHECK(control.share() > before + 0.2);
  control.Update(5, 0, now);
  CHECK(control.share() == 1);
}

// Guards against first and second attempts, hedges and probes that reach a
// target within the rest that it has asked for.
TEST_CASE("a target at rest gets neither requests nor probes") {
  TestHost host(3, 0);
  const SteeringTarget resting = Target("n1", "norte");
  CHECK(host.selector.OnRest(resting, host.now, seconds(3), host.now));
  // A response to an earlier request, and the target's row.
  host.selector.OnAttemptEnd(resting.id, AttemptOutcome::kAnswered,
                             milliseconds(20), std::nullopt, {}, host.now);
  host.selector.Update(resting, host.now);
  for (uint64_t object = 0; object < 300; ++object) {
    TargetQuery query = host.Query(object);
    const auto first = host.Choose(query);
    REQUIRE(first);
    CHECK(*first != resting.id);
    query.tried = {*first};
    const auto second = host.Choose(query);
    CHECK(second != resting.id);
  }
  for (const ProbeCandidate& candidate :
       host.selector.ProbeCandidates(host.now)) {
    CHECK(candidate.target != resting.id);
  }
  host.now += seconds(3);
  CHECK(host.selector.ProbeCandidates(host.now).size() == 3);
}

// Guards against callers that are told to return while no target may get their
// request, or that wait for one.
TEST_CASE("with all targets at rest the shortest rest is named") {
  TestHost host(2, 1);
  (void)host.selector.OnRest(Target("n0", "norte"), host.now, seconds(7),
                             host.now);
  (void)host.selector.OnRest(Target("n1", "norte"), host.now, seconds(4000),
                             host.now);
  TargetQuery query = host.Query(1);
  CHECK(host.Choose(query) == TargetId("s0"));
  CHECK(!host.selector.RestOfAll(query, host.now));
  query.home_regions = {RegionId("norte")};
  CHECK(host.RejectionReason(query) == NoTargetReason::kResting);
  CHECK(host.selector.RestOfAll(query, host.now) == seconds(7));
  // Also if they were tried before.
  query.tried = {TargetId("n0"), TargetId("n1")};
  CHECK(host.RejectionReason(query) == NoTargetReason::kResting);
  query.home_regions.reset();
  (void)host.selector.OnRest(Target("s0", "sul"), host.now, seconds(2),
                             host.now);
  CHECK(host.selector.RestOfAll(query, host.now) == seconds(2));
}

// Guards against a target that gets a few requests a second, one of which takes
// a few milliseconds longer by chance, so that it goes on to get few.
TEST_CASE("of two equal targets, one whose limit has ended gets its share") {
  for (uint64_t seed = 1; seed <= TwoTargets::kSeeds; ++seed) {
    CAPTURE(seed);
    TwoTargets targets(seed, milliseconds(1), TwoTargets::kPerSecond);
    targets.Run(seconds(2));
    targets.LimitFirst(2);
    targets.Run(seconds(8));
    targets.LimitFirst(std::nullopt);
    targets.Run(seconds(4));
    CHECK(targets.Run(seconds(1)).share() >= kMinShare);
    CHECK(targets.Run(seconds(10)).share() >= kMinShare);
  }
}

// Guards against objects that change between two targets at which they are warm
// whenever one of these has taken a little longer.
TEST_CASE("objects stay at one of two equal targets that are both warm") {
  for (uint64_t seed = 1; seed <= TwoTargets::kSeeds; ++seed) {
    CAPTURE(seed);
    TwoTargets targets(seed, milliseconds(1), TwoTargets::kPerSecond);
    targets.WarmObjectsAtBoth();
    CHECK(targets.Run(seconds(20)).moved == 0);
  }
}

// Guards against responses in the usual time, or for cold objects, that renew
// the memory of slow ones.
TEST_CASE("of two equal targets, one that was slow once gets its share again") {
  for (const bool new_objects : {false, true}) {
    for (uint64_t seed = 1; seed <= TwoTargets::kSeeds; ++seed) {
      CAPTURE(new_objects);
      CAPTURE(seed);
      TwoTargets targets(seed, milliseconds(1), TwoTargets::kPerSecond);
      targets.WarmObjectsAtBoth();
      targets.Run(seconds(2));
      targets.Run(seconds(1), milliseconds(60));
      if (new_objects) {
        targets.AddNewObjects();
      }
      targets.Run(seconds(20));
      CHECK(targets.Run(seconds(10)).share() >= kMinShare);
    }
  }
}

TEST_CASE("a target that takes twice as long gets few requests") {
  // For one host of a small and of a large deployment.
  for (const double per_second : {33, 4}) {
    for (const int service_ms : {40, 200}) {
      for (uint64_t seed = 1; seed <= TwoTargets::kSeeds; ++seed) {
        CAPTURE(per_second);
        CAPTURE(service_ms);
        CAPTURE(seed);
        TwoTargets targets(seed, milliseconds(service_ms), per_second);
        targets.WarmObjectsAtBoth();
        targets.Run(seconds(2));
        targets.WarmObjectsAtBoth();
        targets.Run(seconds(2), milliseconds(service_ms));
        CHECK(targets.Run(seconds(20), milliseconds(service_ms)).share() <=
              kMaxSlowShare);
      }
    }
  }
}

// Guards against a much slower target that gets its share of requests again
// because most of them are for objects that are new to it.
TEST_CASE("a target that takes twenty times as long gets few new objects") {
  constexpr double kColdFactor = 3.3;
  for (const uint64_t known_every : {0, 10, 5, 2}) {
    for (uint64_t seed = 1; seed <= TwoTargets::kSeeds; ++seed) {
      CAPTURE(known_every);
      CAPTURE(seed);
      TwoTargets targets(seed, milliseconds(20), TwoTargets::kPerSecond);
      targets.SetColdFactor(kColdFactor);
      targets.WarmObjectsAtBoth();
      targets.Run(seconds(2));
      targets.Run(seconds(20), milliseconds(380));
      CHECK(
          targets.RunNew(seconds(20), milliseconds(380), known_every).share() <=
          kMinShare);
    }
  }
}

// Guards against a target that gets no requests for as long as another one that
// costs the same is idle as well.
TEST_CASE("requests without object are spread over equal idle targets") {
  TestHost host(1, 0);
  std::map<TargetId, int> chosen;
  for (const char* id : {"n0", "n1", "n2"}) {
    host.selector.Update(Target(id, "norte", 8), host.now);
  }
  constexpr int kRequests = 300;
  for (int n = 0; n < kRequests; ++n) {
    TargetQuery query = TestHost::Query(0);
    query.object.reset();
    const auto target = host.Choose(query);
    REQUIRE(target.has_value());
    ++chosen[*target];
    const auto conditions =
        host.selector.OnSent(*target, std::nullopt, host.now);
    host.selector.OnAttemptEnd(*target, AttemptOutcome::kAnswered,
                               milliseconds(1), std::nullopt, conditions,
                               host.now);
    host.now += milliseconds(10);
  }
  for (const char* id : {"n0", "n1", "n2"}) {
    CHECK(chosen[TargetId(id)] >= kMinShare * kRequests);
  }
}

}  // namespace applestand
