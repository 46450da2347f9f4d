#ifndef LIB_MOVES_TRAFFIC_SHARES_H_
#define LIB_MOVES_TRAFFIC_SHARES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

/// Part of a region's traffic that is served by another region.
struct RegionShare {
  RegionId region;
  uint32_t permille = 0;
};

/// Cap and interval of automatic shifts. Not those of planned moves, whose
/// intervals would have callers refused for minutes.
struct FailoverPolicy {
  uint32_t step_permille = 200;
  Duration step_interval = std::chrono::seconds(1);
};

/// The part of this region's traffic that other regions serve, per service, by
/// planned moves and by automatic failover. Each host paces its shares by its
/// own clock: within any interval a share changes by one step at most, also if
/// the host learns of two steps together. Failover starts when a service has
/// no usable target left in the region, grows by one step per interval, and
/// goes back in the same way.
///
/// A move that is removed from the configuration gives its traffic back in
/// steps. Moves are not chained: what arrives here because of another region's
/// move stays.
///
/// The owner calls OnConfig for each configuration put in force and Tick about
/// every 100 ms. The router calls the rest.
///
/// Not thread-safe.
class TrafficShares {
 public:
  TrafficShares(RegionId local, const FailoverPolicy& policy)
      : m_local(std::move(local)), m_policy(policy) {}

  void OnConfig(const ConfigState& config, TimePoint now);

  /// Says whether the region has lost all capacity of a service.
  void SetLocalLost(const ServiceId& service, bool lost, TimePoint now);

  void Tick(TimePoint now);

  /// Where the local traffic of a service goes; the rest stays. By region id.
  std::vector<RegionShare> SharesOf(const ServiceId& service) const;

  /// Part of the local traffic that may fail over to any region.
  uint32_t FailoverPermille(const ServiceId& service) const;

  /// Where one request goes: an empty id if it stays. The hash selects the
  /// requests that shift; a selected one still stays where it would take the
  /// shift over its cap: of any n requests in a row at most
  /// share * n + kCreditLimit are shifted, whatever their hashes are.
  RegionId TakeShift(const ServiceId& service, uint64_t request_hash);

  /// Whether one request may fail over, by the same rule.
  bool TakeFailover(const ServiceId& service, uint64_t request_hash);

  /// Requests by which a shift may run ahead of its share.
  static constexpr double kCreditLimit = 8;

 private:
  /// A part in 1/1000 that follows its goal by one step per interval.
  struct PacedShare {
    uint32_t goal = 0;
    uint32_t current = 0;
    uint32_t step = 0;
    Duration interval = Duration::zero();
    TimePoint changed_at;
    bool changed_before = false;
    double credit = 0;

    void Advance(TimePoint now);
    /// Earns credit for one request and spends it if the request is selected.
    bool Take(bool selected);
  };
  struct ServiceShares {
    std::map<RegionId, PacedShare> moved;
    PacedShare failover;
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
