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
// Pause before an own row that could not be written is written again.
constexpr Duration kRegisterPeriod = std::chrono::seconds(1);
// Rows of hosts that nobody heard of for this long are removed.
constexpr Duration kAbandonedAfter = std::chrono::seconds(60);
// Waiting hosts that are told of each change as it comes.
constexpr size_t kAnsweredAtOnce = 16;
// How often a list of many live hosts is made anew.
constexpr Duration kLivePeriod = std::chrono::milliseconds(700);
constexpr size_t kMaxNotices = 256;

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
      m_register_at(reactor.Now()),
      m_seen_written(reactor.Now()),
      m_started(reactor.Now()),
      m_last_hub(self.id),
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

void FleetNode::Notify(const std::string& notice) {
  m_own_notices.push_back(notice);
  TakeNotice(m_roster.self().id, notice);
}

void FleetNode::TakeNotice(const HostId& from, const std::string& notice) {
  m_notices.push_back({++m_notice_number, from, notice});
  if (m_notices.size() > kMaxNotices) {
    m_notices.pop_front();
  }
}

void FleetNode::Register() {
  m_register_at = m_reactor.Now() + kRegisterPeriod;
  const TimePoint begun = m_reactor.Now();
  m_register = m_store.WriteHosts(
      {{HostKey(m_roster.self().id), Encode(m_roster.self())}},
      [this, begun](StoreStatus status, const std::string& error) {
        if (status != StoreStatus::kOk) {
          LogEvent(Event::kNotRegistered,
                   {{"status", ToString(status)}, {"reason", error}});
          return;
        }
        m_registered = true;
        m_roster.OnWritten(begun);
      });
}

void FleetNode::Step() {
  const TimePoint now = m_reactor.Now();
  if (!m_registered && now >= m_register_at) {
    Register();
  }
  const bool tables_known =
      std::all_of(m_mirrors.begin(), m_mirrors.end(),
                  [](const TableMirror& mirror) { return mirror.known(); });
  const HostId hub = m_roster.ChooseHub(now);
  if (hub == m_roster.self().id) {
    StepAsHub(now);
  } else {
    // A new host reads the store until its first hub has answered.
    if (tables_known && !Stale(now)) {
      StopFeeds();
    }
    if (m_pull == nullptr) {
      Pull(hub, tables_known ? m_options.pull_wait : Duration::zero());
    }
  }
  if (!tables_known && m_seed_pulls.empty()) {
    PullSeeds();
  }
  AnswerWaiting(now);
  CheckStore(now);
}

bool FleetNode::Stale(TimePoint now) const {
  const TableMirror& operators = mirror(StoreTable::kOperator);
  return !operators.known() ||
         now - operators.current_at() > m_options.stale_after;
}

