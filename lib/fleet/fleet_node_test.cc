// Runs whole fleets of hosts on loopback. Each host's access to the simulated
// metadata store can be made to fail on its own.

#include "lib/fleet/fleet_node.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum time from the store's confirmation of an operator's change until
// every host that reaches the store has it.
constexpr Duration kConfigBound = milliseconds(2500);

/// The store's contents, shared by the hosts' views of the store.
struct SharedRows {
  std::map<StoreTable, std::map<std::string, MirrorRow>> tables;
  uint64_t version = 0;

  void Put(StoreTable table, const std::string& key, const std::string& value) {
    tables[table][key] = {key, value, StoreVersion(++version), false};
  }
};

/// One host's access to the store.
class InMemoryStore : public MetadataStore {
 public:
  enum class Mode { kAnswers, kRefuses, kSilent };

  InMemoryStore(Reactor& reactor, SharedRows& rows)
      : m_reactor(reactor), m_rows(rows) {}

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
      } else {
        read.status = StoreStatus::kOk;
        read.update.is_snapshot = version == StoreVersion();
        read.update.version = StoreVersion(m_rows.version);
        for (const auto& [key, row] : m_rows.tables[table]) {
          if (row.version > version) {
            read.update.rows.push_back(row);
          }
        }
      }
      callback(std::move(read));
    };
    const auto started_at = m_reactor.Now();
    return std::make_unique<Call>(m_reactor, [=] {
      const bool changed = m_rows.version > version.number();
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
    return std::make_unique<Call>(m_reactor, [=] {
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
  /// Retries `answer` every 4 ms until it returns true.
  class Call : public StoreCall {
   public:
    Call(Reactor& reactor, std::function<bool()> answer)
        : m_answer(std::move(answer)), m_timer(reactor) {
      Retry();
    }

   private:
    void Retry() {
      m_timer.Start(milliseconds(4), [this] {
        // The callback may destroy this call.
        const auto answer = m_answer;
        const std::weak_ptr<int> alive = m_alive;
        if (!answer() && !alive.expired()) {
          Retry();
        }
      });
    }

    std::function<bool()> m_answer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    Timer m_timer;
  };

  Reactor& m_reactor;
  SharedRows& m_rows;
};

class Host : public FleetObserver {
 public:
  /// Hosts in `isolated` neither get responses from other hosts nor respond to
  /// them.
  Host(Reactor& reactor,
       SharedRows& rows,
       const std::set<HostId>& isolated,
       int number,
       int zones)
      : m_handler(isolated),
        m_http_client(reactor),
        store(reactor, rows),
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
  class Handler : public RequestHandler {
   public:
    explicit Handler(const std::set<HostId>& isolated) : m_isolated(isolated) {}
    void SetNode(FleetNode& node) { m_node = &node; }
    void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
      Reason reason;
      const auto request =
          Decode<PullRequest>(exchange->request().body, reason);
      if (m_node == nullptr) {
        return;
      }
      if (m_isolated.count(request->from.id) > 0 ||
          m_isolated.count(m_node->membership().self().id) > 0) {
        m_held.push_back(exchange);
        return;
      }
      m_node->OnRequest(exchange);
    }

   private:
    const std::set<HostId>& m_isolated;
    FleetNode* m_node = nullptr;
    // Requests without a response, held so that their connections stay open.
    std::vector<std::shared_ptr<ServerExchange>> m_held;
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

class Fleet {
 public:
  Fleet(int hosts, int zones) {
    rows.Put(StoreTable::kOperator, "config", "first");
    for (int i = 0; i < hosts; ++i) {
      m_hosts.push_back(
          std::make_unique<Host>(m_reactor, rows, isolated, i, zones));
    }
    RunUntil([&] {
      return AllHave(StoreTable::kOperator, "config") && AllCounted();
    });
  }

  Host& At(size_t host) { return *m_hosts[host]; }
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
    guard.Start(seconds(20), [&] { m_reactor.Stop(); });
    Timer poll(m_reactor);
    poll.StartRepeating(milliseconds(5), [&] {
      if (done()) {
        m_reactor.Stop();
      }
    });
    m_reactor.Run();
    REQUIRE(done());
  }
  void RunFor(Duration time) {
    const TimePoint end = m_reactor.Now() + time;
    RunUntil([&] { return m_reactor.Now() >= end; });
  }

  SharedRows rows;
  std::set<HostId> isolated;

 private:
  // Whether every host counts all hosts.
  bool AllCounted() const {
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
      return host->node->membership().CountedHosts(m_reactor.Now()) ==
             m_hosts.size();
    });
  }

  Reactor m_reactor;
  std::vector<std::unique_ptr<Host>> m_hosts;
};

}  // namespace

