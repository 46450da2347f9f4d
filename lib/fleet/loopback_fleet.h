#ifndef LIB_FLEET_LOOPBACK_FLEET_H_
#define LIB_FLEET_LOOPBACK_FLEET_H_

// Fleets of hosts in one process, for tests.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lib/fleet/fleet_node.h"

namespace applestand {

/// The store's contents, shared by the hosts' views of the store.
struct SharedRows {
  std::map<StoreTable, std::map<std::string, MirrorRow>> tables;
  uint64_t version = 0;
  StoreEra era;

  void Put(StoreTable table, const std::string& key, const std::string& value) {
    tables[table][key] = {key, value, StoreVersion(++version, era), false};
  }
};

/// One host's access to the store.
class InMemoryStore : public MetadataStore {
 public:
  enum class Mode { kAnswers, kRefuses, kSilent };

  /// Responses take `delay`.
  InMemoryStore(Reactor& reactor, SharedRows& rows, Duration delay)
      : m_reactor(reactor), m_rows(rows), m_delay(delay) {}

  Mode mode = Mode::kAnswers;

  std::unique_ptr<StoreCall> ReadTable(StoreTable table,
                                       ReadCallback callback) override {
    return ReadChanges(table, StoreVersion(), Duration::zero(), callback);
  }
  std::unique_ptr<StoreCall> ReadChanges(StoreTable table,
                                         StoreVersion version,
                                         Duration wait,
                                         ReadCallback callback) override {
    const auto answer = [this, table, version, callback] {
      StoreRead read;
      if (mode == Mode::kRefuses) {
        read.status = StoreStatus::kRefused;
        read.error = "status 503";
      } else if (version != StoreVersion() && version.era() != m_rows.era) {
        read.status = StoreStatus::kHistoryLost;
        read.error = "the store came back from an older copy";
      } else {
        read.status = StoreStatus::kOk;
        read.update.is_snapshot = version == StoreVersion();
        read.update.version = StoreVersion(m_rows.version, m_rows.era);
        for (const auto& [key, row] : m_rows.tables[table]) {
          if (row.version > version) {
            read.update.rows.push_back(row);
          }
        }
      }
      callback(std::move(read));
    };
    const auto started_at = m_reactor.Now();
    return std::make_unique<Call>(m_reactor, m_delay, [=] {
      const bool changed =
          version.era() != m_rows.era || m_rows.version > version.number();
      const bool due = changed || m_reactor.Now() - started_at >= wait;
      if (mode == Mode::kSilent || (mode == Mode::kAnswers && !due)) {
        return false;
      }
      answer();
      return true;
    });
  }
  std::unique_ptr<StoreCall> WriteHosts(const std::vector<StoreWrite>& writes,
                                        WriteCallback callback) override {
    return std::make_unique<Call>(m_reactor, m_delay, [=] {
      if (mode == Mode::kSilent) {
        return false;
      }
      if (mode == Mode::kRefuses) {
        callback(StoreStatus::kRefused, "status 503");
        return true;
      }
      for (const StoreWrite& write : writes) {
        if (write.value) {
          m_rows.Put(StoreTable::kHosts, write.key, *write.value);
        }
      }
      callback(StoreStatus::kOk, "");
      return true;
    });
  }

 private:
  /// Calls `answer` after the delay, and again until it returns true.
  class Call : public StoreCall {
   public:
    Call(Reactor& reactor, Duration delay, std::function<bool()> answer)
        : m_answer(std::move(answer)), m_timer(reactor) {
      RetryAfter(delay);
    }

   private:
    static constexpr Duration kRetryPeriod = std::chrono::milliseconds(4);

    void RetryAfter(Duration delay) {
      m_timer.Start(delay, [this] {
        // The callback may destroy this call.
        const auto answer = m_answer;
        const std::weak_ptr<int> alive = m_alive;
        if (!answer() && !alive.expired()) {
          RetryAfter(kRetryPeriod);
        }
      });
    }

    std::function<bool()> m_answer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    Timer m_timer;
  };

  Reactor& m_reactor;
  SharedRows& m_rows;
  const Duration m_delay;
};

/// Round-trip times. A region consists of `zones_per_region` zones; the store
/// is in the first one.
struct LinkDelays {
  int zones_per_region = 1;
  Duration store{std::chrono::milliseconds(4)};
  Duration between_zones{};
  Duration between_regions{};

  Duration ToStore(int zone) const {
    return store + (zone < zones_per_region ? between_zones : between_regions);
  }
  Duration RoundTrip(const ZoneId& a, const ZoneId& b) const {
    const auto region = [this](const ZoneId& zone) {
      return std::stoi(zone.value().substr(1)) / zones_per_region;
    };
    if (region(a) != region(b)) {
      return between_regions;
    }
    return a == b ? Duration::zero() : between_zones;
  }
};

/// The links between hosts.
struct HostLinks {
  LinkDelays delays;
  /// Hosts that neither get responses from other hosts nor respond to them.
  std::set<HostId> isolated;
};

/// A host whose links to the others and whose access to the store can fail.
class LoopbackHost : public FleetObserver {
 public:
  LoopbackHost(Reactor& reactor,
               SharedRows& rows,
               const HostLinks& links,
               int number,
               int zones)
      : m_handler(reactor, links),
        m_http_client(reactor),
        store(reactor, rows, links.delays.ToStore(number % zones)),
        m_bytes(size_t{16} << 20) {
    ListenerLimits limits;
    limits.request.max_head_bytes = 8192;
    limits.request.max_body_bytes = size_t{1} << 20;
    m_listener = std::make_unique<HttpListener>(reactor, "127.0.0.1:0", limits,
                                                m_bytes, m_handler);
    m_listener->Listen();
    HostInfo self;
    self.id = HostId("h" + std::to_string(number));
    self.incarnation = Incarnation(1);
    self.zone = ZoneId("z" + std::to_string(number % zones));
    self.control_address = m_listener->address();
    // Hosts rank in the order of their numbers.
    self.cpu_cores = 1.0 / (number + 1);
    FleetOptions options;
    options.membership.max_direct_hosts = 8;
    node = std::make_unique<FleetNode>(reactor, m_http_client, store, options,
                                       self, *this);
    m_handler.SetNode(*node);
    node->Start();
  }

