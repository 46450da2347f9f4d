#include "lib/fleet/fleet_membership.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace applestand {

namespace {

// Validity of what an update source reported about other hosts, and of what a
// hub knew when it stopped being the hub.
constexpr Duration kReportLifetime = std::chrono::seconds(3);

/// Returns whether `time` is less than `span` before `now`. False for
/// TimePoint::min(), which stands for "never".
bool IsRecent(TimePoint time, Duration span, TimePoint now) {
  return time != TimePoint::min() && now - time < span;
}

}  // namespace

FleetMembership::FleetMembership(const FleetMembershipOptions& options,
                                 HostInfo self)
    : m_options(options), m_self(std::move(self)), m_source(m_self.id) {}

FleetMembership::Entry& FleetMembership::AddOrUpdate(const HostInfo& host,
                                                     TimePoint now) {
  const auto [it, added] = m_entries.try_emplace(host.id);
  Entry& entry = it->second;
  if (added) {
    entry.last_heard_at = now;
    entry.host = host;
  } else if (entry.host.incarnation < host.incarnation) {
    entry.host = host;
    entry.failures = 0;
    entry.backoff_until = TimePoint::min();
  } else if (entry.host.incarnation == host.incarnation) {
    entry.host.leaving = entry.host.leaving || host.leaving;
  }
  return entry;
}

void FleetMembership::OnHostRow(const HostInfo& host, TimePoint now) {
  if (host.id == m_self.id) {
    AdvancePast(host.incarnation);
    return;
  }
  AddOrUpdate(host, now).has_row = true;
}

void FleetMembership::AdvancePast(Incarnation seen) {
  if (m_self.incarnation < seen) {
    m_self.incarnation = seen.Next();
  }
}

Incarnation FleetMembership::IncarnationOf(const HostId& host) const {
  const auto it = m_entries.find(host);
  return it == m_entries.end() ? Incarnation() : it->second.host.incarnation;
}

void FleetMembership::OnHostRowRemoved(const HostId& host) {
  if (const auto it = m_entries.find(host); it != m_entries.end()) {
    it->second.has_row = false;
  }
}

void FleetMembership::MarkHeard(Entry& entry, TimePoint at) {
  entry.last_heard_at = std::max(entry.last_heard_at, at);
  entry.counted = true;
}

void FleetMembership::OnSeenByOtherHub(const HostId& host, TimePoint now) {
  if (const auto it = m_entries.find(host); it != m_entries.end()) {
    MarkHeard(it->second, now);
  }
}

void FleetMembership::OnRequest(const HostInfo& host, TimePoint now) {
  OnIndirectRequest(host, now, now);
  if (const auto it = m_entries.find(host.id); it != m_entries.end()) {
    it->second.failures = 0;
  }
}

void FleetMembership::OnIndirectRequest(const HostInfo& host,
                                        TimePoint requested_at,
                                        TimePoint now) {
  if (host.id == m_self.id) {
    return;
  }
  Entry& entry = AddOrUpdate(host, now);
  if (host.incarnation < entry.host.incarnation) {
    return;
  }
  entry.last_request_at = std::max(entry.last_request_at, requested_at);
  MarkHeard(entry, requested_at);
  UpdateStoreReachability(entry, host, now);
}

void FleetMembership::OnResponse(
    const PullResponse& response,
    const std::optional<std::vector<HostInfo>>& live,
    TimePoint requested_at,
    TimePoint now) {
  AdvancePast(response.requester_incarnation);
  Entry& entry = AddOrUpdate(response.from, now);
  MarkHeard(entry, now);
  entry.failures = 0;
  entry.backoff_until = TimePoint::min();
  UpdateStoreReachability(entry, response.from, now);
  if (response.known_to_all_age) {
    const TimePoint source_known_at = requested_at - *response.known_to_all_age;
    // The other hosts learn of this host from the responder, which reports the
    // hosts that have polled it. All hosts that knew of the responder at some
    // time therefore also knew of this host if it had polled the responder
    // before that time.
    const bool reported = source_known_at >= requested_at;
    const bool polled_before = response.from.id == m_last_responder;
    if (reported || polled_before) {
      m_known_to_all_at = std::max(
          m_known_to_all_at,
          reported ? requested_at
                   : std::min(source_known_at, m_last_answered_request_at));
    }
  }
  m_last_responder = response.from.id;
  m_last_answered_request_at = requested_at;
  m_last_response_at = now;
  if (response.counted_hosts > 0) {
    m_source_counted = response.counted_hosts;
    m_source_counted_at = now;
  }
  if (!live) {
    return;
  }
  m_source_live = *live;
  for (const HostInfo& host : m_source_live) {
    if (host.id != m_self.id) {
      Entry& other = AddOrUpdate(host, now);
      MarkHeard(other, now);
      UpdateStoreReachability(other, host, now);
    }
  }
}

void FleetMembership::OnHostTableCurrent(TimePoint time) {
  m_host_table_current_at = std::max(m_host_table_current_at, time);
}

