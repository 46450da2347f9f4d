#include "lib/fleet/fleet_node.h"

#include <algorithm>
#include <utility>

#include "lib/fleet/row_key.h"
#include "lib/log/log.h"
#include "lib/relay/host_call.h"

namespace applestand {

namespace {

// Granularity of timeouts, retries and delayed responses.
constexpr Duration kStepPeriod = std::chrono::milliseconds(100);
// Number of first-ranked hosts that read the store at the same time if the hub
// cannot. Even if the store rejects half of all hosts, it is likely to answer
// one of these.
constexpr size_t kMaxProbingHosts = 8;

constexpr int kOk = 200;

}  // namespace

const char* ToString(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kHistoryLost:
      return "history-lost";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

FleetNode::FleetNode(Reactor& reactor,
                     HttpClientPool& http_client,
                     MetadataStore& store,
                     const FleetOptions& options,
                     const HostInfo& self,
                     FleetObserver& observer)
    : m_reactor(reactor),
      m_http_client(http_client),
      m_store(store),
      m_options(options),
      m_observer(observer),
      m_membership(options.membership, self),
      m_update_server(m_membership, m_mirrors, options.pull_wait),
      m_registration(reactor, store, m_membership),
      m_last_source(self.id),
      m_step_timer(reactor),
      m_immediate_step_timer(reactor) {}

FleetNode::~FleetNode() = default;

void FleetNode::Start() {
  m_registration.Register();
  for (const StoreTable table :
       {StoreTable::kOperator, StoreTable::kTargets, StoreTable::kHosts}) {
    ReadFeed(table);
  }
  PullSeeds();
  m_step_timer.StartRepeating(kStepPeriod, [this] { Step(); });
}

void FleetNode::Leave() {
  m_membership.self().leaving = true;
  // The next request, which tells the hub, is sent immediately.
  m_pull = nullptr;
  Step();
}

void FleetNode::Step() {
  const TimePoint now = m_reactor.Now();
  m_registration.Step(now);
  CheckOverdue(now);
  const HostId source = m_membership.ChooseSource(now);
  if (source == m_membership.self().id) {
    StepAsHub(now);
  } else {
    StepAsFollower(source, now);
  }
  if (!TablesLoaded() && m_seed_pulls.empty()) {
    PullSeeds();
  }
  m_update_server.RespondToDue(now);
  CheckStore(now);
}

bool FleetNode::TablesLoaded() const {
  return std::all_of(m_mirrors.begin(), m_mirrors.end(),
                     [](const TableMirror& mirror) { return mirror.loaded(); });
}

void FleetNode::StepAsFollower(const HostId& source, TimePoint now) {
  const Feed& probe = m_feeds[static_cast<size_t>(StoreTable::kOperator)];
  const bool reads = probe.call != nullptr || probe.pause != nullptr;
  const bool loaded = TablesLoaded();
  const Duration age =
      loaded ? now - mirror(StoreTable::kOperator).current_at() : Duration();
  if (age > m_options.probe_after) {
    if (!reads) {
      ReadStoreIfStale(age, now);
    }
  } else if (loaded && reads) {
    // A new host reads the store until its first update source has responded.
    StopFeeds();
  }
  if (m_pull == nullptr) {
    // With stale copies the request does not wait at the source, so that the
    // next host is tried without delay if the source's copies are stale too.
    const bool stale = !loaded || age > m_options.stale_after;
    Pull(source, stale ? Duration::zero() : m_options.pull_wait);
  }
}

void FleetNode::ReadStoreIfStale(Duration age, TimePoint now) {
  const auto rank_as_hub = m_membership.RankAsHub(now);
  if (!rank_as_hub || *rank_as_hub >= kMaxProbingHosts) {
    // The other hosts may all be lost, cut off from this one or stale, while
    // this host's own link to the store works.
    const size_t rank = m_membership.Rank(now);
    if (age <= m_options.own_read_after + m_options.own_read_spacing * rank ||
        now < m_next_own_read_at) {
      return;
    }
    m_next_own_read_at = now + m_options.own_read_period;
    LogEvent(Event::kOwnStoreRead,
             {{"copy_age_ms", ToMillis(age)}, {"rank", rank}});
  }
  m_feeds[static_cast<size_t>(StoreTable::kOperator)].answered = false;
  ReadFeed(StoreTable::kOperator);
}

void FleetNode::StepAsHub(TimePoint now) {
  ReportSourceChange("no higher-ranked host responds");
  // While the store does not answer, only one table is read to detect when it
  // answers again.
  const bool probing = m_membership.self().store_unreachable;
  for (const StoreTable table :
       {StoreTable::kOperator, StoreTable::kTargets, StoreTable::kHosts}) {
    const Feed& feed = m_feeds[static_cast<size_t>(table)];
    if (feed.call == nullptr && feed.pause == nullptr &&
        (!probing || table == StoreTable::kOperator)) {
      ReadFeed(table);
    }
  }
  m_registration.WriteSeenRow(now);
}

void FleetNode::PullSeeds() {
  m_seed_pulls.clear();
  for (const std::string& seed : m_options.seeds) {
    if (seed != m_membership.self().control_address) {
      PullFrom(seed, HostId(), Duration::zero());
    }
  }
}

void FleetNode::Pull(const HostId& host, Duration wait) {
  if (const HostInfo* found = m_membership.Find(host)) {
    PullFrom(found->control_address, host, wait);
  }
}

void FleetNode::PullFrom(const std::string& address,
                         const HostId& host,
                         Duration wait) {
  const TimePoint now = m_reactor.Now();
  PullRequest request;
  request.from = m_membership.self();
  for (size_t i = 0; i < kStoreTables; ++i) {
    request.held_versions[i] = m_mirrors[i].version();
  }
  request.live_tag = m_received_live_tag;
  request.wait = wait;
  request.seen = m_membership.RecentRequesters(now);
  request.newest_config = newest_config();
  request.known_era = m_update_server.known_era();
  CallOptions options;
  options.connect_timeout = m_options.connect_limit;
  options.call_timeout = wait + m_options.pull_grace;
  options.log_id = "pull";
  auto call = CallHost(m_http_client, address, kPullPath, Encode(request),
                       options, [this, host, now](const CallResult& result) {
                         OnPullEnd(host, now, result);
                       });
  if (host.empty()) {
    m_seed_pulls.push_back(std::move(call));
  } else {
    m_pull = std::move(call);
  }
}

void FleetNode::OnPullEnd(const HostId& host,
                          TimePoint requested_at,
                          const CallResult& result) {
  if (!host.empty()) {
    m_pull = nullptr;
  }
  const TimePoint now = m_reactor.Now();
  Reason reason{result.error};
  std::optional<PullResponse> response;
  std::optional<FleetUpdate> update;
  if (result.ran == Ran::kRan && result.response.status == kOk) {
    response = Decode<PullResponse>(result.response.body, reason);
    update = response ? Unpack(response->packed_update, reason) : std::nullopt;
  } else if (result.ran == Ran::kRan) {
    reason.text = "status " + std::to_string(result.response.status);
  }
  if (!update) {
    if (!host.empty()) {
      m_membership.OnHostFailed(host, now);
      LogEvent(Event::kPeerDead, {{"host", host}, {"reason", reason.text}});
    }
    return;
  }
  m_heard_from_peer = true;
  m_update_server.OnConfigKnown(response->newest_config);
  m_update_server.OnPeerKnownEra(response->known_era);
  m_membership.OnResponse(*response, update->live, requested_at, now);
  // The tag depends only on the listed hosts, so that it stays valid for the
  // next update source.
  m_received_live_tag = response->live_tag;
  const TimePoint before = mirror(StoreTable::kOperator).current_at();
  for (size_t i = 0; i < kStoreTables; ++i) {
    const PullResponse::Copy& copy = response->copies[i];
    if (copy.loaded) {
      update->tables[i].version = copy.version;
      ApplyUpdate(static_cast<StoreTable>(i), update->tables[i],
                  requested_at - copy.age);
    }
  }
  RespondIfFresher(before);
  const PullResponse::Copy& operators = response->copies[0];
  const Duration copy_age = now - (requested_at - operators.age);
  if (operators.loaded && copy_age > m_options.stale_after) {
    LogEvent(Event::kSourceStale,
             {{"host", response->from.id},
              {"copy_age_ms", ToMillis(copy_age)},
              {"own_copy_age_ms",
               ToMillis(now - mirror(StoreTable::kOperator).current_at())}});
    m_membership.OnHostFailed(response->from.id, now);
  } else {
    ReportSourceChange("responded with current copies");
  }
  // Deferred, so that no new call starts within the callback of the one that
  // has just ended.
  m_immediate_step_timer.Start(Duration::zero(), [this] { Step(); });
}

void FleetNode::ReportSourceChange(const std::string& reason) {
  if (m_membership.source() == m_last_source) {
    return;
  }
  m_last_source = m_membership.source();
  m_observer.OnSourceChanged(m_last_source, reason);
}

void FleetNode::StopFeeds() {
  for (Feed& feed : m_feeds) {
    feed.call = nullptr;
    feed.pause = nullptr;
    feed.answered = false;
  }
}

void FleetNode::CheckOverdue(TimePoint now) {
  const Feed& operators = m_feeds[static_cast<size_t>(StoreTable::kOperator)];
  if (operators.call == nullptr || now <= operators.overdue_at ||
      m_membership.self().store_unreachable || !TablesLoaded()) {
    return;
  }
  LogEvent(
      Event::kStoreCallFailed,
      {{"table", 0},
       {"status", "overdue"},
       {"reason", "no answer for " +
                      std::to_string(ToMillis(now - operators.started_at)) +
                      " ms"}});
  OnStoreUnreachable();
}

void FleetNode::OnStoreUnreachable() {
  const TimePoint now = m_reactor.Now();
  m_membership.OnStoreUnreachable(now);
  m_update_server.RespondToAll(now);
}

void FleetNode::ReadFeed(StoreTable table) {
  const auto index = static_cast<size_t>(table);
  Feed& feed = m_feeds[index];
  feed.started_at = m_reactor.Now();
  // The first read after a failure does not wait, to find out quickly whether
  // the store answers.
  const Duration wait =
      feed.answered ? m_options.feed_wait[index] : Duration::zero();
  feed.overdue_at = feed.started_at + wait + m_options.feed_overdue_after;
  const auto callback = [this, table](StoreRead read) {
    OnFeed(table, std::move(read));
  };
  if (m_mirrors[index].loaded()) {
    feed.call =
        m_store.ReadChanges(table, m_mirrors[index].version(), wait, callback);
  } else {
    feed.call = m_store.ReadTable(table, callback);
  }
}

void FleetNode::OnFeed(StoreTable table, StoreRead read) {
  const auto index = static_cast<size_t>(table);
  Feed& feed = m_feeds[index];
  feed.call = nullptr;
  feed.answered = read.status == StoreStatus::kOk;
  if (feed.answered) {
    m_membership.OnStoreAnswered();
    const TimePoint before = mirror(StoreTable::kOperator).current_at();
    ApplyUpdate(table, read.update, feed.started_at);
    RespondIfFresher(before);
    if (m_membership.IsHub()) {
      ReadFeedAfter(table, read.update.rows.empty()
                               ? Duration::zero()
                               : m_options.feed_pause[index]);
    } else if (table == StoreTable::kOperator && TablesLoaded()) {
      // Hosts that now choose this one as update source need the targets too.
      ReadFeed(StoreTable::kTargets);
    }
    return;
  }
  if (read.status == StoreStatus::kHistoryLost) {
    LogEvent(Event::kConfigGap,
             {{"table", index}, {"have", m_mirrors[index].version()}});
    feed.started_at = m_reactor.Now();
    feed.overdue_at = feed.started_at + m_options.feed_overdue_after;
    feed.call = m_store.ReadTable(table, [this, table](StoreRead snapshot) {
      OnFeed(table, std::move(snapshot));
    });
    return;
  }
  LogEvent(Event::kStoreCallFailed, {{"table", index},
                                     {"status", ToString(read.status)},
                                     {"reason", read.error}});
  if (table == StoreTable::kOperator) {
    OnStoreUnreachable();
  }
  ReadFeedAfter(table, m_options.feed_retry_delay);
}

void FleetNode::ReadFeedAfter(StoreTable table, Duration pause) {
  if (pause == Duration::zero()) {
    ReadFeed(table);
    return;
  }
  Feed& feed = m_feeds[static_cast<size_t>(table)];
  feed.pause = std::make_unique<Timer>(m_reactor);
  feed.pause->Start(pause, [this, table] {
    m_feeds[static_cast<size_t>(table)].pause = nullptr;
    const bool probing = m_membership.self().store_unreachable;
    if (!mirror(table).loaded() ||
        (m_membership.IsHub() &&
         (!probing || table == StoreTable::kOperator))) {
      ReadFeed(table);
    }
  });
}

void FleetNode::ApplyUpdate(StoreTable table,
                            const TableUpdate& update,
                            TimePoint at) {
  const auto index = static_cast<size_t>(table);
  const bool was_loaded = m_mirrors[index].loaded();
  const StoreEra era_before = m_mirrors[index].version().era();
  const std::vector<std::string> keys = m_mirrors[index].Apply(update, at);
  if (was_loaded && m_mirrors[index].version().era() != era_before) {
    OnNewEra(table, era_before, keys.size());
  }
  if (table == StoreTable::kHosts) {
    m_membership.OnHostTableRead();
  }
  CheckStore(m_reactor.Now());
  if (table == StoreTable::kHosts) {
    // The rows are processed before the table's time advances, so that no host
    // that they report as live expires.
    OnHostRows(keys);
    m_membership.OnHostTableCurrent(mirror(table).current_at());
  }
  if (keys.empty()) {
    return;
  }
  m_observer.OnRowsChanged(table, keys);
  // Responding to many requests at each of many changes would take all of a
  // hub's CPU time. The next step responds once for all of these changes.
  if (!m_update_server.has_many_waiting()) {
    m_update_server.RespondToDue(m_reactor.Now());
  }
}

void FleetNode::OnNewEra(StoreTable table,
                         StoreEra before,
                         size_t changed_rows) {
  const StoreEra era = mirror(table).version().era();
  LogEvent(Event::kStoreRestored, {{"table", static_cast<size_t>(table)},
                                   {"era", era},
                                   {"before", before},
                                   {"changed_rows", changed_rows}});
  if (m_era < era) {
    m_era = era;
    m_observer.OnStoreRestored();
  }
  if (table == StoreTable::kHosts) {
    m_registration.OnStoreRestored(mirror(table));
  }
}

void FleetNode::OnHostRows(const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror(StoreTable::kHosts).Find(key);
    if (HasKeyPrefix(key, kHostRowPrefix)) {
      if (row == nullptr) {
        m_membership.OnHostRowRemoved(
            HostId(key.substr(kHostRowPrefix.size())));
        continue;
      }
      Reason reason;
      if (const auto host = Decode<HostInfo>(row->value, reason)) {
        m_membership.OnHostRow(*host, now);
      } else {
        LogEvent(Event::kBadMessage, {{"row", key}, {"reason", reason.text}});
      }
      continue;
    }
    if (row == nullptr || !HasKeyPrefix(key, kSeenRowPrefix)) {
      continue;
    }
    m_membership.OnSeenByOtherHub(HostId(key.substr(kSeenRowPrefix.size())),
                                  now);
    std::string_view rest = row->value;
    while (!rest.empty()) {
      const std::string_view word = rest.substr(0, rest.find(' '));
      rest.remove_prefix(std::min(rest.size(), word.size() + 1));
      m_membership.OnSeenByOtherHub(HostId(std::string(word)), now);
    }
  }
}

void FleetNode::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  m_update_server.OnRequest(exchange, m_reactor.Now());
}

void FleetNode::CheckStore(TimePoint now) {
  const TableMirror& operators = mirror(StoreTable::kOperator);
  if (!operators.loaded()) {
    return;
  }
  const Duration age = now - operators.current_at();
  if (age > m_options.store_lost_after && !m_store_lost_since) {
    m_store_lost_since = operators.current_at();
    m_observer.OnStoreLost("no reachable host has read it for " +
                           std::to_string(ToMillis(age)) + " ms");
  } else if (age <= m_options.store_lost_after && m_store_lost_since) {
    m_store_lost_since.reset();
    m_observer.OnStoreRegained();
  }
}

void FleetNode::RespondIfFresher(TimePoint before) {
  // Each read of the store is passed on to all hosts immediately, so that the
  // copies of the last of them are hardly older than the hub's.
  if (mirror(StoreTable::kOperator).current_at() > before) {
    m_update_server.RespondToAll(m_reactor.Now());
  }
}

}  // namespace applestand
