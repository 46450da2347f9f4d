#include "lib/fleet/roster.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace applestand {

namespace {

// What a source said of hosts is believed for this long.
constexpr Duration kBelieveFor = std::chrono::seconds(3);

/// Whether `time` lies within `span` before `now`; TimePoint::min() never does.
bool Within(TimePoint time, Duration span, TimePoint now) {
  return time != TimePoint::min() && now - time < span;
}

}  // namespace

Roster::Roster(const RosterOptions& options, HostInfo self)
    : m_options(options), m_self(std::move(self)), m_source(m_self.id) {}

Roster::Entry& Roster::Learn(const HostInfo& host, TimePoint now) {
  const auto [it, added] = m_entries.try_emplace(host.id);
  Entry& entry = it->second;
  if (added) {
    entry.heard = now;
    entry.host = host;
  } else if (entry.host.incarnation < host.incarnation) {
    entry.host = host;
    entry.failures = 0;
    entry.passed_over_until = TimePoint::min();
  } else if (entry.host.incarnation == host.incarnation) {
    entry.host.leaving = entry.host.leaving || host.leaving;
  }
  return entry;
}

void Roster::OnRow(const HostInfo& host, TimePoint now) {
  if (host.id == m_self.id) {
    Outrun(host.incarnation);
    return;
  }
  Learn(host, now).has_row = true;
}

void Roster::Outrun(Incarnation run) {
  if (m_self.incarnation < run) {
    m_self.incarnation = run.Next();
  }
}

Incarnation Roster::RunOf(const HostId& host) const {
  const auto it = m_entries.find(host);
  return it == m_entries.end() ? Incarnation() : it->second.host.incarnation;
}

void Roster::OnRowRemoved(const HostId& host) {
  if (const auto it = m_entries.find(host); it != m_entries.end()) {
    it->second.has_row = false;
  }
}

void Roster::Heard(Entry& entry, TimePoint at) {
  entry.heard = std::max(entry.heard, at);
  entry.counted = true;
}

void Roster::OnSeenElsewhere(const HostId& host, TimePoint now) {
  if (const auto it = m_entries.find(host); it != m_entries.end()) {
    Heard(it->second, now);
  }
}

void Roster::OnAsked(const HostInfo& host, TimePoint now) {
  OnAskedElsewhere(host, now, now);
  if (const auto it = m_entries.find(host.id); it != m_entries.end()) {
    it->second.failures = 0;
  }
}

void Roster::OnAskedElsewhere(const HostInfo& host,
                              TimePoint asked_at,
                              TimePoint now) {
  if (host.id == m_self.id) {
    return;
  }
  Entry& entry = Learn(host, now);
  if (host.incarnation < entry.host.incarnation) {
    return;
  }
  entry.asked = std::max(entry.asked, asked_at);
  Heard(entry, asked_at);
  NoteDenied(entry, host, now);
}

void Roster::OnAnswered(const PullReply& reply,
                        const std::optional<std::vector<HostInfo>>& live,
                        TimePoint asked_at,
                        TimePoint now) {
  Outrun(reply.asker_run);
  Entry& entry = Learn(reply.from, now);
  Heard(entry, now);
  entry.failures = 0;
  entry.passed_over_until = TimePoint::min();
  NoteDenied(entry, reply.from, now);
  if (reply.known_age) {
    const TimePoint source_known = asked_at - *reply.known_age;
    // The others heard of this host from the replier, which told them of what
    // it had been asked before.
    const bool told = source_known >= asked_at;
    const bool asked_before = reply.from.id == m_answered_by;
    if (told || asked_before) {
      m_known_at = std::max(
          m_known_at,
          told ? asked_at : std::min(source_known, m_answered_asked_at));
    }
  }
  m_answered_by = reply.from.id;
  m_answered_asked_at = asked_at;
  m_answered_at = now;
  if (reply.counted > 0) {
    m_source_counted = reply.counted;
    m_source_counted_at = now;
  }
  if (!live) {
    return;
  }
  m_source_live = *live;
  for (const HostInfo& host : m_source_live) {
    if (host.id != m_self.id) {
      Entry& other = Learn(host, now);
      Heard(other, now);
      NoteDenied(other, host, now);
    }
  }
}

