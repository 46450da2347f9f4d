#ifndef LIB_HEADROOM_CAPACITY_GRANTER_H_
#define LIB_HEADROOM_CAPACITY_GRANTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "lib/headroom/messages.h"

namespace applestand {

struct CapacityGranterPolicy {
  /// Part of the slots that is reserved for local traffic, in 1/1000.
  uint32_t reserve_permille = 150;
  /// Maximum growth of the total granted slots of a service, in 1/1000 of its
  /// slots per second. Limited because requests from another region meet cold
  /// caches.
  uint32_t growth_permille_per_second = 100;
  Duration lifetime = std::chrono::seconds(1);
  /// A grant counts against the capacity for this much longer than its
  /// lifetime: the longest time that a request may take to arrive, plus the
  /// clock drift over a lifetime.
  Duration expiry_margin = std::chrono::milliseconds(500);
  /// A request uses up its sender's grant while it is on the network as well,
  /// but occupies a slot only while it runs. To keep lent slots busy, a holder
  /// may have several requests in flight per slot, depending on its round-trip
  /// time. This is the upper bound.
  double max_in_flight_per_slot = 4;
  /// Time constant of the exponential moving average of the local load that is
  /// used to compute grants.
  Duration local_load_window = std::chrono::seconds(1);
  /// Part of the link's rate that grants may use, in 1/1000.
  uint32_t link_permille = 800;
};

/// Capacity of one service on this host. A slot is the capacity to run one
/// request at a time.
struct LendableCapacity {
  /// Slots that may be in use now (PoolLoad::allowed).
  uint32_t slots = 0;
  /// Requests from this region that are running or queued.
  uint32_t local_requests = 0;
  /// Time for which a request occupies a slot (PoolLoad::service_time); 0 if
  /// unknown.
  Duration service_time = Duration::zero();
};

/// Lends the spare slots of this host to entry hosts of other regions, as
/// grants that expire.
///
/// The total granted never exceeds the slots minus the reserve minus the
/// moving average of the local load; each grant counts until it has expired
/// for certain. Admits no foreign request (one from another region) beyond its
/// sender's grant, even if the sender is late, and none while all slots are
/// taken.
///
/// The owner calls
///  - SetCapacity before each OnRequest and Admit, with values from PoolLoad:
///    `allowed` as slots, `in_flight` + `queued` - ForeignInFlight() as local
///    requests;
///  - SetLink when the hosts of the region change;
///  - Admit for each request that arrives from another region, before
///    TargetPool::Submit;
///  - Release once for each admitted request, however it ended.
///
/// Not thread-safe.
class CapacityGranter {
 public:
  CapacityGranter(HostId self, const CapacityGranterPolicy& policy)
      : m_self(std::move(self)), m_policy(policy) {}

  void SetCapacity(const ServiceId& service, const LendableCapacity& capacity);

  /// Sets the rate of the link from `region` and the number of hosts of this
  /// region that share it.
  void SetLink(const RegionId& region,
               uint64_t bytes_per_second,
               uint32_t sharing_hosts);

  /// Answers a grant request. Returns std::nullopt if it is not newer than the
  /// last request answered to its sender.
  std::optional<GrantReply> OnRequest(const GrantRequest& request,
                                      TimePoint now);

  /// Returns whether a foreign request may run here. If false, the caller must
  /// reject it immediately as not run.
  [[nodiscard]] bool Admit(const HostId& from,
                           const ServiceId& service,
                           TimePoint now);
  /// Precondition: a request of this sender and service is admitted and not
  /// yet released.
  void Release(const HostId& from, const ServiceId& service);

  /// Returns the number of admitted foreign requests that are not released.
  uint32_t ForeignInFlight(const ServiceId& service) const;
  /// Returns the slots that are committed to other regions: per holder, the
  /// unexpired grants or the slots that its requests occupy, whichever is more.
  uint32_t CommittedSlots(const ServiceId& service, TimePoint now) const;
  /// Returns the slots that can still be granted, ignoring the growth limit.
  uint32_t LendableSlots(const ServiceId& service, TimePoint now) const;

 private:
  struct Grant {
    uint32_t slots = 0;
    uint32_t max_in_flight = 0;
    uint64_t bytes_per_second = 0;
    TimePoint until;
  };
  struct Holder {
    Incarnation incarnation;
    GrantId last_id;
    RegionId region;
    // Unexpired grants, the earliest to expire first. All of them count, since
    // the holder may be using any of them.
    std::deque<Grant> grants;
    uint32_t in_flight = 0;
    // From the last grant request.
    uint32_t wanted_slots = 0;
    double in_flight_per_slot = 1;
    TimePoint requested_at;

    uint32_t GrantedSlots(TimePoint now) const;
    /// Returns how many requests of this holder may be in flight here.
    uint32_t MaxInFlight(TimePoint now) const;
    /// Returns the slots granted or the slots that the holder's requests
    /// occupy, whichever is more.
    uint32_t CommittedSlots(TimePoint now) const;
    uint64_t GrantedBytesPerSecond(TimePoint now) const;
  };
  struct Service {
    LendableCapacity capacity;
    std::map<HostId, Holder> holders;
    double average_local_requests = 0;
    double growth_tokens = 0;
    std::optional<TimePoint> updated_at;
  };
  struct Link {
    uint64_t bytes_per_second = 0;
  };

  GrantReply MakeReply(const GrantRequest& request, const Grant& grant) const;
  /// Updates the moving average of the local load and refills the token bucket
  /// that limits the growth of grants.
  void Update(Service& service, TimePoint now) const;
  double InFlightPerSlot(const Service& service, Duration round_trip) const;
  uint32_t GrantSlots(Service& service,
                      const Holder& holder,
                      uint32_t wanted,
                      TimePoint now) const;
  /// Returns the maximum slots per grant: all lendable slots, or an equal part
  /// of them while the holders together want more.
  uint32_t FairShare(const Service& service, TimePoint now) const;
  uint64_t GrantBytes(const RegionId& region,
                      const Holder& holder,
                      uint64_t wanted,
                      TimePoint now) const;
  uint32_t MaxLendableSlots(const Service& service) const;
  static uint32_t TotalCommittedSlots(const Service& service, TimePoint now);
  /// Removes expired grants, and holders without a grant or admitted request.
  static void RemoveExpired(Service& service, TimePoint now);

  const HostId m_self;
  const CapacityGranterPolicy m_policy;
  std::map<ServiceId, Service> m_services;
  std::map<RegionId, Link> m_links;
};

}  // namespace applestand

#endif  // LIB_HEADROOM_CAPACITY_GRANTER_H_