void FleetMembership::ExpireCounted() {
  for (auto& [id, entry] : m_entries) {
    // A hub that heard from the host since then would have written that to the
    // host table.
    if (entry.counted && entry.last_heard_at + m_options.counted_timeout <
                             m_host_table_current_at) {
      entry.counted = false;
    }
  }
}

void FleetMembership::UpdateStoreReachability(Entry& entry,
                                              const HostInfo& host,
                                              TimePoint now) {
  entry.host.store_unreachable = host.store_unreachable;
  if (host.store_unreachable) {
    entry.backoff_until =
        std::max(entry.backoff_until, now + m_options.store_backoff);
  }
}

void FleetMembership::OnStoreUnreachable(TimePoint now) {
  m_store_backoff_until = now + m_options.store_backoff;
  m_self.store_unreachable = true;
}

void FleetMembership::OnStoreAnswered() {
  m_store_backoff_until = TimePoint::min();
  m_self.store_unreachable = false;
}

void FleetMembership::OnHostFailed(const HostId& host, TimePoint now) {
  const auto it = m_entries.find(host);
  if (it == m_entries.end()) {
    return;
  }
  Entry& entry = it->second;
  constexpr uint32_t kMaxDoublings = 8;
  const Duration backoff = m_options.initial_backoff *
                           (1 << std::min(entry.failures, kMaxDoublings));
  entry.backoff_until = now + std::min(backoff, m_options.max_backoff);
  ++entry.failures;
}

void FleetMembership::OnHostTableWritten(TimePoint started_at) {
  m_known_to_all_at = std::max(m_known_to_all_at, started_at);
}

bool FleetMembership::IsCandidate(const Entry& entry, TimePoint now) const {
  return !entry.host.leaving && entry.backoff_until <= now;
}

bool FleetMembership::IsSelfCandidate(TimePoint now) const {
  return !m_self.leaving && m_store_backoff_until <= now;
}

bool FleetMembership::RanksBefore(const HostInfo& a, const HostInfo& b) const {
  if (a.cpu_cores != b.cpu_cores) {
    return a.cpu_cores > b.cpu_cores;
  }
  const std::hash<HostId> hash;
  return std::make_pair(hash(a.id), a.id) < std::make_pair(hash(b.id), b.id);
}

void FleetMembership::BecomeHub(TimePoint now) {
  m_hub_since = now;
  if (IsRecent(m_last_hub_at, kReportLifetime, now)) {
    // This host was the hub until recently and has only tried a host that ranks
    // before it. Its requesters kept polling it, so that what it knows about
    // them is current.
    return;
  }
  // A new hub does not know yet which hosts are live. It presumes all of them
  // live, so that none loses its share before it has had time to poll.
  m_all_presumed_live_at = now;
  for (auto& [id, entry] : m_entries) {
    MarkHeard(entry, now);
  }
}

const HostInfo* FleetMembership::FirstCandidate(bool own_zone,
                                                TimePoint now) const {
  const HostInfo* first = IsSelfCandidate(now) ? &m_self : nullptr;
  for (const auto& [id, entry] : m_entries) {
    if ((!own_zone || entry.host.zone == m_self.zone) &&
        IsCandidate(entry, now) &&
        (first == nullptr || RanksBefore(entry.host, *first))) {
      first = &entry.host;
    }
  }
  return first;
}

std::optional<size_t> FleetMembership::RankAsHub(TimePoint now) const {
  return IsSelfCandidate(now) ? std::optional(Rank(now)) : std::nullopt;
}

size_t FleetMembership::Rank(TimePoint now) const {
  return std::count_if(m_entries.begin(), m_entries.end(),
                       [&](const auto& entry) {
                         return IsCandidate(entry.second, now) &&
                                RanksBefore(entry.second.host, m_self);
                       });
}

HostId FleetMembership::ChooseSource(TimePoint now) {
  const HostInfo* source = FirstCandidate(false, now);
  if (source != nullptr && source != &m_self &&
      m_entries.size() > m_options.max_direct_hosts) {
    const HostInfo* zone_first = FirstCandidate(true, now);
    // The first-ranked host of a zone polls the hub itself.
    if (zone_first != nullptr && zone_first != &m_self) {
      source = zone_first;
    }
  }
  const HostId chosen = source != nullptr ? source->id : m_self.id;
  if (chosen == m_self.id && (!IsHub() || m_hub_since == TimePoint::min())) {
    BecomeHub(now);
  }
  m_source = chosen;
  if (IsHub()) {
    m_last_hub_at = now;
    ExpireCounted();
  }
  return m_source;
}

const HostInfo* FleetMembership::Find(const HostId& host) const {
  const auto it = m_entries.find(host);
  return it == m_entries.end() ? nullptr : &it->second.host;
}