void Roster::OnHostsCurrent(TimePoint time) {
  m_hosts_current_at = std::max(m_hosts_current_at, time);
}

void Roster::UpdateCounted() {
  for (auto& [id, entry] : m_entries) {
    // Whoever heard of the host meanwhile would have written so.
    if (entry.counted &&
        entry.heard + m_options.counted_for < m_hosts_current_at) {
      entry.counted = false;
    }
  }
}

void Roster::NoteDenied(Entry& entry, const HostInfo& host, TimePoint now) {
  entry.host.store_denied = host.store_denied;
  if (host.store_denied) {
    entry.passed_over_until =
        std::max(entry.passed_over_until, now + m_options.denied_for);
  }
}

void Roster::OnStoreDenied(TimePoint now) {
  m_denied_until = now + m_options.denied_for;
  m_self.store_denied = true;
}

void Roster::OnStoreAnswered() {
  m_denied_until = TimePoint::min();
  m_self.store_denied = false;
}

void Roster::OnFailed(const HostId& host, TimePoint now) {
  const auto it = m_entries.find(host);
  if (it == m_entries.end()) {
    return;
  }
  Entry& entry = it->second;
  constexpr uint32_t kMaxDoublings = 8;
  const Duration pass_over = m_options.first_pass_over *
                             (1 << std::min(entry.failures, kMaxDoublings));
  entry.passed_over_until =
      now + std::min(pass_over, m_options.longest_pass_over);
  ++entry.failures;
}

void Roster::OnWritten(TimePoint begun) {
  m_known_at = std::max(m_known_at, begun);
}

bool Roster::Usable(const Entry& entry, TimePoint now) const {
  return !entry.host.leaving && entry.passed_over_until <= now;
}

bool Roster::SelfUsable(TimePoint now) const {
  return !m_self.leaving && m_denied_until <= now;
}

bool Roster::Before(const HostInfo& a, const HostInfo& b) const {
  if (a.power != b.power) {
    return a.power > b.power;
  }
  const std::hash<HostId> hash;
  return std::make_pair(hash(a.id), a.id) < std::make_pair(hash(b.id), b.id);
}

void Roster::BecomeHub(TimePoint now) {
  m_hub_since = now;
  if (Within(m_last_hub_at, kBelieveFor, now)) {
    // It only tried a host of higher rank; the others went on to ask.
    return;
  }
  // A new hub does not know who is alive: nobody loses his share before he had
  // time to ask.
  m_all_alive_at = now;
  for (auto& [id, entry] : m_entries) {
    Heard(entry, now);
  }
}

const HostInfo* Roster::First(bool of_zone, TimePoint now) const {
  const HostInfo* first = SelfUsable(now) ? &m_self : nullptr;
  for (const auto& [id, entry] : m_entries) {
    if ((!of_zone || entry.host.zone == m_self.zone) && Usable(entry, now) &&
        (first == nullptr || Before(entry.host, *first))) {
      first = &entry.host;
    }
  }
  return first;
}

std::optional<size_t> Roster::RankAsHub(TimePoint now) const {
  if (!SelfUsable(now)) {
    return std::nullopt;
  }
  return std::count_if(
      m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return Usable(entry.second, now) && Before(entry.second.host, m_self);
      });
}

