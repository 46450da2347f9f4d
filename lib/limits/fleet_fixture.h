#ifndef LIB_LIMITS_FLEET_FIXTURE_H_
#define LIB_LIMITS_FLEET_FIXTURE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "lib/contract_shares/share_manager.h"
#include "lib/limits/fleet_host.h"
#include "lib/limits/virtual_timeline.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand {

/// Simulates the share managers and limiters of several hosts in virtual time,
/// for tests and measurements. Each host has its own clock. Not thread-safe.
class FleetFixture {
 public:
  struct Options {
    uint32_t shares = 12;
    ShareManager::Options share;
    AccountLimiter::Options limit;
    Duration control_period = std::chrono::milliseconds(200);
    Duration entry_period = std::chrono::milliseconds(25);
    Duration table_delay = std::chrono::milliseconds(10);
    /// Time until the other hosts detect that a host has died.
    Duration detection_delay = std::chrono::seconds(3);
    /// If false, no loan messages are delivered, so that every host has only
    /// the tokens of its own shares.
    bool loans = true;
  };

  using Request = FleetHost::Request;

  /// Returns the delays of the copies of a message. Empty if it is lost.
  using Network = std::function<std::vector<Duration>(size_t from, size_t to)>;
  /// The outcome of one table call of a host. `delay` is the one-way delay.
  struct TableCall {
    Duration delay{};
    bool unreachable = false;
    bool response_lost = false;
  };
  /// Returns the outcome of the next table call of `host`.
  using TableCallPlanner = std::function<TableCall(size_t host)>;

  FleetFixture(Options options, Network network)
      : m_options(options), m_network(std::move(network)) {
    m_plan_table_call = [this](size_t) {
      return TableCall{m_options.table_delay, false, false};
    };
  }

  /// Adds a host and returns its index. `clock_offset` is added to virtual time
  /// to give the time on its clock.
  size_t AddHost(const HostId& id, Duration clock_offset) {
    auto host = std::make_unique<Host>();
    host->index = m_hosts.size();
    host->id = id;
    host->clock_offset = clock_offset;
    m_hosts.push_back(std::move(host));
    Host& added = *m_hosts.back();
    UpdatePeers();
    StartEntry(added);
    StartControl(added, false);
    return added.index;
  }

  void SetTableCallPlanner(TableCallPlanner planner) {
    m_plan_table_call = std::move(planner);
  }

  void SetConfig(const ConfigState& config) {
    m_config = config;
    for (const auto& host : m_hosts) {
      host->Run([this, &host = *host] { ApplyConfig(host); });
    }
  }

  void Freeze(size_t host) { m_hosts[host]->frozen = true; }

  void Unfreeze(size_t index) { m_hosts[index]->Unfreeze(); }

  /// Stops the host at once. It sends no message about this.
  void Kill(size_t index) {
    m_hosts[index]->dead = true;
    At(now() + m_options.detection_delay, [this] { UpdatePeers(); });
  }

  void RestartEntry(size_t index) {
    m_hosts[index]->Run([this, index] { StartEntry(*m_hosts[index]); });
  }

  void RestartControl(size_t index) {
    m_hosts[index]->Run([this, index] { StartControl(*m_hosts[index], true); });
  }

  void BeginStop(size_t index) {
    m_hosts[index]->Run(
        [this, index] { m_hosts[index]->share_manager->BeginStop(); });
  }

  /// Delivers a request to a host. A dead host never responds.
  void Arrive(size_t index, const Request& request) {
    m_hosts[index]->Run([this, index, request] {
      Decide(*m_hosts[index], request, std::nullopt);
    });
  }

  void RunUntil(TimePoint end) { m_timeline.RunUntil(end); }
  void At(TimePoint time, std::function<void()> task) {
    m_timeline.At(time, std::move(task));
  }
  TimePoint now() const { return m_timeline.now(); }

  /// Returns whether all live hosts apply the last configuration.
  bool ConfigInForce() const {
    for (const auto& host : m_hosts) {
      if (!host->dead && host->config_version != m_config.version) {
        return false;
      }
    }
    return true;
  }

