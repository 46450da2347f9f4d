#include "lib/headroom/granter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

namespace {

constexpr uint32_t kPermille = 1000;

}  // namespace

uint32_t Granter::Holder::Slots(TimePoint now) const {
  uint32_t slots = 0;
  for (const Outstanding& grant : outstanding) {
    slots = grant.until > now ? std::max(slots, grant.slots) : slots;
  }
  return slots;
}

uint32_t Granter::Holder::Limit(TimePoint now) const {
  uint32_t limit = 0;
  for (const Outstanding& grant : outstanding) {
    limit = grant.until > now ? std::max(limit, grant.in_flight) : limit;
  }
  return limit;
}

uint32_t Granter::Holder::Held(TimePoint now) const {
  const auto taken = static_cast<uint32_t>(std::ceil(in_flight / per_slot));
  return std::max(Slots(now), taken);
}

uint64_t Granter::Holder::Bytes(TimePoint now) const {
  uint64_t bytes = 0;
  for (const Outstanding& grant : outstanding) {
    bytes = grant.until > now ? std::max(bytes, grant.bytes_per_second) : bytes;
  }
  return bytes;
}

void Granter::SetCapacity(const ServiceId& service,
                          const LendableCapacity& capacity) {
  m_services[service].capacity = capacity;
}

void Granter::SetLink(const RegionId& region,
                      uint64_t bytes_per_second,
                      uint32_t sharing_hosts) {
  const uint64_t usable = bytes_per_second * m_policy.link_permille / kPermille;
  m_links[region].bytes_per_second =
      usable / std::max<uint32_t>(sharing_hosts, 1);
}

std::optional<GrantReply> Granter::OnRequest(const GrantRequest& request,
                                             TimePoint now) {
  const auto found = m_services.find(request.service);
  if (found == m_services.end()) {
    return ReplyTo(request, Outstanding());
  }
  Service& service = found->second;
  Update(service, now);
  ForgetEnded(service, now);
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
  holder.per_slot = InFlightPerSlot(service, request.round_trip);
  holder.wanted_slots =
      static_cast<uint32_t>(std::ceil(request.slots / holder.per_slot));
  holder.asked_at = now;
  Outstanding grant;
  grant.slots = GrantSlots(service, holder, holder.wanted_slots, now);
  grant.in_flight = static_cast<uint32_t>(grant.slots * holder.per_slot);
  grant.bytes_per_second =
      GrantBytes(request.from_region, holder, request.bytes_per_second, now);
  grant.until = now + m_policy.lifetime + m_policy.margin;
  holder.outstanding.push_back(grant);
  return ReplyTo(request, grant);
}

GrantReply Granter::ReplyTo(const GrantRequest& request,
                            const Outstanding& grant) const {
  return {request.id,       request.incarnation, m_self,
          request.service,  grant.in_flight,     grant.bytes_per_second,
          m_policy.lifetime};
}

bool Granter::Admit(const HostId& from,
                    const ServiceId& service,
                    TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return false;
  }
  const LendableCapacity& capacity = found->second.capacity;
  if (capacity.local + ForeignInFlight(service) >= capacity.slots) {
    return false;
  }
  const auto holder = found->second.holders.find(from);
  if (holder == found->second.holders.end() ||
      holder->second.in_flight >= holder->second.Limit(now)) {
    return false;
  }
  ++holder->second.in_flight;
  return true;
}

void Granter::Release(const HostId& from, const ServiceId& service) {
  Holder& holder = m_services.at(service).holders.at(from);
  assert(holder.in_flight > 0 && "a release needs an admission");
  --holder.in_flight;
}

uint32_t Granter::ForeignInFlight(const ServiceId& service) const {
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

uint32_t Granter::Committed(const ServiceId& service, TimePoint now) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0 : CommittedOf(found->second, now);
}

uint32_t Granter::Lendable(const ServiceId& service, TimePoint now) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return 0;
  }
  const uint32_t lendable = LendableOf(found->second);
  const uint32_t committed = CommittedOf(found->second, now);
  return lendable > committed ? lendable - committed : 0;
}

