#include "lib/fleet/host_registration.h"

#include <optional>
#include <vector>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Interval at which a hub that misses hosts writes which ones it hears from,
// for the other hubs to read.
constexpr Duration kSeenWritePeriod = std::chrono::milliseconds(1500);
// Delay before a failed write of this host's own row is retried. In the
// meantime the hosts that it polls know of it.
constexpr Duration kRegisterRetryPeriod = std::chrono::seconds(2);
// Rows of hosts that have not been heard from for this long are removed.
constexpr Duration kAbandonedAfter = std::chrono::seconds(60);
std::string HostKey(const HostId& host) {
  return std::string(kHostRowPrefix) + host.value();
}

}  // namespace

HostRegistration::HostRegistration(Reactor& reactor,
                                   MetadataStore& store,
                                   FleetMembership& membership)
    : m_reactor(reactor),
      m_store(store),
      m_membership(membership),
      m_started_at(reactor.Now()),
      m_next_register_at(m_started_at),
      m_seen_written_at(m_started_at) {}

void HostRegistration::Register() {
  m_next_register_at = m_reactor.Now() + kRegisterRetryPeriod;
  const TimePoint started_at = m_reactor.Now();
  const Incarnation incarnation = m_membership.self().incarnation;
  m_register_write = m_store.WriteHosts(
      {{HostKey(m_membership.self().id), Encode(m_membership.self())}},
      [this, started_at, incarnation](StoreStatus status,
                                      const std::string& error) {
        if (status != StoreStatus::kOk) {
          LogEvent(Event::kNotRegistered,
                   {{"status", ToString(status)}, {"reason", error}});
          return;
        }
        m_registered_incarnation = incarnation;
        m_membership.OnHostTableWritten(started_at);
      });
}

void HostRegistration::Step(TimePoint now) {
  if (m_registered_incarnation != m_membership.self().incarnation &&
      now >= m_next_register_at) {
    Register();
  }
}

void HostRegistration::WriteSeenRow(TimePoint now) {
  if (m_seen_write != nullptr || now - m_seen_written_at < kSeenWritePeriod ||
      now - m_started_at < kSeenWritePeriod) {
    return;
  }
  const bool share_expiring =
      !m_membership.ShareValid(now + kSeenWritePeriod * 2);
  const std::vector<HostId> missing = m_membership.MissingHosts(now);
  if (missing.empty() && !share_expiring) {
    return;
  }
  m_seen_written_at = now;
  std::string seen = std::to_string(++m_seen_counter);
  for (const SeenHost& seen_host : m_membership.RecentRequesters(now)) {
    seen += " " + seen_host.host.id.value();
  }
  std::vector<StoreWrite> writes = {
      {std::string(kSeenRowPrefix) + m_membership.self().id.value(), seen}};
  for (const HostId& host : m_membership.AbandonedHosts(kAbandonedAfter, now)) {
    writes.push_back({HostKey(host), std::nullopt});
    writes.push_back(
        {std::string(kSeenRowPrefix) + host.value(), std::nullopt});
  }
  m_seen_write = m_store.WriteHosts(
      writes, [this, now](StoreStatus status, const std::string& error) {
        if (status == StoreStatus::kOk) {
          m_membership.OnHostTableWritten(now);
        } else {
          LogEvent(Event::kNotRegistered,
                   {{"status", ToString(status)}, {"reason", error}});
        }
        // Calls end before their callback runs, so that destroying this one
        // here is safe.
        m_seen_write = nullptr;
      });
}

void HostRegistration::OnStoreRestored(const TableMirror& host_rows) {
  const MirrorRow* row = host_rows.Find(HostKey(m_membership.self().id));
  Reason reason;
  const auto host =
      row != nullptr ? Decode<HostInfo>(row->value, reason) : std::nullopt;
  // The next step writes the row if the store holds none or that of an earlier
  // incarnation.
  m_registered_incarnation = host ? host->incarnation : Incarnation();
  m_next_register_at = m_reactor.Now();
}

}  // namespace applestand