  const HostId& id(size_t index) const { return m_hosts[index]->id; }
  bool IsFrozen(size_t index) const { return m_hosts[index]->frozen; }
  FakeTableService& table() { return m_table; }
  size_t hosts() const { return m_hosts.size(); }
  bool IsDead(size_t index) const { return m_hosts[index]->dead; }
  uint64_t messages() const { return m_messages; }
  uint64_t table_calls() const { return m_table_calls; }

  /// Returns whether the entry process of a host uses the share now.
  bool Uses(size_t index, ShareIndex share) const {
    const Host& host = *m_hosts[index];
    const Duration local = LocalNow(host).time_since_epoch();
    for (const OwnedShare& owned : host.limiter->grant().shares) {
      if (owned.index == share && local >= owned.from && local < owned.until) {
        return !host.dead;
      }
    }
    return false;
  }

  /// Returns the tokens of the account on all live hosts, without those in
  /// messages.
  double TokensInExistence(const ClientAccountId& account) {
    double sum = 0;
    for (const auto& host : m_hosts) {
      if (!host->dead) {
        sum += host->limiter->Available(account, LocalNow(*host));
      }
    }
    return sum;
  }

  size_t OwnedShares(size_t index) const {
    const Host& host = *m_hosts[index];
    return host.dead ? 0 : host.share_manager->OwnedCount(LocalNow(host));
  }

 private:
  using Host = FleetHost;

  TimePoint LocalNow(const Host& host) const {
    return now() + host.clock_offset;
  }

  void After(Host& host, Duration delay, const std::function<void()>& task) {
    At(now() + delay, [&host, task] { host.Run(task); });
  }

  void UpdatePeers() {
    m_members.clear();
    for (const auto& host : m_hosts) {
      if (!host->dead) {
        m_members.push_back(host->id);
      }
    }
    for (const auto& host : m_hosts) {
      if (!host->dead && host->limiter) {
        host->limiter->SetPeers(PeersOf(*host));
      }
    }
  }

