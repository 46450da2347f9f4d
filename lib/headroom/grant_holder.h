#ifndef LIB_HEADROOM_GRANT_HOLDER_H_
#define LIB_HEADROOM_GRANT_HOLDER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "lib/headroom/messages.h"

namespace applestand {

struct GrantHolderPolicy {
  /// Time between two requests to the same granter while there is demand.
  Duration renew_interval = std::chrono::milliseconds(300);
  /// Time after which an open request counts as lost.
  Duration reply_timeout = std::chrono::milliseconds(600);
  /// Assumed duration of a request, to turn unmet demand into slots.
  Duration request_duration = std::chrono::milliseconds(100);
  /// Demand that was not seen for this long is forgotten.
  Duration demand_memory = std::chrono::seconds(2);
  /// Extra slots asked for beyond the present demand.
  uint32_t slack_slots = 2;
  uint64_t least_bytes_per_second = 65'536;
};

/// The grants that this entry host holds at home hosts of other regions.
/// Nothing is sent beyond them: TrySend counts requests in flight and bytes,
/// and a grant ends by this host's clock, counted from before it was asked
/// for, hence before the granter takes it back.
///
/// The owner calls DueRequests about every 100 ms and sends each, passes
/// replies to OnReply, and calls OnDone once for each TrySend that was true.
///
/// Not thread-safe.
class GrantHolder {
 public:
  GrantHolder(HostId self,
              Incarnation incarnation,
              RegionId region,
              const GrantHolderPolicy& policy)
      : m_self(std::move(self)),
        m_incarnation(incarnation),
        m_region(std::move(region)),
        m_policy(policy) {}

  /// Notes that a request of `bytes` would have gone to the granter, so that
  /// the next request asks for it. TrySend notes by itself.
  void NoteDemand(const HostId& granter,
                  const ServiceId& service,
                  uint64_t bytes,
                  TimePoint now);

  /// Takes a slot and `bytes` of a grant. On false nothing was taken and the
  /// request must not be sent there. A body larger than the bytes at hand goes
  /// when some are left and is paid for before the next one.
  [[nodiscard]] bool TrySend(const HostId& granter,
                             const ServiceId& service,
                             uint64_t bytes,
                             TimePoint now);
  void OnDone(const HostId& granter, const ServiceId& service);

  /// Slots that could be used now.
  uint32_t Free(const HostId& granter,
                const ServiceId& service,
                TimePoint now) const;

  struct Outgoing {
    HostId to;
    GrantRequest request;
  };
  std::vector<Outgoing> DueRequests(TimePoint now);

  /// Takes a grant over. Replies that are unknown, late or doubled have no
  /// effect.
  void OnReply(const GrantReply& reply, TimePoint now);

  /// Drops what is held of a granter that is gone; requests in flight stay
  /// counted until OnDone.
  void Forget(const HostId& granter);

 private:
  struct Held {
    uint32_t slots = 0;
    uint64_t bytes_per_second = 0;
    TimePoint until;
    uint32_t in_flight = 0;
    double byte_tokens = 0;
    TimePoint bytes_at;
    // Demand since the last request.
    uint32_t unmet = 0;
    uint64_t demand_bytes = 0;
    TimePoint demand_at;
    // The open request.
    GrantId asked;
    TimePoint asked_at;
    bool open = false;
    Duration round_trip = Duration::zero();
    bool ever_asked = false;
  };
  using HeldKey = std::pair<HostId, ServiceId>;

  GrantRequest MakeRequest(const ServiceId& service, Held& held, TimePoint now);
  bool IsDue(const Held& held, TimePoint now) const;
  static void RefillBytes(Held& held, TimePoint now);

  const HostId m_self;
  const Incarnation m_incarnation;
  const RegionId m_region;
  const GrantHolderPolicy m_policy;
  std::map<HeldKey, Held> m_held;
  GrantId m_last_id;
};

}  // namespace applestand

#endif  // LIB_HEADROOM_GRANT_HOLDER_H_
