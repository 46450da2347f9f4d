#include "lib/steering/target_rate_limits.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <string>

#include "lib/base/fixed_seed_check.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetId kTarget("t");
const RegionId kRegion("norte");
constexpr TimePoint kStart{std::chrono::hours(1)};

TargetRateLimits MakeLimits(const std::string& self = "h0") {
  return TargetRateLimits(TargetRateBounds(), HostId(self));
}

/// Hosts of two regions that send as many requests to one target of the first
/// region as they may. The target's responses take kResponseTime.
class Fleet {
 public:
  explicit Fleet(size_t hosts) {
    for (size_t i = 0; i < hosts; ++i) {
      Host& host = m_hosts.emplace_back();
      host.id = HostId("h" + std::to_string(i));
      Restart(i);
    }
  }

  void SetLimit(std::optional<double> requests_per_s) {
    m_limit = requests_per_s;
    m_limit_since = m_now;
  }
  /// The host's process starts again and knows no limit.
  void Restart(size_t host) {
    m_hosts[host].limits = std::make_unique<TargetRateLimits>(
        TargetRateBounds(), m_hosts[host].id);
    m_hosts[host].told.reset();
    m_hosts[host].excused_until = m_now + kContactTime;
  }
  /// Other hosts learn about 250 ms later that the host has gone or has come.
  void SetLive(size_t host, bool live) { m_hosts[host].live = live; }
  /// The host neither sends nor learns of anything until it is unfrozen.
  void SetFrozen(size_t host, bool frozen) {
    m_hosts[host].frozen = frozen;
    m_hosts[host].excused_until = m_now + kContactTime;
  }

  /// Until then each host believes that it is the only one.
  void SetIsolatedUntil(TimePoint until) { m_isolated_until = until; }

  TimePoint now() const { return m_now; }

  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kStep) {
      for (Host& host : m_hosts) {
        Step(host);
      }
    }
  }

  /// Returns the largest number of requests in any window, divided by what the
  /// bound allows, of the hosts that knew of the limit.
  double worst() const { return m_worst; }
  /// Returns the number of requests that the target has got.
  size_t arrived() const { return m_arrived; }
  size_t hosts() const { return m_hosts.size(); }

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kResponseTime = milliseconds(100);
  static constexpr Duration kHostsPeriod = milliseconds(250);
  static constexpr Duration kContactTime = std::chrono::seconds(3);
  static constexpr Duration kToldTime = milliseconds(500);
  // Without a limit, each host sends this many requests.
  static constexpr Duration kSendPeriod = milliseconds(50);

  struct Response {
    TimePoint at;
    TimePoint sent;
    std::optional<double> limit;
  };
  struct Host {
    HostId id;
    std::unique_ptr<TargetRateLimits> limits;
    std::deque<Response> responses;
    std::optional<TimePoint> told;
    TimePoint excused_until = TimePoint::min();
    TimePoint last_hosts;
    TimePoint last_sent;
    bool live = true;
    bool frozen = false;
  };

  void Step(Host& host) {
    if (!host.live || host.frozen) {
      return;
    }
    if (m_now - host.last_hosts >= kHostsPeriod) {
      host.last_hosts = m_now;
      host.limits->SetHosts(m_now < m_isolated_until
                                ? HostsByRegion{{RegionOf(host), {host.id}}}
                                : LiveHosts(),
                            m_now);
    }
    while (!host.responses.empty() && host.responses.front().at <= m_now) {
      const Response response = host.responses.front();
      host.responses.pop_front();
      host.limits->OnResponse(kTarget, kRegion, response.limit, response.sent,
                              m_now);
      if (response.limit && !host.told) {
        host.told = m_now;
      }
    }
    if (m_now - host.last_sent >= kSendPeriod &&
        host.limits->Allows(kTarget, m_now)) {
      host.last_sent = m_now;
      host.limits->OnSent(kTarget, m_now);
      host.responses.push_back({m_now + kResponseTime, m_now, m_limit});
      ++m_arrived;
      Count(host);
    }
  }

  void Count(const Host& host) {
    if (!m_limit || !host.told || m_now - *host.told < kToldTime ||
        m_now < host.excused_until || m_now - m_limit_since < kContactTime) {
      return;
    }
    const TargetRateBounds bounds;
    m_arrivals.push_back(m_now);
    while (m_now - m_arrivals.front() >= bounds.window ||
           m_arrivals.front() < m_limit_since + kContactTime) {
      m_arrivals.pop_front();
    }
    const double allowed =
        *m_limit * ToSeconds(bounds.window) * (1 + bounds.excess) +
        bounds.slack;
    m_worst =
        std::max(m_worst, static_cast<double>(m_arrivals.size()) / allowed);
  }

  HostsByRegion LiveHosts() const {
    HostsByRegion out;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_hosts[i].live && !m_hosts[i].frozen) {
        out[RegionOf(m_hosts[i])].push_back(m_hosts[i].id);
      }
    }
    return out;
  }

  RegionId RegionOf(const Host& host) const {
    const auto index = std::stoi(host.id.value().substr(1));
    return index % 2 == 0 ? kRegion : RegionId("sul");
  }

  TimePoint m_now = kStart;
  TimePoint m_isolated_until = TimePoint::min();
  std::deque<Host> m_hosts;
  std::optional<double> m_limit;
  TimePoint m_limit_since = kStart;
  std::deque<TimePoint> m_arrivals;
  size_t m_arrived = 0;
  double m_worst = 0;
};

}  // namespace