uint32_t Granter::CommittedOf(const Service& service, TimePoint now) {
  uint32_t committed = 0;
  for (const auto& [host, holder] : service.holders) {
    committed += holder.Held(now);
  }
  return committed;
}

uint32_t Granter::LendableOf(const Service& service) const {
  const LendableCapacity& capacity = service.capacity;
  // Rounded up: a small home keeps at least one slot.
  const uint32_t reserve =
      (capacity.slots * m_policy.reserve_permille + kPermille - 1) / kPermille;
  const auto kept =
      reserve + static_cast<uint32_t>(std::ceil(service.average_local));
  return capacity.slots > kept ? capacity.slots - kept : 0;
}

void Granter::Update(Service& service, TimePoint now) const {
  const double rate = static_cast<double>(service.capacity.slots) *
                      m_policy.growth_permille_per_second / kPermille;
  const double most = std::max(rate, 1.0);
  const double local = service.capacity.local;
  if (!service.updated_at) {
    service.updated_at = now;
    service.growth_tokens = most;
    service.average_local = local;
    return;
  }
  const double elapsed = ToSeconds(now - *service.updated_at);
  service.updated_at = now;
  service.growth_tokens =
      std::min(service.growth_tokens + elapsed * rate, most);
  const double gain =
      1 - std::exp(-elapsed / ToSeconds(m_policy.local_load_window));
  service.average_local += gain * (local - service.average_local);
}

double Granter::InFlightPerSlot(const Service& service,
                                Duration round_trip) const {
  const Duration service_time = service.capacity.service_time;
  if (service_time <= Duration::zero() || round_trip <= Duration::zero()) {
    return 1;
  }
  const double per_slot = 1 + ToSeconds(round_trip) / ToSeconds(service_time);
  return std::min(per_slot, m_policy.max_in_flight_per_slot);
}

uint32_t Granter::GrantSlots(Service& service,
                             const Holder& holder,
                             uint32_t wanted,
                             TimePoint now) const {
  const uint32_t held = holder.Held(now);
  const uint32_t others = CommittedOf(service, now) - held;
  const uint32_t lendable = LendableOf(service);
  const uint32_t room = lendable > others ? lendable - others : 0;
  const uint32_t granted = std::min({wanted, room, FairPart(service, now)});
  if (granted <= held) {
    return granted;
  }
  const auto growth = std::min<uint32_t>(
      granted - held, static_cast<uint32_t>(service.growth_tokens));
  service.growth_tokens -= growth;
  return held + growth;
}

uint32_t Granter::FairPart(const Service& service, TimePoint now) const {
  uint64_t wanted = 0;
  uint32_t asking = 0;
  for (const auto& [host, holder] : service.holders) {
    if (holder.asked_at + m_policy.lifetime > now) {
      wanted += holder.wanted_slots;
      ++asking;
    }
  }
  const uint32_t lendable = LendableOf(service);
  if (wanted <= lendable || asking == 0) {
    return lendable;
  }
  return std::max<uint32_t>(lendable / asking, 1);
}

uint64_t Granter::GrantBytes(const RegionId& region,
                             const Holder& holder,
                             uint64_t wanted,
                             TimePoint now) const {
  const auto link = m_links.find(region);
  if (link == m_links.end()) {
    return 0;
  }
  uint64_t promised = 0;
  for (const auto& [id, service] : m_services) {
    for (const auto& [host, other] : service.holders) {
      if (&other != &holder && other.region == region) {
        promised += other.Bytes(now);
      }
    }
  }
  const uint64_t rate = link->second.bytes_per_second;
  return std::min(wanted, rate > promised ? rate - promised : 0);
}

void Granter::ForgetEnded(Service& service, TimePoint now) {
  for (auto at = service.holders.begin(); at != service.holders.end();) {
    Holder& holder = at->second;
    auto& outstanding = holder.outstanding;
    while (!outstanding.empty() && outstanding.front().until <= now) {
      outstanding.pop_front();
    }
    const bool ended = outstanding.empty() && holder.in_flight == 0;
    at = ended ? service.holders.erase(at) : std::next(at);
  }
}

}  // namespace applestand