TEST_CASE(
    "updates reach all hosts, also through the first-ranked host of a zone") {
  Fleet fleet(12, 3);
  fleet.RunFor(milliseconds(1500));
  fleet.rows.Put(StoreTable::kTargets, "t1", "row");
  fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
  CHECK(fleet.At(0).node->membership().IsHub());
  CHECK(fleet.At(1).node->membership().source() == HostId("h0"));
  CHECK(fleet.At(4).node->membership().source() == HostId("h1"));
  CHECK(fleet.Lost() == 0);
}

TEST_CASE(
    "updates reach all hosts while the store fails for the first-ranked ones") {
  // The store fails for the hub and the hosts that rank next. When these probed
  // it one after another, they took 2.4 s to detect the failure, and removals
  // were delayed until the store came back.
  using Mode = InMemoryStore::Mode;
  for (const Mode mode : {Mode::kRefuses, Mode::kSilent}) {
    for (const int zones : {1, 3}) {
      Fleet fleet(12, zones);
      fleet.RunFor(milliseconds(1000));
      for (size_t i = 0; i < 5; ++i) {
        fleet.At(i).store.mode = mode;
      }
      fleet.RunFor(milliseconds(300));
      fleet.rows.Put(StoreTable::kTargets, "t1", "row");
      fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
      fleet.RunFor(milliseconds(1500));
      CHECK(fleet.Lost() == 0);
    }
  }
}

TEST_CASE("all hosts detect that the store answers no host, and its recovery") {
  Fleet fleet(5, 1);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.At(i).store.mode = InMemoryStore::Mode::kSilent;
  }
  fleet.RunUntil([&] { return fleet.Lost() == 5; });
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.At(i).store.mode = InMemoryStore::Mode::kAnswers;
  }
  fleet.rows.Put(StoreTable::kTargets, "t1", "row");
  fleet.RunUntil([&] { return fleet.AllHave(StoreTable::kTargets, "t1"); });
}

// Guards against hosts of a large fleet that learn of operators' changes only
// by way of other hosts.
TEST_CASE(
    "a host that reaches the store but no other host has changes in time") {
  Fleet fleet(30, 3);
  fleet.RunFor(milliseconds(1000));
  const size_t last = fleet.size() - 1;
  fleet.isolated.insert(fleet.At(last).node->membership().self().id);
  for (const int change : {1, 2, 3}) {
    const std::string key = "change-" + std::to_string(change);
    fleet.rows.Put(StoreTable::kOperator, key, "row");
    fleet.RunFor(kConfigBound);
    CHECK(fleet.At(last).Has(StoreTable::kOperator, key));
    CHECK(fleet.AllHave(StoreTable::kOperator, key));
  }
}

// Guards against hosts that fail over from one lost source to the next for
// longer than a change may take.
TEST_CASE("hosts have changes in time after most others have been lost") {
  Fleet fleet(30, 3);
  fleet.RunFor(milliseconds(1000));
  // All but the hosts that rank last.
  const size_t lost = fleet.size() - 4;
  for (size_t i = 0; i < lost; ++i) {
    fleet.isolated.insert(fleet.At(i).node->membership().self().id);
    fleet.At(i).store.mode = InMemoryStore::Mode::kSilent;
  }
  fleet.rows.Put(StoreTable::kOperator, "change", "row");
  fleet.RunFor(kConfigBound);
  for (size_t i = lost; i < fleet.size(); ++i) {
    CHECK(fleet.At(i).Has(StoreTable::kOperator, "change"));
  }
}

}  // namespace applestand
