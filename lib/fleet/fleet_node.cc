#include "lib/fleet/fleet_node.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Granularity of time-outs, retries and waiting answers.
constexpr Duration kStepPeriod = std::chrono::milliseconds(100);
// A hub that misses hosts tells the other hubs this often whom it hears.
constexpr Duration kSeenPeriod = std::chrono::milliseconds(1500);
// Pause before an own row that could not be written is written again; the hosts
// that are asked know of this one meanwhile.
constexpr Duration kRegisterPeriod = std::chrono::seconds(2);
// Rows of hosts that nobody heard of for this long are removed.
constexpr Duration kAbandonedAfter = std::chrono::seconds(60);
// Hosts that read the store at once where the hub cannot: with half of the
// hosts turned away one of so many is likely not to be.
constexpr size_t kProbers = 8;

constexpr int kOk = 200;

constexpr std::string_view kHostPrefix = "host/";
constexpr std::string_view kSeenPrefix = "seen/";

std::string HostKey(const HostId& host) {
  return std::string(kHostPrefix) + host.value();
}

bool HasPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

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
                     HttpCaller& caller,
                     MetadataStore& store,
                     const FleetOptions& options,
                     const HostInfo& self,
                     FleetObserver& observer)
    : m_reactor(reactor),
      m_caller(caller),
      m_store(store),
      m_options(options),
      m_observer(observer),
      m_roster(options.roster, self),
      m_news_server(m_roster, m_mirrors, options.pull_wait),
      m_register_at(reactor.Now()),
      m_seen_written(reactor.Now()),
      m_started(reactor.Now()),
      m_last_source(self.id),
      m_step(reactor),
      m_soon(reactor) {}

FleetNode::~FleetNode() = default;

void FleetNode::Start() {
  Register();
  for (const StoreTable table :
       {StoreTable::kOperator, StoreTable::kTargets, StoreTable::kHosts}) {
    ReadFeed(table);
  }
  PullSeeds();
  m_step.StartRepeating(kStepPeriod, [this] { Step(); });
}

void FleetNode::Leave() {
  m_roster.self().leaving = true;
  // The hub learns it from the next request, which is sent at once.
  m_pull = nullptr;
  Step();
}

void FleetNode::Register() {
  m_register_at = m_reactor.Now() + kRegisterPeriod;
  const TimePoint begun = m_reactor.Now();
  const Incarnation run = m_roster.self().incarnation;
  m_register = m_store.WriteHosts(
      {{HostKey(m_roster.self().id), Encode(m_roster.self())}},
      [this, begun, run](StoreStatus status, const std::string& error) {
        if (status != StoreStatus::kOk) {
          LogEvent(Event::kNotRegistered,
                   {{"status", ToString(status)}, {"reason", error}});
          return;
        }
        m_registered_run = run;
        m_roster.OnWritten(begun);
      });
}

void FleetNode::Step() {
  const TimePoint now = m_reactor.Now();
  if (m_registered_run != m_roster.self().incarnation && now >= m_register_at) {
    Register();
  }
  CheckOverdue(now);
  const HostId source = m_roster.ChooseSource(now);
  if (source == m_roster.self().id) {
    StepAsHub(now);
  } else {
    StepAsFollower(source, now);
  }
  if (!TablesKnown() && m_seed_pulls.empty()) {
    PullSeeds();
  }
  m_news_server.AnswerDue(now);
  CheckStore(now);
}

bool FleetNode::TablesKnown() const {
  return std::all_of(m_mirrors.begin(), m_mirrors.end(),
                     [](const TableMirror& mirror) { return mirror.known(); });
}