HostId Roster::ChooseSource(TimePoint now) {
  const HostInfo* source = First(false, now);
  if (source != nullptr && source != &m_self &&
      m_entries.size() > m_options.direct_hosts) {
    const HostInfo* head = First(true, now);
    // The first of a zone asks the hub.
    if (head != nullptr && head != &m_self) {
      source = head;
    }
  }
  const HostId chosen = source != nullptr ? source->id : m_self.id;
  if (chosen == m_self.id && (!IsHub() || m_hub_since == TimePoint::min())) {
    BecomeHub(now);
  }
  m_source = chosen;
  if (IsHub()) {
    m_last_hub_at = now;
    UpdateCounted();
  }
  return m_source;
}

const HostInfo* Roster::Find(const HostId& host) const {
  const auto it = m_entries.find(host);
  return it == m_entries.end() ? nullptr : &it->second.host;
}

HostId Roster::FirstInRegion(TimePoint now) const {
  HostId first = m_self.id;
  const HostInfo* best = m_self.leaving ? nullptr : &m_self;
  const std::vector<HostInfo> live = LiveHosts(now);
  for (const HostInfo& host : live) {
    if (host.region == m_self.region &&
        (best == nullptr || Before(host, *best))) {
      best = &host;
      first = host.id;
    }
  }
  return first;
}

std::vector<HostInfo> Roster::LiveHosts(TimePoint now) const {
  std::map<HostId, HostInfo> live;
  if (!m_self.leaving) {
    live[m_self.id] = m_self;
  }
  if (!IsHub() && Within(m_answered_at, kBelieveFor, now)) {
    for (const HostInfo& host : m_source_live) {
      live[host.id] = host;
    }
  }
  for (const auto& [id, entry] : m_entries) {
    if (Within(entry.asked, m_options.live_for, now)) {
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

std::string Roster::LiveTag(TimePoint now) const {
  std::string text;
  for (const HostInfo& host : LiveHosts(now)) {
    text +=
        host.id.value() + "/" + std::to_string(host.incarnation.value()) + " ";
  }
  return std::to_string(std::hash<std::string>()(text));
}

std::vector<SeenHost> Roster::Askers(TimePoint now) const {
  std::vector<SeenHost> out;
  for (const auto& [id, entry] : m_entries) {
    if (Within(entry.asked, m_options.live_for, now)) {
      out.push_back({entry.host, now - entry.asked});
    }
  }
  return out;
}

uint32_t Roster::Counted(TimePoint now) const {
  // A follower hears of the others through its source only, so that its own
  // count is good for as long as it took every host to be alive.
  if (!IsHub()) {
    if (Within(m_source_counted_at, kBelieveFor, now)) {
      return m_source_counted;
    }
    if (!Within(m_all_alive_at, m_options.share_for, now)) {
      return 0;
    }
  }
  if (!m_table_read) {
    return 0;
  }
  return CountedOthers() + 1;
}

uint32_t Roster::CountedOthers() const {
  return static_cast<uint32_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [](const auto& entry) { return entry.second.counted; }));
}

std::optional<TimePoint> Roster::KnownAt(TimePoint now) const {
  // Without any other host only the store tells of new ones.
  if (IsHub() && m_table_read && CountedOthers() > 0 && Missing(now).empty()) {
    return now;
  }
  return m_known_at == TimePoint::min() ? std::nullopt
                                        : std::optional(m_known_at);
}

bool Roster::ShareValid(TimePoint now) const {
  const auto known_at = KnownAt(now);
  return Counted(now) > 0 && known_at &&
         Within(*known_at, m_options.share_for, now);
}

std::vector<HostId> Roster::Missing(TimePoint now) const {
  std::vector<HostId> out;
  for (const auto& [id, entry] : m_entries) {
    if (entry.counted && !Within(entry.asked, m_options.live_for, now)) {
      out.push_back(id);
    }
  }
  return out;
}

std::vector<HostId> Roster::Abandoned(Duration age, TimePoint now) const {
  std::vector<HostId> out;
  for (const auto& [id, entry] : m_entries) {
    if (entry.has_row && now - entry.heard > age) {
      out.push_back(id);
    }
  }
  return out;
}

}  // namespace applestand