HostId FleetMembership::FirstInRegion(TimePoint now) const {
  HostId first = m_self.id;
  const HostInfo* best = m_self.leaving ? nullptr : &m_self;
  const std::vector<HostInfo> live = LiveHosts(now);
  for (const HostInfo& host : live) {
    if (host.region == m_self.region &&
        (best == nullptr || RanksBefore(host, *best))) {
      best = &host;
      first = host.id;
    }
  }
  return first;
}

std::vector<HostInfo> FleetMembership::LiveHosts(TimePoint now) const {
  // A new hub relies on its former source until the others have had time to
  // poll it.
  return CollectLive(
      !IsHub() || IsRecent(m_hub_since, m_options.live_timeout, now), now);
}

std::vector<HostInfo> FleetMembership::LiveHostsToReport(TimePoint now) const {
  return CollectLive(!IsHub(), now);
}

std::vector<HostInfo> FleetMembership::CollectLive(bool relies_on_source,
                                                   TimePoint now) const {
  std::map<HostId, HostInfo> live;
  if (!m_self.leaving) {
    live[m_self.id] = m_self;
  }
  if (relies_on_source && IsRecent(m_last_response_at, kReportLifetime, now)) {
    for (const HostInfo& host : m_source_live) {
      if (const auto it = m_entries.find(host.id);
          !IsHub() || it == m_entries.end() || it->second.failures == 0) {
        live[host.id] = host;
      }
    }
  }
  for (const auto& [id, entry] : m_entries) {
    if (IsRecent(entry.last_request_at, m_options.live_timeout, now)) {
      live[id] = entry.host;
    }
  }
  std::vector<HostInfo> out;
  for (auto& [id, host] : live) {
    const auto it = m_entries.find(id);
    const bool leaving =
        host.leaving || (it != m_entries.end() && it->second.host.leaving &&
                         it->second.host.incarnation >= host.incarnation);
    if (!leaving && (id != m_self.id || !m_self.leaving)) {
      out.push_back(std::move(host));
    }
  }
  return out;
}

std::vector<HostInfo> FleetMembership::HostsWithRows() const {
  std::vector<HostInfo> hosts;
  for (const auto& [id, entry] : m_entries) {
    if (entry.has_row && !entry.host.leaving) {
      hosts.push_back(entry.host);
    }
  }
  return hosts;
}

std::string FleetMembership::LiveTag(TimePoint now) const {
  std::string text;
  for (const HostInfo& host : LiveHostsToReport(now)) {
    text +=
        host.id.value() + "/" + std::to_string(host.incarnation.value()) + " ";
  }
  return std::to_string(std::hash<std::string>()(text));
}

std::vector<SeenHost> FleetMembership::RecentRequesters(TimePoint now) const {
  std::vector<SeenHost> out;
  for (const auto& [id, entry] : m_entries) {
    if (IsRecent(entry.last_request_at, m_options.live_timeout, now)) {
      out.push_back({entry.host, now - entry.last_request_at});
    }
  }
  return out;
}

uint32_t FleetMembership::CountedHosts(TimePoint now) const {
  // A host that is not the hub learns of the others only through its update
  // source. Its own count is valid only while it may still presume every host
  // live, as a former hub.
  if (!IsHub()) {
    if (IsRecent(m_source_counted_at, kReportLifetime, now)) {
      return m_source_counted;
    }
    if (!IsRecent(m_all_presumed_live_at, m_options.share_timeout, now)) {
      return 0;
    }
  }
  if (!m_host_table_read) {
    return 0;
  }
  return CountedOthers() + 1;
}

uint32_t FleetMembership::CountedOthers() const {
  return static_cast<uint32_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [](const auto& entry) { return entry.second.counted; }));
}

std::optional<TimePoint> FleetMembership::KnownToAllAt(TimePoint now) const {
  // If no other host is counted, only the store reports new hosts.
  if (IsHub() && m_host_table_read && CountedOthers() > 0 &&
      MissingHosts(now).empty()) {
    return now;
  }
  return m_known_to_all_at == TimePoint::min()
             ? std::nullopt
             : std::optional(m_known_to_all_at);
}

bool FleetMembership::ShareValid(TimePoint now) const {
  const auto known_at = KnownToAllAt(now);
  return CountedHosts(now) > 0 && known_at &&
         IsRecent(*known_at, m_options.share_timeout, now);
}

std::vector<HostId> FleetMembership::MissingHosts(TimePoint now) const {
  std::vector<HostId> out;
  for (const auto& [id, entry] : m_entries) {
    if (entry.counted &&
        !IsRecent(entry.last_request_at, m_options.live_timeout, now)) {
      out.push_back(id);
    }
  }
  return out;
}

std::vector<HostId> FleetMembership::AbandonedHosts(Duration age,
                                                    TimePoint now) const {
  std::vector<HostId> out;
  for (const auto& [id, entry] : m_entries) {
    if (entry.has_row && now - entry.last_heard_at > age) {
      out.push_back(id);
    }
  }
  return out;
}

}  // namespace applestand
