#include "lib/headroom/capacity_granter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

namespace {

constexpr uint32_t kPermille = 1000;

}  // namespace

uint32_t CapacityGranter::Holder::GrantedSlots(TimePoint now) const {
  uint32_t slots = 0;
  for (const Grant& grant : grants) {
    slots = grant.until > now ? std::max(slots, grant.slots) : slots;
  }
  return slots;
}

uint32_t CapacityGranter::Holder::MaxInFlight(TimePoint now) const {
  uint32_t max_in_flight = 0;
  for (const Grant& grant : grants) {
    max_in_flight = grant.until > now
                        ? std::max(max_in_flight, grant.max_in_flight)
                        : max_in_flight;
  }
  return max_in_flight;
}

uint32_t CapacityGranter::Holder::CommittedSlots(TimePoint now) const {
  const auto occupied =
      static_cast<uint32_t>(std::ceil(in_flight / in_flight_per_slot));
  return std::max(GrantedSlots(now), occupied);
}

uint64_t CapacityGranter::Holder::GrantedBytesPerSecond(TimePoint now) const {
  uint64_t bytes = 0;
  for (const Grant& grant : grants) {
    bytes = grant.until > now ? std::max(bytes, grant.bytes_per_second) : bytes;
  }
  return bytes;
}

void CapacityGranter::SetCapacity(const ServiceId& service,
                                  const LendableCapacity& capacity) {
  m_services[service].capacity = capacity;
}

void CapacityGranter::SetLink(const RegionId& region,
                              uint64_t bytes_per_second,
                              uint32_t sharing_hosts) {
  const uint64_t usable = bytes_per_second * m_policy.link_permille / kPermille;
  m_links[region].bytes_per_second =
      usable / std::max<uint32_t>(sharing_hosts, 1);
}

std::optional<GrantReply> CapacityGranter::OnRequest(
    const GrantRequest& request,
    TimePoint now) {
  const auto found = m_services.find(request.service);
  if (found == m_services.end()) {
    return MakeReply(request, Grant());
  }
  Service& service = found->second;
  Update(service, now);
  RemoveExpired(service, now);
  Holder& holder = service.holders[request.from];
  const bool is_new = holder.incarnation < request.incarnation ||
                      (holder.incarnation == request.incarnation &&
                       holder.last_id < request.id);
  if (!is_new) {
    return std::nullopt;
  }
  holder.incarnation = request.incarnation;
  holder.last_id = request.id;
  holder.region = request.from_region;
  holder.in_flight_per_slot = InFlightPerSlot(service, request.round_trip);
  holder.wanted_slots = static_cast<uint32_t>(
      std::ceil(request.wanted_in_flight / holder.in_flight_per_slot));
  holder.requested_at = now;
  Grant grant;
  grant.slots = GrantSlots(service, holder, holder.wanted_slots, now);
  grant.max_in_flight =
      static_cast<uint32_t>(grant.slots * holder.in_flight_per_slot);
  grant.bytes_per_second =
      GrantBytes(request.from_region, holder, request.bytes_per_second, now);
  grant.until = now + m_policy.lifetime + m_policy.expiry_margin;
  holder.grants.push_back(grant);
  return MakeReply(request, grant);
}

GrantReply CapacityGranter::MakeReply(const GrantRequest& request,
                                      const Grant& grant) const {
  return {request.id,       request.incarnation, m_self,
          request.service,  grant.max_in_flight, grant.bytes_per_second,
          m_policy.lifetime};
}

bool CapacityGranter::Admit(const HostId& from,
                            const ServiceId& service,
                            TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return false;
  }
  const LendableCapacity& capacity = found->second.capacity;
  if (capacity.local_requests + ForeignInFlight(service) >= capacity.slots) {
    return false;
  }
  const auto holder = found->second.holders.find(from);
  if (holder == found->second.holders.end() ||
      holder->second.in_flight >= holder->second.MaxInFlight(now)) {
    return false;
  }
  ++holder->second.in_flight;
  return true;
}

void CapacityGranter::Release(const HostId& from, const ServiceId& service) {
  Holder& holder = m_services.at(service).holders.at(from);
  assert(holder.in_flight > 0 && "Release without a matching Admit");
  --holder.in_flight;
}

uint32_t CapacityGranter::ForeignInFlight(const ServiceId& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return 0;
  }
  uint32_t in_flight = 0;
  for (const auto& [host, holder] : found->second.holders) {
    in_flight += holder.in_flight;
  }
  return in_flight;
}

uint32_t CapacityGranter::CommittedSlots(const ServiceId& service,
                                         TimePoint now) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0
                                   : TotalCommittedSlots(found->second, now);
}

