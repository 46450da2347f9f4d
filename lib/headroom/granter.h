#ifndef LIB_HEADROOM_GRANTER_H_
#define LIB_HEADROOM_GRANTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "lib/headroom/messages.h"

namespace applestand {

struct GranterPolicy {
  /// Part of the slots that stays free for local traffic, in 1/1000.
  uint32_t reserve_permille = 150;
  /// Growth of all grants of a service together, in 1/1000 of its slots per
  /// second: requests from another region meet cold caches.
  uint32_t growth_permille_per_second = 100;
  Duration lifetime = std::chrono::seconds(1);
  /// Longest time a request may travel, plus the clocks' drift over a
  /// lifetime. A grant counts as outstanding for this much longer.
  Duration margin = std::chrono::milliseconds(500);
  /// A request holds its place in a grant while it travels, too, but a slot
  /// only while it runs. So that lent slots are used, a holder may have this
  /// many requests in flight per slot at most, by its round-trip time.
  double max_in_flight_per_slot = 4;
  /// Time constant of the average that stands for the local load in grants.
  Duration local_load_window = std::chrono::seconds(1);
  /// Part of the link's rate that grants may use, in 1/1000.
  uint32_t link_permille = 800;
};

/// What this host can lend of one service.
struct LendableCapacity {
  /// Slots that may be in use now (PoolLoad::allowed).
  uint32_t slots = 0;
  /// Requests of this region that run or wait.
  uint32_t local = 0;
  /// Time that a request holds a slot (PoolLoad::service_time); 0 if unknown.
  Duration service_time = Duration::zero();
};

/// Lends the spare slots of one home host to entry hosts of other regions.
/// Never grants in total more than the slots less the reserve less the local
/// load, averaged over a second, counting each grant until it has surely ended.
/// Admits no foreign request beyond its sender's grant, also if the sender is
/// late, and none while the slots are taken at that moment.
///
/// The owner calls SetCapacity before each OnRequest and Admit (from PoolLoad:
/// `allowed` slots; in_flight + queued less ForeignInFlight as local load),
/// SetLink when the region's hosts change, Admit for each request that arrives
/// from another region, before TargetPool::Submit, and Release when an
/// admitted one has ended in any way.
///
/// Not thread-safe.
class Granter {
 public:
  Granter(HostId self, const GranterPolicy& policy)
      : m_self(std::move(self)), m_policy(policy) {}

  void SetCapacity(const ServiceId& service, const LendableCapacity& capacity);

  /// Sets the rate of the link from `region` and the number of hosts of this
  /// region that share it.
  void SetLink(const RegionId& region,
               uint64_t bytes_per_second,
               uint32_t sharing_hosts);

  /// Answers a request; nothing where it is older than one already answered.
  std::optional<GrantReply> OnRequest(const GrantRequest& request,
                                      TimePoint now);

  /// Whether a foreign request may run here. On false the caller refuses it
  /// at once as not run.
  [[nodiscard]] bool Admit(const HostId& from,
                           const ServiceId& service,
                           TimePoint now);
  /// Precondition: an admission of this sender and service is open.
  void Release(const HostId& from, const ServiceId& service);

  /// Foreign requests that run here.
  uint32_t ForeignInFlight(const ServiceId& service) const;
  /// Slots that are promised: outstanding grants, or what runs if more.
  uint32_t Committed(const ServiceId& service, TimePoint now) const;
  /// Slots that may still be granted, the growth limit aside.
  uint32_t Lendable(const ServiceId& service, TimePoint now) const;

 private:
  struct Outstanding {
    uint32_t slots = 0;
    uint32_t in_flight = 0;
    uint64_t bytes_per_second = 0;
    TimePoint until;
  };
  struct Holder {
    Incarnation incarnation;
    GrantId last_id;
    RegionId region;
    // By end; all count until they end, since the holder may use any of them.
    std::deque<Outstanding> outstanding;
    uint32_t in_flight = 0;
    // The last request.
    uint32_t wanted_slots = 0;
    double per_slot = 1;
    TimePoint asked_at;

    uint32_t Slots(TimePoint now) const;
    /// Requests that may be in flight here.
    uint32_t Limit(TimePoint now) const;
    /// Slots granted, or what its requests take where that is more.
    uint32_t Held(TimePoint now) const;
    uint64_t Bytes(TimePoint now) const;
  };
  struct Service {
    LendableCapacity capacity;
    std::map<HostId, Holder> holders;
    double average_local = 0;
    double growth_tokens = 0;
    std::optional<TimePoint> updated_at;
  };
  struct Link {
    uint64_t bytes_per_second = 0;
  };

  GrantReply ReplyTo(const GrantRequest& request,
                     const Outstanding& grant) const;
  void Update(Service& service, TimePoint now) const;
  double InFlightPerSlot(const Service& service, Duration round_trip) const;
  uint32_t GrantSlots(Service& service,
                      const Holder& holder,
                      uint32_t wanted,
                      TimePoint now) const;
  /// Largest grant while the holders ask for more than there is.
  uint32_t FairPart(const Service& service, TimePoint now) const;
  uint64_t GrantBytes(const RegionId& region,
                      const Holder& holder,
                      uint64_t wanted,
                      TimePoint now) const;
  uint32_t LendableOf(const Service& service) const;
  static uint32_t CommittedOf(const Service& service, TimePoint now);
  static void ForgetEnded(Service& service, TimePoint now);

  const HostId m_self;
  const GranterPolicy m_policy;
  std::map<ServiceId, Service> m_services;
  std::map<RegionId, Link> m_links;
};

}  // namespace applestand

#endif  // LIB_HEADROOM_GRANTER_H_
