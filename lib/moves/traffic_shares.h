#ifndef LIB_MOVES_TRAFFIC_SHARES_H_
#define LIB_MOVES_TRAFFIC_SHARES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

/// Portion of a region's traffic that another region serves.
struct RegionShare {
  RegionId region;
  uint32_t permille = 0;
};

/// Step size and interval of automatic failover. Separate from those of planned
/// moves, because with their long intervals callers would be refused for
/// minutes.
struct FailoverPolicy {
  uint32_t step_permille = 200;
  Duration step_interval = std::chrono::seconds(1);
};

/// The portion of this region's traffic that other regions serve, by service,
/// because of planned moves and of automatic failover. Each host limits the
/// rate of change by its own clock: a share changes by at most one step per
/// interval, even if the host learns of two steps together. Failover starts
/// when a service has no usable target left in the region, grows by one step
/// per interval, and decreases in the same way.
///
/// The traffic of a move that is removed from the configuration returns in
/// steps. Moves are not chained: requests that arrive here because of another
/// region's move are not moved again.
///
/// The owner calls OnConfig for each configuration that takes effect and Tick
/// about every 100 ms. The router calls the other methods.
///
/// Not thread-safe.
class TrafficShares {
 public:
  TrafficShares(RegionId local, const FailoverPolicy& policy)
      : m_local(std::move(local)), m_policy(policy) {}

  /// Sets the goals of all shares from the planned moves. The first call
  /// applies them at once, later calls in steps.
  void OnConfig(const ConfigState& config, TimePoint now);

  /// Sets whether the region has lost all capacity for a service, which starts
  /// or ends failover.
  void SetLocalCapacityLost(const ServiceId& service, bool lost, TimePoint now);

  /// Changes each share whose step is due.
  void Tick(TimePoint now);

  /// Returns the share of each region to which local traffic of the service is
  /// moved, ordered by region id. The remainder stays.
  std::vector<RegionShare> SharesOf(const ServiceId& service) const;

  /// Portion of the local traffic that may fail over to any region.
  uint32_t FailoverPermille(const ServiceId& service) const;

  /// Returns the region to which a planned move shifts one request, or an empty
  /// id if the request stays. The hash selects the requests to shift; a
  /// selected request stays if it would exceed the limit. Of any n consecutive
  /// requests, at most share * n + kCreditLimit are shifted, whatever their
  /// hashes.
  RegionId TryShift(const ServiceId& service, uint64_t request_hash);

  /// Returns whether one request may fail over, by the same rule as TryShift.
  bool TryFailOver(const ServiceId& service, uint64_t request_hash);

  /// Number of requests by which a shift may exceed its share.
  static constexpr double kCreditLimit = 8;

 private:
  /// A share in units of 1/1000 that approaches its goal by one step per
  /// interval.
  struct RateLimitedShare {
    uint32_t goal = 0;
    uint32_t current = 0;
    uint32_t step = 0;
    Duration interval = Duration::zero();
    TimePoint changed_at;
    bool changed_before = false;
    double credit = 0;

    /// Takes one step towards the goal if the interval has passed.
    void Advance(TimePoint now);
    /// Adds the credit of one request. Returns true and spends one request's
    /// credit if the request is selected and the credit suffices.
    bool TryTake(bool selected);
  };
  struct ServiceShares {
    std::map<RegionId, RateLimitedShare> moved;
    RateLimitedShare failover;
  };

  void SetGoals(const ConfigState& config);
  void AddMove(const Move& move);

  const RegionId m_local;
  const FailoverPolicy m_policy;
  bool m_configured = false;
  std::map<ServiceId, ServiceShares> m_services;
};

}  // namespace applestand

#endif  // LIB_MOVES_TRAFFIC_SHARES_H_