uint32_t CapacityGranter::LendableSlots(const ServiceId& service,
                                        TimePoint now) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return 0;
  }
  const uint32_t lendable = MaxLendableSlots(found->second);
  const uint32_t committed = TotalCommittedSlots(found->second, now);
  return lendable > committed ? lendable - committed : 0;
}

uint32_t CapacityGranter::TotalCommittedSlots(const Service& service,
                                              TimePoint now) {
  uint32_t committed = 0;
  for (const auto& [host, holder] : service.holders) {
    committed += holder.CommittedSlots(now);
  }
  return committed;
}

uint32_t CapacityGranter::MaxLendableSlots(const Service& service) const {
  const LendableCapacity& capacity = service.capacity;
  // Rounded up, so that a host with few slots reserves at least one.
  const uint32_t reserve =
      (capacity.slots * m_policy.reserve_permille + kPermille - 1) / kPermille;
  const auto not_lendable =
      reserve +
      static_cast<uint32_t>(std::ceil(service.average_local_requests));
  return capacity.slots > not_lendable ? capacity.slots - not_lendable : 0;
}

void CapacityGranter::Update(Service& service, TimePoint now) const {
  const double tokens_per_second = static_cast<double>(service.capacity.slots) *
                                   m_policy.growth_permille_per_second /
                                   kPermille;
  const double max_tokens = std::max(tokens_per_second, 1.0);
  const double local = service.capacity.local_requests;
  if (!service.updated_at) {
    service.updated_at = now;
    service.growth_tokens = max_tokens;
    service.average_local_requests = local;
    return;
  }
  const double elapsed = ToSeconds(now - *service.updated_at);
  service.updated_at = now;
  service.growth_tokens =
      std::min(service.growth_tokens + elapsed * tokens_per_second, max_tokens);
  const double gain =
      1 - std::exp(-elapsed / ToSeconds(m_policy.local_load_window));
  service.average_local_requests +=
      gain * (local - service.average_local_requests);
}

double CapacityGranter::InFlightPerSlot(const Service& service,
                                        Duration round_trip) const {
  const Duration service_time = service.capacity.service_time;
  if (service_time <= Duration::zero() || round_trip <= Duration::zero()) {
    return 1;
  }
  const double per_slot = 1 + ToSeconds(round_trip) / ToSeconds(service_time);
  return std::min(per_slot, m_policy.max_in_flight_per_slot);
}

uint32_t CapacityGranter::GrantSlots(Service& service,
                                     const Holder& holder,
                                     uint32_t wanted,
                                     TimePoint now) const {
  const uint32_t committed = holder.CommittedSlots(now);
  const uint32_t committed_to_others =
      TotalCommittedSlots(service, now) - committed;
  const uint32_t lendable = MaxLendableSlots(service);
  const uint32_t available =
      lendable > committed_to_others ? lendable - committed_to_others : 0;
  const uint32_t granted =
      std::min({wanted, available, FairShare(service, now)});
  if (granted <= committed) {
    return granted;
  }
  const auto growth = std::min<uint32_t>(
      granted - committed, static_cast<uint32_t>(service.growth_tokens));
  service.growth_tokens -= growth;
  return committed + growth;
}

uint32_t CapacityGranter::FairShare(const Service& service,
                                    TimePoint now) const {
  uint64_t wanted = 0;
  uint32_t requesting_holders = 0;
  for (const auto& [host, holder] : service.holders) {
    if (holder.requested_at + m_policy.lifetime > now) {
      wanted += holder.wanted_slots;
      ++requesting_holders;
    }
  }
  const uint32_t lendable = MaxLendableSlots(service);
  if (wanted <= lendable || requesting_holders == 0) {
    return lendable;
  }
  return std::max<uint32_t>(lendable / requesting_holders, 1);
}

uint64_t CapacityGranter::GrantBytes(const RegionId& region,
                                     const Holder& holder,
                                     uint64_t wanted,
                                     TimePoint now) const {
  const auto link = m_links.find(region);
  if (link == m_links.end()) {
    return 0;
  }
  uint64_t granted_to_others = 0;
  for (const auto& [id, service] : m_services) {
    for (const auto& [host, other] : service.holders) {
      if (&other != &holder && other.region == region) {
        granted_to_others += other.GrantedBytesPerSecond(now);
      }
    }
  }
  const uint64_t rate = link->second.bytes_per_second;
  return std::min(wanted,
                  rate > granted_to_others ? rate - granted_to_others : 0);
}

void CapacityGranter::RemoveExpired(Service& service, TimePoint now) {
  for (auto at = service.holders.begin(); at != service.holders.end();) {
    Holder& holder = at->second;
    auto& grants = holder.grants;
    while (!grants.empty() && grants.front().until <= now) {
      grants.pop_front();
    }
    const bool unused = grants.empty() && holder.in_flight == 0;
    at = unused ? service.holders.erase(at) : std::next(at);
  }
}

}  // namespace applestand