TEST_CASE("a target names a limit, changes it and ends it") {
  TargetRateLimits limits = MakeLimits();
  CHECK(!limits.OnResponse(kTarget, kRegion, std::nullopt, kStart, kStart));
  auto change = limits.OnResponse(kTarget, kRegion, 8, kStart, kStart);
  REQUIRE(change.has_value());
  CHECK(!change->before);
  CHECK(change->after == 8);
  CHECK(!limits.OnResponse(kTarget, kRegion, 8, kStart, kStart));
  change = limits.OnResponse(kTarget, kRegion, 3.5, kStart, kStart);
  REQUIRE(change.has_value());
  CHECK(change->before == 8);
  CHECK(change->after == 3.5);
  CHECK(limits.size() == 1);
  change =
      limits.OnResponse(kTarget, kRegion, std::nullopt,
                        kStart + milliseconds(1), kStart + milliseconds(2));
  REQUIRE(change.has_value());
  CHECK(change->before == 3.5);
  CHECK(!change->after);
  CHECK(limits.size() == 0);
}

// Guards against a late response from before the limit ending it.
TEST_CASE("a response to a request sent before the limit was named ends none") {
  TargetRateLimits limits = MakeLimits();
  limits.OnResponse(kTarget, kRegion, 8, kStart, kStart + milliseconds(10));
  CHECK(!limits.OnResponse(kTarget, kRegion, std::nullopt,
                           kStart + milliseconds(9),
                           kStart + milliseconds(500)));
  CHECK(limits.OnResponse(kTarget, kRegion, std::nullopt,
                          kStart + milliseconds(10),
                          kStart + milliseconds(500)));
}

TEST_CASE("hosts under full load share limits of any size") {
  for (const size_t hosts : {1, 4, 11, 60}) {
    for (const double limit : {0.0, 0.4, 2.0, 7.0, 40.0}) {
      CAPTURE(hosts);
      CAPTURE(limit);
      Fleet fleet(hosts);
      fleet.Run(seconds(1));
      fleet.SetLimit(limit);
      fleet.Run(seconds(5));
      const size_t before = fleet.arrived();
      fleet.Run(seconds(60));
      CHECK(fleet.worst() <= 1);
      // The hosts offer 20 requests/s each; what the target takes is used.
      const size_t hosts_in_region = (hosts + 1) / 2;
      const double offered = 20.0 * static_cast<double>(hosts_in_region);
      const double per_s = static_cast<double>(fleet.arrived() - before) / 60;
      CHECK(per_s >= 0.9 * std::min(limit, offered));
      CHECK(per_s <= limit * 1.1 + 1);
    }
  }
}