void FleetNode::StepAsHub(TimePoint now) {
  NoteHub("no other host of higher rank answers");
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
  for (const HostInfo& host : m_roster.Askers(now)) {
    seen += " " + host.id.value();
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
    m_pull_from = host;
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
  request.notices = std::exchange(m_own_notices, {});
  CallOptions options;
  options.connect_limit = m_options.connect_limit;
  options.time_limit = wait + m_options.pull_grace;
  const std::vector<HttpHeader> headers = {
      {"Host", address}, {"Content-Type", "application/json"}};
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
  constexpr int kOk = 200;
  if (result.ran == Ran::kRan && result.response.status == kOk) {
    reply = DecodePullReply(result.response.body, reason);
  } else if (result.ran == Ran::kRan) {
    reason.text = "status " + std::to_string(result.response.status);
  }
  if (!reply) {
    if (!host.empty()) {
      m_roster.OnFailed(host, now);
      LogEvent(Event::kPeerDead, {{"host", host}, {"reason", reason.text}});
    }
    return;
  }
  m_roster.OnAnswered(*reply, asked_at, now);
  // Another host's list may bear the same tag for the same hosts.
  m_asked_live_tag = reply->live_tag;
  for (size_t i = 0; i < kStoreTables; ++i) {
    const PullReply::Table& table = reply->tables[i];
    if (table.known) {
      ApplyUpdate(static_cast<StoreTable>(i), table.update,
                  asked_at - table.age);
    }
  }
  for (const std::string& notice : reply->notices) {
    m_observer.OnNotice(notice);
    TakeNotice(reply->from.id, notice);
  }
  if (reply->reads_store && reply->tables[0].known &&
      now - (asked_at - reply->tables[0].age) > m_options.stale_after) {
    m_roster.OnFailed(reply->from.id, now);
  } else {
    NoteHub("answers with fresh copies");
  }
  // Not from within the call that has just ended.
  m_soon.Start(Duration::zero(), [this] { Step(); });
}

void FleetNode::NoteHub(const std::string& why) {
  if (m_roster.hub() == m_last_hub) {
    return;
  }
  m_last_hub = m_roster.hub();
  m_observer.OnHubChanged(m_last_hub, why);
}

void FleetNode::StopFeeds() {
  for (Feed& feed : m_feeds) {
    feed.call = nullptr;
    feed.pause = nullptr;
  }
}

void FleetNode::ReadFeed(StoreTable table) {
  const auto index = static_cast<size_t>(table);
  Feed& feed = m_feeds[index];
  feed.begun = m_reactor.Now();
  const auto callback = [this, table](StoreRead read) {
    OnFeed(table, std::move(read));
  };
  if (m_mirrors[index].known()) {
    feed.call = m_store.ReadChanges(table, m_mirrors[index].version(),
                                    m_options.feed_wait[index], callback);
  } else {
    feed.call = m_store.ReadTable(table, callback);
  }
}

void FleetNode::OnFeed(StoreTable table, StoreRead read) {
  const auto index = static_cast<size_t>(table);
  Feed& feed = m_feeds[index];
  feed.call = nullptr;
  if (read.status == StoreStatus::kOk) {
    m_roster.OnStoreAnswered();
    ApplyUpdate(table, read.update, feed.begun);
    if (m_roster.IsHub()) {
      ReadFeed(table);
    }
    return;
  }
  if (read.status == StoreStatus::kHistoryLost) {
    LogEvent(Event::kConfigGap,
             {{"table", index}, {"have", m_mirrors[index].version()}});
    feed.call = m_store.ReadTable(table, [this, table](StoreRead whole) {
      OnFeed(table, std::move(whole));
    });
    feed.begun = m_reactor.Now();
    return;
  }
  LogEvent(Event::kStoreCallFailed, {{"table", index},
                                     {"status", ToString(read.status)},
                                     {"reason", read.error}});
  if (table == StoreTable::kOperator) {
    m_roster.OnStoreDenied(m_reactor.Now());
  }
  feed.pause = std::make_unique<Timer>(m_reactor);
  feed.pause->Start(m_options.feed_retry, [this, table] {
    // Step begins the next read where this host is still the hub, or where it
    // never read the table.
    m_feeds[static_cast<size_t>(table)].pause = nullptr;
    if (!mirror(table).known()) {
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
  if (keys.empty()) {
    return;
  }
  if (table == StoreTable::kHosts) {
    OnHostRows(keys);
  }
  m_observer.OnRowsChanged(table, keys);
  // Many answers to each of many changes would take all of a hub's time; the
  // next step answers for all of them.
  if (m_waiting.size() <= kAnsweredAtOnce) {
    AnswerWaiting(m_reactor.Now());
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
      if (const auto host = DecodeHost(row->value, reason)) {
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

void FleetNode::OnRequest(const std::shared_ptr<Exchange>& exchange) {
  Reason reason;
  auto request = DecodePullRequest(exchange->request().body, reason);
  if (!request) {
    constexpr int kBadRequest = 400;
    LogEvent(Event::kBadMessage,
             {{"from", exchange->request().peer}, {"reason", reason.text}});
    exchange->Respond(JsonResponse(kBadRequest, "{}"));
    return;
  }
  const TimePoint now = m_reactor.Now();
  m_roster.OnAsked(request->from, now);
  for (const HostInfo& host : request->seen) {
    m_roster.OnAsked(host, now);
  }
  for (const std::string& notice : request->notices) {
    m_observer.OnNotice(notice);
    TakeNotice(request->from.id, notice);
  }
  const Duration wait = std::min(request->wait, m_options.pull_wait);
  m_waiting.push_back({exchange, std::move(*request), now, now + wait});
  AnswerWaiting(now);
}

bool FleetNode::HasNewsFor(const Waiting& waiting,
                           const std::string& live_tag) const {
  for (size_t i = 0; i < kStoreTables; ++i) {
    if (m_mirrors[i].known() &&
        waiting.request.have[i] < m_mirrors[i].last_change()) {
      return true;
    }
  }
  if (waiting.request.live_tag != live_tag) {
    return true;
  }
  const auto told = m_told.find(waiting.request.from.id);
  const uint64_t number = told == m_told.end() ? 0 : told->second;
  return std::any_of(
      m_notices.begin(), m_notices.end(), [&](const Notice& notice) {
        return notice.number > number && notice.from != waiting.request.from.id;
      });
}

void FleetNode::RefreshLive(TimePoint now) {
  // While many hosts come or go each of them would be told of each other one.
  if (m_waiting.size() > kAnsweredAtOnce && m_live_at != TimePoint::min() &&
      now - m_live_at < kLivePeriod) {
    return;
  }
  m_live_at = now;
  m_live = m_roster.LiveHosts(now);
  m_live_tag = m_roster.LiveTag(now);
}

void FleetNode::AnswerWaiting(TimePoint now) {
  if (m_waiting.empty()) {
    return;
  }
  RefreshLive(now);
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (it->exchange->gone()) {
      it = m_waiting.erase(it);
    } else if (now >= it->answer_by || HasNewsFor(*it, m_live_tag)) {
      const Waiting waiting = std::move(*it);
      it = m_waiting.erase(it);
      Answer(waiting, now);
    } else {
      ++it;
    }
  }
}

void FleetNode::Answer(const Waiting& waiting, TimePoint now) {
  PullReply reply;
  reply.from = m_roster.self();
  reply.reads_store = m_roster.IsHub();
  for (size_t i = 0; i < kStoreTables; ++i) {
    PullReply::Table& table = reply.tables[i];
    table.known = m_mirrors[i].known();
    if (table.known) {
      table.update = m_mirrors[i].ChangesSince(waiting.request.have[i]);
      table.age = waiting.came - m_mirrors[i].current_at();
    }
  }
  reply.live_tag = m_live_tag;
  if (reply.live_tag != waiting.request.live_tag) {
    reply.live = m_live;
  }
  reply.counted = m_roster.Counted(now);
  uint64_t& told = m_told[waiting.request.from.id];
  for (const Notice& notice : m_notices) {
    if (notice.number > told && notice.from != waiting.request.from.id) {
      reply.notices.push_back(notice.text);
    }
  }
  told = m_notice_number;
  constexpr int kOk = 200;
  waiting.exchange->Respond(JsonResponse(kOk, Encode(reply)));
}

}  // namespace applestand
