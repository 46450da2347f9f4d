#include "lib/headroom/grant_holder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

void GrantHolder::NoteDemand(const HostId& granter,
                             const ServiceId& service,
                             uint64_t bytes,
                             TimePoint now) {
  Held& held = m_held[{granter, service}];
  ++held.unmet;
  held.demand_bytes += bytes;
  held.demand_at = now;
}

bool GrantHolder::TrySend(const HostId& granter,
                          const ServiceId& service,
                          uint64_t bytes,
                          TimePoint now) {
  Held& held = m_held[{granter, service}];
  RefillBytes(held, now);
  const bool granted =
      held.until > now && held.in_flight < held.slots && held.byte_tokens > 0;
  if (!granted) {
    NoteDemand(granter, service, bytes, now);
    return false;
  }
  held.byte_tokens -= static_cast<double>(bytes);
  held.demand_bytes += bytes;
  held.demand_at = now;
  ++held.in_flight;
  return true;
}

void GrantHolder::OnDone(const HostId& granter, const ServiceId& service) {
  Held& held = m_held.at({granter, service});
  assert(held.in_flight > 0 && "an end needs a send");
  --held.in_flight;
}

uint32_t GrantHolder::Free(const HostId& granter,
                           const ServiceId& service,
                           TimePoint now) const {
  const auto found = m_held.find({granter, service});
  if (found == m_held.end()) {
    return 0;
  }
  const Held& held = found->second;
  const bool usable = held.until > now && held.in_flight < held.slots;
  return usable ? held.slots - held.in_flight : 0;
}

std::vector<GrantHolder::Outgoing> GrantHolder::DueRequests(TimePoint now) {
  std::vector<Outgoing> due;
  for (auto at = m_held.begin(); at != m_held.end();) {
    auto& [key, held] = *at;
    const bool wanted = now - held.demand_at < m_policy.demand_memory;
    if (!wanted) {
      const bool idle = held.in_flight == 0 && held.until <= now;
      at = idle ? m_held.erase(at) : std::next(at);
      continue;
    }
    ++at;
    if (IsDue(held, now)) {
      due.push_back({key.first, MakeRequest(key.second, held, now)});
    }
  }
  return due;
}

void GrantHolder::OnReply(const GrantReply& reply, TimePoint now) {
  const auto found = m_held.find({reply.granter, reply.service});
  if (found == m_held.end()) {
    return;
  }
  Held& held = found->second;
  if (!held.open || held.asked != reply.id ||
      reply.incarnation != m_incarnation) {
    return;
  }
  held.open = false;
  held.round_trip = now - held.asked_at;
  const TimePoint until = held.asked_at + reply.lifetime;
  if (until <= now) {
    return;
  }
  RefillBytes(held, now);
  held.slots = reply.slots;
  held.bytes_per_second = reply.bytes_per_second;
  held.until = until;
}

void GrantHolder::Forget(const HostId& granter) {
  for (auto& [key, held] : m_held) {
    if (key.first == granter) {
      held.slots = 0;
      held.open = false;
    }
  }
}

bool GrantHolder::IsDue(const Held& held, TimePoint now) const {
  const Duration pause =
      held.open ? m_policy.reply_timeout : m_policy.renew_interval;
  return !held.ever_asked || now - held.asked_at >= pause;
}

GrantRequest GrantHolder::MakeRequest(const ServiceId& service,
                                      Held& held,
                                      TimePoint now) {
  m_last_id = m_last_id.Next();
  GrantRequest request{m_last_id, m_self, m_incarnation, m_region, service};
  const Duration since =
      held.ever_asked ? now - held.asked_at : m_policy.renew_interval;
  const double seconds = std::max(ToSeconds(since), 0.001);
  const double unmet =
      held.unmet * ToSeconds(m_policy.request_duration) / seconds;
  request.slots = held.in_flight + static_cast<uint32_t>(std::ceil(unmet)) +
                  m_policy.slack_slots;
  const auto rate =
      static_cast<uint64_t>(static_cast<double>(held.demand_bytes) / seconds);
  request.bytes_per_second =
      std::max(2 * rate, m_policy.least_bytes_per_second);
  request.round_trip = held.round_trip;
  held.asked = m_last_id;
  held.asked_at = now;
  held.open = true;
  held.ever_asked = true;
  held.unmet = 0;
  held.demand_bytes = 0;
  return request;
}

void GrantHolder::RefillBytes(Held& held, TimePoint now) {
  // Nothing accrues after the grant's end.
  const TimePoint upto = std::min(now, held.until);
  if (upto > held.bytes_at) {
    const double rate = static_cast<double>(held.bytes_per_second);
    const double earned = rate * ToSeconds(upto - held.bytes_at);
    held.byte_tokens = std::min(held.byte_tokens + earned, rate);
  }
  held.bytes_at = now;
}

}  // namespace applestand