void FleetNode::StepAsFollower(const HostId& source, TimePoint now) {
  Feed& probe = m_feeds[static_cast<size_t>(StoreTable::kOperator)];
  const bool reads = probe.call != nullptr || probe.pause != nullptr;
  const bool known = TablesKnown();
  const Duration age =
      known ? now - mirror(StoreTable::kOperator).current_at() : Duration();
  if (age > m_options.probe_after) {
    const auto rank = m_roster.RankAsHub(now);
    if (!reads && rank && *rank < kProbers) {
      probe.answered = false;
      ReadFeed(StoreTable::kOperator);
    }
  } else if (known && reads) {
    // A new host reads the store until its first source has answered.
    StopFeeds();
  }
  if (m_pull == nullptr) {
    // Among hosts with old copies the next one is tried without a pause.
    const bool old = !known || age > m_options.stale_after;
    Pull(source, old ? Duration::zero() : m_options.pull_wait);
  }
}

void FleetNode::StepAsHub(TimePoint now) {
  NoteSource("no other host of higher rank answers");
  // One table tells whether the store answers again.
  const bool probes = m_roster.self().store_denied;
  for (const StoreTable table :
       {StoreTable::kOperator, StoreTable::kTargets, StoreTable::kHosts}) {
    const Feed& feed = m_feeds[static_cast<size_t>(table)];
    if (feed.call == nullptr && feed.pause == nullptr &&
        (!probes || table == StoreTable::kOperator)) {
      ReadFeed(table);
    }
  }
  WriteSeen(now);
}

void FleetNode::WriteSeen(TimePoint now) {
  if (m_write != nullptr || now - m_seen_written < kSeenPeriod ||
      now - m_started < kSeenPeriod) {
    return;
  }
  const bool alone = !m_roster.ShareValid(now + kSeenPeriod * 2);
  const std::vector<HostId> missing = m_roster.Missing(now);
  if (missing.empty() && !alone) {
    return;
  }
  m_seen_written = now;
  std::string seen = std::to_string(++m_seen_counter);
  for (const SeenHost& seen_host : m_roster.Askers(now)) {
    seen += " " + seen_host.host.id.value();
  }
  std::vector<StoreWrite> writes = {
      {std::string(kSeenPrefix) + m_roster.self().id.value(), seen}};
  for (const HostId& host : m_roster.Abandoned(kAbandonedAfter, now)) {
    writes.push_back({HostKey(host), std::nullopt});
    writes.push_back({std::string(kSeenPrefix) + host.value(), std::nullopt});
  }
  m_write = m_store.WriteHosts(
      writes, [this, now](StoreStatus status, const std::string& error) {
        if (status == StoreStatus::kOk) {
          m_roster.OnWritten(now);
        } else {
          LogEvent(Event::kNotRegistered,
                   {{"status", ToString(status)}, {"reason", error}});
        }
        // Calls end before their callback, so this does not end itself.
        m_write = nullptr;
      });
}

void FleetNode::PullSeeds() {
  m_seed_pulls.clear();
  for (const std::string& seed : m_options.seeds) {
    if (seed != m_roster.self().control_address) {
      PullFrom(seed, HostId(), Duration::zero());
    }
  }
}

void FleetNode::Pull(const HostId& host, Duration wait) {
  if (const HostInfo* found = m_roster.Find(host)) {
    PullFrom(found->control_address, host, wait);
  }
}

