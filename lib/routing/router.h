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
  /// Requests with larger bodies leave the region only if no home host in it
  /// can take them.
  uint64_t large_body_bytes = 262'144;
  /// Local queueing delay above which a request may spill over to another
  /// region.
  Duration overflow_wait = std::chrono::milliseconds(100);
  /// The slots and queueing delays of older reports are ignored.
  Duration report_lifetime = std::chrono::seconds(2);
  /// A host that did not respond to a request is skipped for this time.
  Duration unresponsive_pause = std::chrono::seconds(1);
  /// Maximum number of home hosts tried for one request.
  size_t max_attempts = 4;
  /// Upper limit of the retry time for callers, and its value if no home host
  /// reports a queueing delay.
  Duration default_retry_after = std::chrono::seconds(1);
};

/// Inputs of a routing decision. `request_hash` must be the same for all
/// attempts of one request (for example a hash of account, method and path).
struct RouteQuery {
  ServiceId service;
  uint64_t request_hash = 0;
  uint64_t body_bytes = 0;
  /// Home hosts of earlier attempts of the same request.
  std::vector<HostId> tried = {};
  /// Set by the first call of Choose and kept for later attempts: whether a
  /// planned move shifts the request to another region, and whether it may fail
  /// over.
  bool shift_decided = false;
  RegionId shifted_to = {};
  bool may_fail_over = false;
};

/// The home host that receives the request.
struct RouteChoice {
  HostId home;
  RegionId region;
  /// The host is in another region; the attempt counts against a grant.
  bool remote = false;
};

/// No home host can take the request now. It has not been sent to a target.
struct RouteRefusal {
  Duration retry_after = Duration::zero();
  const char* reason = "";
};

/// How an attempt at a home host ended, as far as it concerns routing.
enum class AttemptEnd {
  /// The home host sent the request to a target, or may have done so.
  kAccepted,
  /// The home host refused it.
  kRefused,
  /// The home host did not respond.
  kNoResponse,
};

/// Decides which home host receives a request; the home host decides which of
/// its targets runs it. Planned moves and failover are applied first. Otherwise
/// home hosts of the own region with spare slots are preferred, this host
/// before others. A host of another region is used only under a grant, which
/// limits the requests in flight to that host and their body bytes and expires.
///
/// The owner calls SetHomes for each new home map, OnReport for each
/// CapacityReport, including this host's own, Choose for each attempt, and
/// OnAttemptEnd once for each choice. After kRefused for a request that has not
/// run, it adds the host to `query.tried` and calls Choose again.
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

  /// Records a report unless a newer one of the same host is known.
  void OnReport(const CapacityReport& report, TimePoint now);

  /// Chooses the home host for the next attempt and uses a grant if that host
  /// is in another region. Records the shift decision in `query`. Returns
  /// std::nullopt and sets `refusal` if no home host can take the request.
  [[nodiscard]] std::optional<RouteChoice> Choose(RouteQuery& query,
                                                  TimePoint now,
                                                  RouteRefusal& refusal);

  /// Records the end of an attempt. A report that arrived with the response
  /// must be passed to OnReport first.
  void OnAttemptEnd(const ServiceId& service,
                    const RouteChoice& choice,
                    AttemptEnd end,
                    TimePoint now);

  /// Estimates the spare slots of a region from its home hosts' reports.
  uint32_t SpareSlots(const ServiceId& service,
                      const RegionId& region,
                      TimePoint now) const;

 private:
  struct Reported {
    ServiceCapacity capacity;
    TimePoint at;
    // Attempts that this host sent there since the report.
    uint32_t sent = 0;
  };
  struct HostReports {
    Incarnation incarnation;
    uint64_t sequence = 0;
    TimePoint unresponsive_until;
    std::map<ServiceId, Reported> services;
  };
  /// Estimated state of one home host.
  struct Estimate {
    const ServiceHome* home = nullptr;
    uint32_t spare = 0;
    Duration wait = Duration::zero();
    // Did not respond to a recent request.
    bool unresponsive = false;
    // Responsive, and has a target that accepts requests.
    bool usable = true;
  };
  using Estimates = std::vector<Estimate>;

  static uint32_t SeedOf(const HostId& host);
  void DecideShift(RouteQuery& query, TimePoint now);
  // Whether no home host in the own region has a usable target.
  bool IsLocalCapacityLost(const ServiceId& service, TimePoint now) const;
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
  // Whether the request may spill over to another region. `best` is the best
  // local candidate.
  bool MayLeaveRegion(const RouteQuery& query, const Estimate& best) const;
  std::optional<RouteChoice> ChooseRemote(const RouteQuery& query,
                                          const RegionId& region,
                                          TimePoint now);
  std::optional<RouteChoice> ChooseAnyRemote(const RouteQuery& query,
                                             TimePoint now);
  // Records demand for a grant at one home host in the region of `estimates`,
  // drawn by spare slots.
  void RecordGrantDemand(const RouteQuery& query,
                         const Estimates& estimates,
                         TimePoint now);
  // Counts the attempt as sent and returns the choice.
  RouteChoice CommitChoice(const ServiceId& service,
                           const HostId& home,
                           const RegionId& region);
  Duration RetryAfter(const RouteQuery& query, TimePoint now) const;

  const HostId m_self;
  const RegionId m_local;
  const RouterPolicy m_policy;
  CapacityGrantHolder& m_grants;
  TrafficShares& m_shares;
  HomeMap m_homes;
  // Seeded by the host id, so that hosts draw different numbers and runs are
  // reproducible.
  std::minstd_rand m_random;
  std::map<HostId, HostReports> m_host_reports;
};

}  // namespace applestand

#endif  // LIB_ROUTING_ROUTER_H_
