#ifndef LIB_STEERING_TARGET_RATE_LIMITS_H_
#define LIB_STEERING_TARGET_RATE_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Bound on the requests to a target that names a limit, in any window and over
/// all hosts: what the limit allows in the window x (1 + excess) + slack.
struct TargetRateBounds {
  Duration window = std::chrono::seconds(4);
  double excess = 0.5;
  double slack = 5;
};

/// The live hosts of each region, including this host unless it is leaving.
/// Sorted by id.
using HostsByRegion = std::map<RegionId, std::vector<HostId>>;

/// Keeps this host's part of the limits that overloaded targets name in their
/// responses: the requests per second that a target takes from all hosts
/// together, until it names another limit or none.
///
/// The hosts of the target's region divide its limit among them. If it is too
/// small for that, some of them do, and if the region has no live host, those
/// of all regions. All other hosts send it only a rare probe, to learn when the
/// limit ends.
///
/// Does no I/O and reads no clock. Not thread-safe.
class TargetRateLimits {
 public:
  TargetRateLimits(const TargetRateBounds& bounds, HostId self)
      : m_bounds(bounds), m_self(std::move(self)) {}

  /// The limit of a target in requests per second, before and after a response;
  /// std::nullopt means none.
  struct Change {
    std::optional<double> before;
    std::optional<double> after;
  };

  /// Called when a target of `region` has responded to a request that was sent
  /// at `sent`, with the limit that the response names, if any. A response
  /// without limit has no effect if the target may have sent it before it named
  /// its limit. Returns the change, or std::nullopt if there is none.
  /// Precondition: `requests_per_s` is not negative.
  std::optional<Change> OnResponse(const TargetId& target,
                                   const RegionId& region,
                                   std::optional<double> requests_per_s,
                                   TimePoint sent,
                                   TimePoint now);
  /// Called when the target has restarted, so that it has named no limit yet.
  void OnRestarted(const TargetId& target) { m_limits.erase(target); }
  /// Called when the target is no longer known. It may come back with the limit
  /// that it had.
  void OnRemoved(const TargetId& target, TimePoint now);
  /// Sets the hosts among which limits are divided. Must be called several
  /// times a second. Until the first call limited targets get probes only.
  void SetHosts(const HostsByRegion& hosts, TimePoint now);

  /// Returns the target's limit in requests per second, over all hosts, or
  /// std::nullopt if it has none.
  std::optional<double> RequestsPerSecond(const TargetId& target) const;
  /// Returns whether a request may be sent to the target now.
  [[nodiscard]] bool Allows(const TargetId& target, TimePoint now);
  /// Called when a request is sent to the target.
  void OnSent(const TargetId& target, TimePoint now);

  /// Returns the number of targets with a limit.
  size_t size() const { return m_limits.size(); }

 private:
  struct Limit {
    RegionId region;
    double requests_per_s = 0;
    // When the latest response that names a limit was received.
    TimePoint named_at;
    // Set while the target is not known.
    std::optional<TimePoint> removed_at;
    // Requests that may be sent, as of filled_at.
    double tokens = 0;
    TimePoint filled_at;
    // Earliest time of the next request if this host has no part of the limit.
    TimePoint next_probe_at;
  };
  // Hosts that divide limits. Does not shrink at once, because a host that
  // seems to have gone may still send requests, and the others may not agree.
  struct Sharers {
    size_t count = 0;
    TimePoint count_seen_at;
    // Rank of this host among them by id, if it is one of them.
    std::optional<size_t> own_rank;

    void Update(size_t live, std::optional<size_t> rank, TimePoint now);
  };
  // This host's part of one limit.
  struct Part {
    double requests_per_s = 0;
    // Requests that may be sent at once.
    double burst = 0;
  };

  // Returns std::nullopt if this host has no part of the limit.
  std::optional<Part> ComputePart(const TargetId& target,
                                  const Limit& limit) const;
  Duration ProbePeriod() const;
  void Fill(Limit& limit, const Part& part, TimePoint now) const;

  const TargetRateBounds m_bounds;
  const HostId m_self;
  std::map<TargetId, Limit> m_limits;
  std::map<RegionId, Sharers> m_by_region;
  Sharers m_all;
};

}  // namespace applestand

#endif  // LIB_STEERING_TARGET_RATE_LIMITS_H_