void FleetNode::PullFrom(const std::string& address,
                         const HostId& host,
                         Duration wait) {
  const TimePoint now = m_reactor.Now();
  PullRequest request;
  request.from = m_roster.self();
  for (size_t i = 0; i < kStoreTables; ++i) {
    request.have[i] = m_mirrors[i].version();
  }
  request.live_tag = m_asked_live_tag;
  request.wait = wait;
  request.seen = m_roster.Askers(now);
  CallOptions options;
  options.connect_limit = m_options.connect_limit;
  options.time_limit = wait + m_options.pull_grace;
  const std::vector<HttpHeader> headers = {
      {"Host", address}, {"Content-Type", "application/msgpack"}};
  auto call = m_caller.Call(
      address, SerializeRequest("POST", kPullPath, headers, Encode(request)),
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
                          TimePoint asked_at,
                          const CallResult& result) {
  if (!host.empty()) {
    m_pull = nullptr;
  }
  const TimePoint now = m_reactor.Now();
  Reason reason{result.error};
  std::optional<PullReply> reply;
  std::optional<FleetNews> news;
  if (result.ran == Ran::kRan && result.response.status == kOk) {
    reply = Decode<PullReply>(result.response.body, reason);
    news = reply ? Unpack(reply->news, reason) : std::nullopt;
  } else if (result.ran == Ran::kRan) {
    reason.text = "status " + std::to_string(result.response.status);
  }
  if (!news) {
    if (!host.empty()) {
      m_roster.OnFailed(host, now);
      LogEvent(Event::kPeerDead, {{"host", host}, {"reason", reason.text}});
    }
    return;
  }
  m_roster.OnAnswered(*reply, news->live, asked_at, now);
  // Another host's list may bear the same tag for the same hosts.
  m_asked_live_tag = reply->live_tag;
  const TimePoint before = mirror(StoreTable::kOperator).current_at();
  for (size_t i = 0; i < kStoreTables; ++i) {
    const PullReply::Copy& copy = reply->copies[i];
    if (copy.known) {
      news->tables[i].version = copy.version;
      ApplyUpdate(static_cast<StoreTable>(i), news->tables[i],
                  asked_at - copy.age);
    }
  }
  AnswerIfFresher(before);
  const PullReply::Copy& operators = reply->copies[0];
  if (operators.known &&
      now - (asked_at - operators.age) > m_options.stale_after) {
    m_roster.OnFailed(reply->from.id, now);
  } else {
    NoteSource("answers with fresh copies");
  }
  // Not from within the call that has just ended.
  m_soon.Start(Duration::zero(), [this] { Step(); });
}

void FleetNode::NoteSource(const std::string& why) {
  if (m_roster.source() == m_last_source) {
    return;
  }
  m_last_source = m_roster.source();
  m_observer.OnSourceChanged(m_last_source, why);
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
      m_roster.self().store_denied || !TablesKnown()) {
    return;
  }
  LogEvent(Event::kStoreCallFailed,
           {{"table", 0},
            {"status", "overdue"},
            {"reason", "no answer for " +
                           std::to_string(ToMillis(now - operators.begun)) +
                           " ms"}});
  OnStoreDenied();
}

void FleetNode::OnStoreDenied() {
  const TimePoint now = m_reactor.Now();
  m_roster.OnStoreDenied(now);
  m_news_server.AnswerAll(now);
}

void FleetNode::ReadFeed(StoreTable table) {
  const auto index = static_cast<size_t>(table);
  Feed& feed = m_feeds[index];
  feed.begun = m_reactor.Now();
  // The first read tells whether the store answers.
  const Duration wait =
      feed.answered ? m_options.feed_wait[index] : Duration::zero();
  feed.overdue_at = feed.begun + wait + m_options.feed_overdue;
  const auto callback = [this, table](StoreRead read) {
    OnFeed(table, std::move(read));
  };
  if (m_mirrors[index].known()) {
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
    m_roster.OnStoreAnswered();
    const TimePoint before = mirror(StoreTable::kOperator).current_at();
    ApplyUpdate(table, read.update, feed.begun);
    AnswerIfFresher(before);
    if (m_roster.IsHub()) {
      ReadFeedAfter(table, read.update.rows.empty()
                               ? Duration::zero()
                               : m_options.feed_pause[index]);
    } else if (table == StoreTable::kOperator && TablesKnown()) {
      // Whoever takes it for the hub now needs the targets too.
      ReadFeed(StoreTable::kTargets);
    }
    return;
  }
  if (read.status == StoreStatus::kHistoryLost) {
    LogEvent(Event::kConfigGap,
             {{"table", index}, {"have", m_mirrors[index].version()}});
    feed.begun = m_reactor.Now();
    feed.overdue_at = feed.begun + m_options.feed_overdue;
    feed.call = m_store.ReadTable(table, [this, table](StoreRead whole) {
      OnFeed(table, std::move(whole));
    });
    return;
  }
  LogEvent(Event::kStoreCallFailed, {{"table", index},
                                     {"status", ToString(read.status)},
                                     {"reason", read.error}});
  if (table == StoreTable::kOperator) {
    OnStoreDenied();
  }
  ReadFeedAfter(table, m_options.feed_retry);
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
    const bool probes = m_roster.self().store_denied;
    if (!mirror(table).known() ||
        (m_roster.IsHub() && (!probes || table == StoreTable::kOperator))) {
      ReadFeed(table);
    }
  });
}

