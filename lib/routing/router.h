#ifndef LIB_ROUTING_ROUTER_H_
#define LIB_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "lib/headroom/capacity_grant_holder.h"
#include "lib/moves/traffic_shares.h"
#include "lib/routing/messages.h"
#include "lib/targets/home_map.h"

namespace applestand {

struct RouterPolicy {
  /// Bodies above this size leave the region only if nothing else is left.
  uint64_t large_body_bytes = 262'144;
  /// Local wait above which a request may go to another region.
  Duration overflow_wait = std::chrono::milliseconds(100);
  /// Reports older than this say nothing on spare slots.
  Duration report_lifetime = std::chrono::seconds(2);
  /// Hosts that gave no sign of life to a request are left out for this long.
  Duration silence_pause = std::chrono::seconds(1);
  /// Home hosts that one request is offered to.
  size_t max_attempts = 4;
  /// Answer to callers where nothing better is known.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// What the decision depends on. `request_hash` is stable over the attempts of
/// one request (for example of account, method and path).
struct RouteQuery {
  ServiceId service;
  uint64_t request_hash = 0;
  uint64_t body_bytes = 0;
  /// Home hosts of earlier attempts of the same request.
  std::vector<HostId> tried = {};
  /// Taken over from the first attempt's choice.
  bool shift_decided = false;
  RegionId shifted_to = {};
  bool may_fail_over = false;
};

/// The home host that gets the request.
struct RouteChoice {
  HostId home;
  RegionId region;
  /// Counts against a grant.
  bool remote = false;
};

/// No home host can take the request now; it has not run.
struct RouteRefusal {
  Duration retry_after = Duration::zero();
  const char* reason = "";
};

/// How an attempt at a home host ended, as far as routing is concerned.
enum class AttemptEnd {
  /// The home host ran the request, or may have.
  kTaken,
  /// The home host refused it.
  kRefused,
  /// The home host did not answer.
  kSilent,
};

/// Decides which home host gets a request: a local one with spare slots first
/// (this host itself before others), following the shares that moves shift
/// away; another region only under a grant. Which target runs it is the home
/// host's decision.
///
/// The owner calls SetHomes on each new home map; OnReport for each
/// CapacityReport, own ones included; Choose for each attempt, and OnAttemptEnd
/// once for each choice. After kRefused with the verdict kNotRun it adds the
/// host to `query.tried` and calls Choose again.
///
/// Not thread-safe. `grants` and `shares` must outlive the router.
class Router {
 public:
  Router(HostId self,
         RegionId local,
         const RouterPolicy& policy,
         CapacityGrantHolder& grants,
         TrafficShares& shares)
      : m_self(std::move(self)),
        m_local(std::move(local)),
        m_policy(policy),
        m_grants(grants),
        m_shares(shares),
        m_random(SeedOf(m_self)) {}

  void SetHomes(HomeMap homes);

  void OnReport(const CapacityReport& report, TimePoint now);

  /// Chooses the home host for the next attempt and takes a grant for it where
  /// it is in another region. Records the shift decision in `query`. Without a
  /// choice, `refusal` says why.
  [[nodiscard]] std::optional<RouteChoice> Choose(RouteQuery& query,
                                                  TimePoint now,
                                                  RouteRefusal& refusal);

  /// Ends an attempt. A home host's report that came with the answer is passed
  /// to OnReport before.
  void OnAttemptEnd(const ServiceId& service,
                    const RouteChoice& choice,
                    AttemptEnd end,
                    TimePoint now);

  /// Slots of a region that its home hosts say are spare.
  uint32_t SpareOf(const ServiceId& service,
                   const RegionId& region,
                   TimePoint now) const;

 private:
  struct Reported {
    ServiceCapacity capacity;
    TimePoint at;
    // Own attempts sent since the report.
    uint32_t sent = 0;
  };
  struct Peer {
    Incarnation incarnation;
    uint64_t sequence = 0;
    TimePoint silent_until;
    std::map<ServiceId, Reported> services;
  };
  /// Estimated state of one home host.
  struct Estimate {
    const ServiceHome* home = nullptr;
    uint32_t spare = 0;
    Duration wait = Duration::zero();
    // Did not answer lately.
    bool silent = false;
    // Answers, and has a target that takes work.
    bool usable = true;
  };
  using Estimates = std::vector<Estimate>;

  static uint32_t SeedOf(const HostId& host);
  void DecideShift(RouteQuery& query, TimePoint now);
  bool LocalLost(const ServiceId& service, TimePoint now) const;
  Estimates EstimatesOf(const RouteQuery& query,
                        const RegionId& region,
                        TimePoint now) const;
  Estimate EstimateOf(const ServiceHome& home,
                      const ServiceId& service,
                      TimePoint now) const;
  const Estimate* PickLocal(const Estimates& estimates,
                            const ServiceId& service);
  const Estimate* PickBySpare(const Estimates& estimates, uint32_t spare);
  const Estimate* PickByWait(const Estimates& estimates,
                             const ServiceId& service);
  const Estimate* DrawUsable(const Estimates& estimates);
  bool MayLeave(const RouteQuery& query, const Estimate& best) const;
  std::optional<RouteChoice> ChooseRemote(const RouteQuery& query,
                                          const RegionId& region,
                                          TimePoint now);
  std::optional<RouteChoice> ChooseAnyRemote(const RouteQuery& query,
                                             TimePoint now);
  void NoteDemand(const RouteQuery& query,
                  const Estimates& estimates,
                  TimePoint now);
  RouteChoice Take(const ServiceId& service,
                   const HostId& home,
                   const RegionId& region);
  Duration RetryAfter(const RouteQuery& query, TimePoint now) const;

  const HostId m_self;
  const RegionId m_local;
  const RouterPolicy m_policy;
  CapacityGrantHolder& m_grants;
  TrafficShares& m_shares;
  HomeMap m_homes;
  // Seeded by the host, so that hosts draw differently and runs repeat.
  std::minstd_rand m_random;
  std::map<HostId, Peer> m_peers;
};

}  // namespace applestand

#endif  // LIB_ROUTING_ROUTER_H_
