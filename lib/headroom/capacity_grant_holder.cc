#include "lib/headroom/capacity_grant_holder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

void CapacityGrantHolder::RecordDemand(const HostId& granter,
                                       const ServiceId& service,
                                       uint64_t bytes,
                                       TimePoint now) {
  Grant& grant = m_grants[{granter, service}];
  ++grant.unmet_requests;
  grant.demand_bytes += bytes;
  grant.demand_at = now;
}

bool CapacityGrantHolder::TryAcquire(const HostId& granter,
                                     const ServiceId& service,
                                     uint64_t bytes,
                                     TimePoint now) {
  Grant& grant = m_grants[{granter, service}];
  RefillBytes(grant, now);
  const bool allowed = grant.until > now &&
                       grant.in_flight < grant.max_in_flight &&
                       grant.byte_tokens > 0;
  if (!allowed) {
    RecordDemand(granter, service, bytes, now);
    return false;
  }
  grant.byte_tokens -= static_cast<double>(bytes);
  grant.demand_bytes += bytes;
  grant.demand_at = now;
  ++grant.in_flight;
  return true;
}

void CapacityGrantHolder::Release(const HostId& granter,
                                  const ServiceId& service) {
  Grant& grant = m_grants.at({granter, service});
  assert(grant.in_flight > 0 && "Release without a matching TryAcquire");
  --grant.in_flight;
}

uint32_t CapacityGrantHolder::FreeSlots(const HostId& granter,
                                        const ServiceId& service,
                                        TimePoint now) const {
  const auto found = m_grants.find({granter, service});
  if (found == m_grants.end()) {
    return 0;
  }
  const Grant& grant = found->second;
  const bool usable =
      grant.until > now && grant.in_flight < grant.max_in_flight;
  return usable ? grant.max_in_flight - grant.in_flight : 0;
}

std::vector<CapacityGrantHolder::Outgoing> CapacityGrantHolder::DueRequests(
    TimePoint now) {
  std::vector<Outgoing> due;
  for (auto at = m_grants.begin(); at != m_grants.end();) {
    auto& [key, grant] = *at;
    const bool has_demand = now - grant.demand_at < m_policy.demand_retention;
    if (!has_demand) {
      const bool unused = grant.in_flight == 0 && grant.until <= now;
      at = unused ? m_grants.erase(at) : std::next(at);
      continue;
    }
    ++at;
    if (IsDue(grant, now)) {
      due.push_back({key.first, MakeRequest(key.second, grant, now)});
    }
  }
  return due;
}

void CapacityGrantHolder::OnReply(const GrantReply& reply, TimePoint now) {
  const auto found = m_grants.find({reply.granter, reply.service});
  if (found == m_grants.end()) {
    return;
  }
  Grant& grant = found->second;
  if (!grant.reply_pending || grant.request_id != reply.id ||
      reply.incarnation != m_incarnation) {
    return;
  }
  grant.reply_pending = false;
  grant.round_trip = now - grant.requested_at;
  const TimePoint until = grant.requested_at + reply.lifetime;
  if (until <= now) {
    return;
  }
  RefillBytes(grant, now);
  grant.max_in_flight = reply.max_in_flight;
  grant.bytes_per_second = reply.bytes_per_second;
  grant.until = until;
}

void CapacityGrantHolder::RemoveGranter(const HostId& granter) {
  for (auto& [key, grant] : m_grants) {
    if (key.first == granter) {
      grant.max_in_flight = 0;
      grant.reply_pending = false;
    }
  }
}

bool CapacityGrantHolder::IsDue(const Grant& grant, TimePoint now) const {
  const Duration interval =
      grant.reply_pending ? m_policy.reply_timeout : m_policy.renew_interval;
  return !grant.ever_requested || now - grant.requested_at >= interval;
}

GrantRequest CapacityGrantHolder::MakeRequest(const ServiceId& service,
                                              Grant& grant,
                                              TimePoint now) {
  m_last_id = m_last_id.Next();
  GrantRequest request{m_last_id, m_self, m_incarnation, m_region, service};
  const Duration elapsed =
      grant.ever_requested ? now - grant.requested_at : m_policy.renew_interval;
  const double seconds = std::max(ToSeconds(elapsed), 0.001);
  const double unmet =
      grant.unmet_requests * ToSeconds(m_policy.request_duration) / seconds;
  request.wanted_in_flight = grant.in_flight +
                             static_cast<uint32_t>(std::ceil(unmet)) +
                             m_policy.slack_slots;
  const auto rate =
      static_cast<uint64_t>(static_cast<double>(grant.demand_bytes) / seconds);
  request.bytes_per_second = std::max(2 * rate, m_policy.min_bytes_per_second);
  request.round_trip = grant.round_trip;
  grant.request_id = m_last_id;
  grant.requested_at = now;
  grant.reply_pending = true;
  grant.ever_requested = true;
  grant.unmet_requests = 0;
  grant.demand_bytes = 0;
  return request;
}

void CapacityGrantHolder::RefillBytes(Grant& grant, TimePoint now) {
  // Tokens accrue only until the grant expires.
  const TimePoint accrual_end = std::min(now, grant.until);
  if (accrual_end > grant.refilled_at) {
    const double rate = static_cast<double>(grant.bytes_per_second);
    const double accrued = rate * ToSeconds(accrual_end - grant.refilled_at);
    grant.byte_tokens = std::min(grant.byte_tokens + accrued, rate);
  }
  grant.refilled_at = now;
}

}  // namespace applestand