void FleetNode::ApplyUpdate(StoreTable table,
                            const TableUpdate& update,
                            TimePoint at) {
  const auto index = static_cast<size_t>(table);
  const std::vector<std::string> keys = m_mirrors[index].Apply(update, at);
  if (table == StoreTable::kHosts) {
    m_roster.OnTableRead();
  }
  CheckStore(m_reactor.Now());
  if (table == StoreTable::kHosts) {
    // Rows tell of hosts first, so that none of these is taken for silent.
    OnHostRows(keys);
    m_roster.OnHostsCurrent(mirror(table).current_at());
  }
  if (keys.empty()) {
    return;
  }
  m_observer.OnRowsChanged(table, keys);
  // Many answers to each of many changes would take all of a hub's time; the
  // next step answers for all of them.
  if (!m_news_server.many_wait()) {
    m_news_server.AnswerDue(m_reactor.Now());
  }
}

void FleetNode::OnHostRows(const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  for (const std::string& key : keys) {
    const MirrorRow* row = mirror(StoreTable::kHosts).Find(key);
    if (HasPrefix(key, kHostPrefix)) {
      if (row == nullptr) {
        m_roster.OnRowRemoved(HostId(key.substr(kHostPrefix.size())));
        continue;
      }
      Reason reason;
      if (const auto host = Decode<HostInfo>(row->value, reason)) {
        m_roster.OnRow(*host, now);
      } else {
        LogEvent(Event::kBadMessage, {{"row", key}, {"reason", reason.text}});
      }
      continue;
    }
    if (row == nullptr || !HasPrefix(key, kSeenPrefix)) {
      continue;
    }
    m_roster.OnSeenElsewhere(HostId(key.substr(kSeenPrefix.size())), now);
    std::string_view rest = row->value;
    while (!rest.empty()) {
      const std::string_view word = rest.substr(0, rest.find(' '));
      rest.remove_prefix(std::min(rest.size(), word.size() + 1));
      m_roster.OnSeenElsewhere(HostId(std::string(word)), now);
    }
  }
}

void FleetNode::OnRequest(const std::shared_ptr<Exchange>& exchange) {
  m_news_server.OnRequest(exchange, m_reactor.Now());
}

void FleetNode::CheckStore(TimePoint now) {
  const TableMirror& operators = mirror(StoreTable::kOperator);
  if (!operators.known()) {
    return;
  }
  const Duration age = now - operators.current_at();
  if (age > m_options.lost_after && !m_lost_since) {
    m_lost_since = operators.current_at();
    m_observer.OnStoreLost("no host in reach has read it for " +
                           std::to_string(ToMillis(age)) + " ms");
  } else if (age <= m_options.lost_after && m_lost_since) {
    m_lost_since.reset();
    m_observer.OnStoreRegained();
  }
}

void FleetNode::AnswerIfFresher(TimePoint before) {
  // Each read of the store goes down to all hosts at once, so that copies are
  // hardly older at the last of them than at the hub.
  if (mirror(StoreTable::kOperator).current_at() > before) {
    m_news_server.AnswerAll(m_reactor.Now());
  }
}

}  // namespace applestand