  std::vector<HostId> PeersOf(const Host& self) const {
    std::vector<HostId> ids;
    for (const HostId& id : m_members) {
      if (id != self.id) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  void StartEntry(Host& host) {
    host.entry_incarnation = ++m_last_incarnation;
    host.waiting.clear();
    host.limiter = std::make_unique<AccountLimiter>(
        host.id, Incarnation(host.entry_incarnation), LocalNow(host),
        m_options.limit);
    ApplyConfig(host);
    host.limiter->SetPeers(PeersOf(host));
    EntryTick(host, host.entry_incarnation);
  }

  void ApplyConfig(Host& host) {
    host.limiter->ApplyContracts(LocalNow(host), m_config);
    host.config_version = m_config.version;
  }

  void EntryTick(Host& host, uint64_t incarnation) {
    if (incarnation != host.entry_incarnation) {
      return;
    }
    host.limiter->Tick(LocalNow(host));
    SendOutbox(host);
    After(host, m_options.entry_period,
          [this, &host, incarnation] { EntryTick(host, incarnation); });
  }

  void StartControl(Host& host, bool adopt) {
    host.control_incarnation = ++m_last_incarnation;
    host.share_manager = std::make_unique<ShareManager>(
        host.id, Incarnation(host.control_incarnation), m_options.shares,
        m_options.share);
    if (adopt) {
      host.share_manager->Adopt(LocalNow(host), host.limiter->grant());
    }
    ControlTick(host, host.control_incarnation);
  }

  void ControlTick(Host& host, uint64_t incarnation) {
    if (incarnation != host.control_incarnation) {
      return;
    }
    if (const auto action =
            host.share_manager->NextAction(LocalNow(host), m_members)) {
      CallTable(host, incarnation, *action);
    }
    const ShareGrant grant = host.share_manager->Grant(LocalNow(host));
    After(host, kLocalDelay, [this, &host, grant] {
      const ShareGrantApplied applied =
          host.limiter->ApplyGrant(LocalNow(host), grant);
      After(host, kLocalDelay,
            [&host, applied] { host.share_manager->OnGrantApplied(applied); });
    });
    After(host, m_options.control_period,
          [this, &host, incarnation] { ControlTick(host, incarnation); });
  }

  // A call takes effect after a delay, and its response arrives after the same
  // delay again. The host may freeze or die in between.
  void CallTable(Host& host, uint64_t incarnation, const ShareAction& action) {
    ++m_table_calls;
    const TableCall call = m_plan_table_call(host.index);
    After(host, call.delay, [this, &host, incarnation, action, call] {
      const bool is_read = action.writes.empty();
      ReadResult rows;
      TableStatus status = TableStatus::kUnavailable;
      if (is_read && !call.unreachable) {
        rows = m_table.Read(action.read_keys);
      }
      if (!is_read && !call.unreachable) {
        status = Transact(action.writes, call);
      }
      After(host, call.delay, [this, &host, incarnation, action, rows, status] {
        OnTableResult(host, incarnation, action, rows, status);
      });
    });
  }

  TableStatus Transact(const std::vector<RowWrite>& writes,
                       const TableCall& call) {
    if (!call.response_lost) {
      return m_table.Transact(writes);
    }
    // Takes effect long after the caller has received kUnknown.
    At(now() + call.delay * 3,
       [this, writes] { (void)m_table.Transact(writes); });
    return TableStatus::kUnknown;
  }

  void OnTableResult(Host& host,
                     uint64_t incarnation,
                     const ShareAction& action,
                     const ReadResult& rows,
                     TableStatus status) {
    if (incarnation != host.control_incarnation) {
      return;
    }
    if (action.writes.empty()) {
      host.share_manager->OnReadResult(LocalNow(host), action.id, rows);
      return;
    }
    host.share_manager->OnTransactResult(LocalNow(host), action.id, status);
  }

  void SendOutbox(Host& host) {
    for (const LoanMessage& message : host.limiter->TakeOutbox()) {
      Send(host, message.to, [this, request = message.request](Host& lender) {
        if (const auto reply =
                lender.limiter->OnLoanRequest(LocalNow(lender), request)) {
          Send(lender, request.borrower,
               [this, reply = *reply](Host& borrower) {
                 OnLoanReply(borrower, reply);
               });
        }
      });
    }
  }

  void Send(const Host& from,
            const HostId& to,
            const std::function<void(Host&)>& receive) {
    Host* target = nullptr;
    for (const auto& host : m_hosts) {
      if (host->id == to && !host->dead) {
        target = host.get();
      }
    }
    if (target == nullptr || !m_options.loans) {
      return;
    }
    ++m_messages;
    for (const Duration delay : m_network(from.index, target->index)) {
      After(*target, delay, [target, receive] { receive(*target); });
    }
  }

  void OnLoanReply(Host& host, const LoanReply& reply) {
    const auto account = host.limiter->OnLoanReply(LocalNow(host), reply);
    if (!account) {
      return;
    }
    std::vector<uint64_t> ids;
    for (const auto& [id, waiting] : host.waiting) {
      if (waiting.request.account == *account) {
        ids.push_back(id);
      }
    }
    for (const uint64_t id : ids) {
      Retry(host, id);
    }
  }

  void Retry(Host& host, uint64_t id) {
    const auto it = host.waiting.find(id);
    if (it == host.waiting.end()) {
      return;
    }
    const Host::Waiting waiting = it->second;
    host.waiting.erase(it);
    Decide(host, waiting.request, waiting.since);
  }

  void Decide(Host& host,
              const Request& request,
              std::optional<TimePoint> since) {
    const TimePoint now = LocalNow(host);
    const LimitDecision decision =
        host.limiter->TryTake(request.account, now, since);
    if (decision.kind != LimitDecision::Kind::kWaitForLoan) {
      request.done(decision.kind == LimitDecision::Kind::kAdmitted);
      return;
    }
    SendOutbox(host);
    const uint64_t id = ++m_last_waiting;
    host.waiting[id] = {request, since.value_or(now)};
    After(host, decision.wait_until - now,
          [this, &host, id] { Retry(host, id); });
  }

  static constexpr Duration kLocalDelay = std::chrono::milliseconds(1);

  const Options m_options;
  const Network m_network;
  TableCallPlanner m_plan_table_call;
  FakeTableService m_table;
  ConfigState m_config;
  VirtualTimeline m_timeline;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<HostId> m_members;
  uint64_t m_last_incarnation = 0;
  uint64_t m_last_waiting = 0;
  uint64_t m_messages = 0;
  uint64_t m_table_calls = 0;
};

}  // namespace applestand

#endif  // LIB_LIMITS_FLEET_FIXTURE_H_