// Guards against dead hosts keeping their parts of a limit.
TEST_CASE("the remaining hosts use the parts of hosts that have gone") {
  constexpr double kLimit = 10;
  Fleet fleet(8);
  fleet.SetLimit(kLimit);
  fleet.Run(seconds(10));
  // All hosts of the target's region but one, then this one too.
  for (const size_t host : {0, 2, 4}) {
    fleet.SetLive(host, false);
  }
  for (int i = 0; i < 2; ++i) {
    fleet.Run(seconds(6));
    const size_t before = fleet.arrived();
    fleet.Run(seconds(10));
    CHECK(static_cast<double>(fleet.arrived() - before) >= 0.8 * kLimit * 10);
    fleet.SetLive(6, false);
  }
  CHECK(fleet.worst() <= 1);
}

// Guards against each host using the whole limit while it changes the host that
// tells it of the others.
TEST_CASE("hosts that lose sight of each other for a moment keep their parts") {
  Fleet fleet(8);
  fleet.SetLimit(10);
  fleet.Run(seconds(10));
  for (int i = 0; i < 5; ++i) {
    fleet.SetIsolatedUntil(fleet.now() + seconds(3));
    fleet.Run(seconds(8));
  }
  CHECK(fleet.worst() <= 1);
}

TEST_CASE("all hosts learn that a limit has ended") {
  Fleet fleet(8);
  fleet.SetLimit(4);
  fleet.Run(seconds(10));
  fleet.SetLimit(std::nullopt);
  fleet.Run(seconds(30));
  const size_t before = fleet.arrived();
  fleet.Run(seconds(1));
  CHECK(fleet.arrived() - before >= 8 * 19);
}

TEST_CASE("a target that comes back keeps its limit unless it has restarted") {
  TargetRateLimits limits = MakeLimits();
  limits.SetHosts({{kRegion, {HostId("h0")}}}, kStart);
  limits.OnResponse(kTarget, kRegion, 0.0, kStart, kStart);
  limits.OnRemoved(kTarget, kStart);
  CHECK(!limits.Allows(kTarget, kStart + seconds(2)));
  limits.OnRestarted(kTarget);
  CHECK(limits.Allows(kTarget, kStart + seconds(2)));
  limits.OnResponse(kTarget, kRegion, 0.0, kStart, kStart);
  limits.OnRemoved(kTarget, kStart);
  limits.SetHosts({{kRegion, {HostId("h0")}}}, kStart + seconds(60));
  CHECK(limits.size() == 0);
}

TEST_CASE("fuzz: limits hold while they change and hosts come, go and freeze") {
  constexpr uint64_t kSeed = 20261204;
  CHECK(FixedSeedCheck(kSeed, 300, 60,
                       [](const std::vector<unsigned char>& steps) {
                         Fleet fleet(9);
                         for (size_t i = 0; i + 1 < steps.size(); i += 2) {
                           const size_t host = steps[i + 1] % fleet.hosts();
                           switch (steps[i] % 6) {
                             case 0:
                               fleet.SetLimit(steps[i + 1] / 8.0);
                               break;
                             case 1:
                               fleet.SetLimit(std::nullopt);
                               break;
                             case 2:
                               fleet.SetLive(host, false);
                               break;
                             case 3:
                               fleet.Restart(host);
                               fleet.SetLive(host, true);
                               break;
                             case 4:
                               fleet.SetFrozen(host, steps[i + 1] % 2 == 0);
                               break;
                             default:
                               break;
                           }
                           fleet.Run(milliseconds(150 * (steps[i + 1] % 32)));
                         }
                         RC_ASSERT(fleet.worst() <= 1);
                       }));
}

}  // namespace applestand
