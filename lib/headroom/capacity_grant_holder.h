#ifndef LIB_HEADROOM_CAPACITY_GRANT_HOLDER_H_
#define LIB_HEADROOM_CAPACITY_GRANT_HOLDER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "lib/headroom/messages.h"

namespace applestand {

struct CapacityGrantHolderPolicy {
  /// Time between two grant requests to the same granter while there is demand.
  Duration renew_interval = std::chrono::milliseconds(300);
  /// Time after which an unanswered grant request counts as lost.
  Duration reply_timeout = std::chrono::milliseconds(600);
  /// Assumed duration of a request, used to convert unmet demand into a number
  /// of concurrent requests.
  Duration request_duration = std::chrono::milliseconds(100);
  /// Time after the last demand for which grants are still renewed.
  Duration demand_retention = std::chrono::seconds(2);
  /// Number of concurrent requests asked for in excess of the current demand.
  uint32_t slack_slots = 2;
  uint64_t min_bytes_per_second = 65'536;
};

/// The grants that this entry host holds at hosts of other regions
/// (CapacityGranter), per granter and service.
///
/// No request is sent in excess of a grant: TryAcquire counts the requests in
/// flight and the bytes. A grant expires by this host's clock, its lifetime
/// counted from before the grant request was sent, and therefore before the
/// granter reclaims it.
///
/// The owner calls DueRequests about every 100 ms and sends each returned
/// request, passes the replies to OnReply, and calls Release once for each
/// TryAcquire that returned true.
///
/// Not thread-safe.
class CapacityGrantHolder {
 public:
  CapacityGrantHolder(HostId self,
                      Incarnation incarnation,
                      RegionId region,
                      const CapacityGrantHolderPolicy& policy)
      : m_self(std::move(self)),
        m_incarnation(incarnation),
        m_region(std::move(region)),
        m_policy(policy) {}

  /// Records that a request of `bytes` would have been sent to the granter, so
  /// that the next grant request asks for capacity for it. TryAcquire calls
  /// this itself if it fails.
  void RecordDemand(const HostId& granter,
                    const ServiceId& service,
                    uint64_t bytes,
                    TimePoint now);

  /// Takes one request in flight and `bytes` from a grant. If false, nothing
  /// was taken and the request must not be sent to the granter. A body larger
  /// than the remaining bytes may be sent if any are left; the balance then
  /// becomes negative and must recover before the next request is sent.
  [[nodiscard]] bool TryAcquire(const HostId& granter,
                                const ServiceId& service,
                                uint64_t bytes,
                                TimePoint now);
  /// Precondition: a successful TryAcquire that is not yet released.
  void Release(const HostId& granter, const ServiceId& service);

  /// Returns how many more requests the grant allows in flight now.
  uint32_t FreeSlots(const HostId& granter,
                     const ServiceId& service,
                     TimePoint now) const;

  struct Outgoing {
    HostId to;
    GrantRequest request;
  };
  std::vector<Outgoing> DueRequests(TimePoint now);

  /// Replaces the grant that the reply is for. Ignores replies that are
  /// unexpected, expired or duplicate.
  void OnReply(const GrantReply& reply, TimePoint now);

  /// Discards the grants of a granter that is gone. Requests in flight are
  /// counted until Release.
  void RemoveGranter(const HostId& granter);

 private:
  struct Grant {
    uint32_t max_in_flight = 0;
    uint64_t bytes_per_second = 0;
    TimePoint until;
    uint32_t in_flight = 0;
    double byte_tokens = 0;
    TimePoint refilled_at;
    // Demand since the last grant request.
    uint32_t unmet_requests = 0;
    uint64_t demand_bytes = 0;
    TimePoint demand_at;
    // The last grant request; `reply_pending` while it is unanswered.
    GrantId request_id;
    TimePoint requested_at;
    bool reply_pending = false;
    Duration round_trip = Duration::zero();
    bool ever_requested = false;
  };
  using GrantKey = std::pair<HostId, ServiceId>;

  GrantRequest MakeRequest(const ServiceId& service,
                           Grant& grant,
                           TimePoint now);
  bool IsDue(const Grant& grant, TimePoint now) const;
  static void RefillBytes(Grant& grant, TimePoint now);

  const HostId m_self;
  const Incarnation m_incarnation;
  const RegionId m_region;
  const CapacityGrantHolderPolicy m_policy;
  std::map<GrantKey, Grant> m_grants;
  GrantId m_last_id;
};

}  // namespace applestand

#endif  // LIB_HEADROOM_CAPACITY_GRANT_HOLDER_H_