  void OnRowsChanged(StoreTable, const std::vector<std::string>&) override {}
  void OnStoreRegained() override {}
  void OnStoreRestored() override {}
  void OnStoreLost(const std::string&) override { ++lost; }
  void OnSourceChanged(const HostId&, const std::string&) override {}

  bool Has(StoreTable table, const std::string& key) const {
    return node->mirror(table).Find(key) != nullptr;
  }

 private:
  /// Passes requests to the host as the links allow.
  class Handler : public RequestHandler {
   public:
    Handler(Reactor& reactor, const HostLinks& links)
        : m_reactor(reactor), m_links(links) {}
    void SetNode(FleetNode& node) { m_node = &node; }
    void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
      Reason reason;
      const auto request =
          Decode<PullRequest>(exchange->request().body, reason);
      if (m_node == nullptr || !request) {
        return;
      }
      const HostInfo& self = m_node->membership().self();
      if (m_links.isolated.count(request->from.id) > 0 ||
          m_links.isolated.count(self.id) > 0) {
        m_held.push_back(exchange);
        return;
      }
      const Duration delay =
          m_links.delays.RoundTrip(request->from.zone, self.zone);
      auto& timer = m_delayed.emplace_back(std::make_unique<Timer>(m_reactor));
      timer->Start(delay, [this, exchange] { m_node->OnRequest(exchange); });
      if (m_delayed.size() > kMaxDelayed) {
        m_delayed.pop_front();
      }
    }

   private:
    // Far more than the requests that a host gets within a round trip.
    static constexpr size_t kMaxDelayed = 1000;

    Reactor& m_reactor;
    const HostLinks& m_links;
    FleetNode* m_node = nullptr;
    // Requests without a response, held so that their connections stay open.
    std::vector<std::shared_ptr<ServerExchange>> m_held;
    std::list<std::unique_ptr<Timer>> m_delayed;
  };

  Handler m_handler;
  HttpClientPool m_http_client;

 public:
  InMemoryStore store;
  int lost = 0;
  std::unique_ptr<FleetNode> node;

 private:
  ByteBudget m_bytes;
  std::unique_ptr<HttpListener> m_listener;
};

/// Hosts that exchange updates over loopback connections, and a metadata store
/// in memory. Not thread-safe.
class LoopbackFleet {
 public:
  /// Starts the hosts, of which host number N is in zone N modulo `zones`, and
  /// waits until all of them have the operators' first row "config" and count
  /// each other.
  LoopbackFleet(int hosts, int zones, const LinkDelays& delays = {})
      : links{delays, {}} {
    rows.Put(StoreTable::kOperator, "config", "first");
    for (int i = 0; i < hosts; ++i) {
      m_hosts.push_back(
          std::make_unique<LoopbackHost>(m_reactor, rows, links, i, zones));
    }
    RunUntil([&] {
      return AllHave(StoreTable::kOperator, "config") && AllCounted();
    });
  }

  LoopbackHost& At(size_t host) { return *m_hosts[host]; }
  size_t size() const { return m_hosts.size(); }

  bool AllHave(StoreTable table, const std::string& key) const {
    return std::all_of(m_hosts.begin(), m_hosts.end(),
                       [&](const auto& host) { return host->Has(table, key); });
  }
  int Lost() const {
    int lost = 0;
    for (const auto& host : m_hosts) {
      lost += host->lost;
    }
    return lost;
  }

  void RunUntil(const std::function<bool()>& done) {
    Timer guard(m_reactor);
    guard.Start(std::chrono::seconds(20), [&] { m_reactor.Stop(); });
    Timer poll(m_reactor);
    poll.StartRepeating(std::chrono::milliseconds(5), [&] {
      if (done()) {
        m_reactor.Stop();
      }
    });
    m_reactor.Run();
    REQUIRE(done());
  }
  TimePoint Now() const { return m_reactor.Now(); }
  void RunFor(Duration time) {
    const TimePoint end = m_reactor.Now() + time;
    RunUntil([&] { return m_reactor.Now() >= end; });
  }

  SharedRows rows;
  HostLinks links;

 private:
  // Whether every host counts all hosts.
  bool AllCounted() const {
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
      return host->node->membership().CountedHosts(m_reactor.Now()) ==
             m_hosts.size();
    });
  }

  Reactor m_reactor;
  std::vector<std::unique_ptr<LoopbackHost>> m_hosts;
};

}  // namespace applestand

#endif  // LIB_FLEET_LOOPBACK_FLEET_H_
