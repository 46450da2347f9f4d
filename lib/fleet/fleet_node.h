#ifndef LIB_FLEET_FLEET_NODE_H_
#define LIB_FLEET_FLEET_NODE_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/metadata_store.h"
#include "lib/fleet/news_server.h"
#include "lib/fleet/roster.h"
#include "lib/relay/http_caller.h"
#include "lib/relay/http_listener.h"

namespace applestand {

/// Told what changes in the fleet and in the store.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;
  /// Rows of a table have changed or were removed.
  virtual void OnRowsChanged(StoreTable table,
                             const std::vector<std::string>& keys) = 0;
  /// The store answers again, after a time in which it did not.
  virtual void OnStoreRegained() = 0;
  virtual void OnStoreLost(const std::string& error) = 0;
  /// This host gets its news from another host, or, where `source` is itself,
  /// reads the store.
  virtual void OnSourceChanged(const HostId& source,
                               const std::string& why) = 0;
};

struct FleetOptions {
  RosterOptions roster;
  /// Control addresses of hosts that may be there at the start.
  std::vector<std::string> seeds;
  /// Longest time that a request for news is held back: somewhat longer than
  /// a hub's read, after which it is answered in any case.
  Duration pull_wait = std::chrono::milliseconds(600);
  /// A host that asks needs an answer within this time beyond the wait.
  Duration pull_grace = std::chrono::milliseconds(500);
  Duration connect_limit = std::chrono::milliseconds(300);
  /// Longest time that the store holds back a read of changes, by table. The
  /// first bounds how late hosts are sure of what operators confirmed.
  std::array<Duration, kStoreTables> feed_wait = {
      std::chrono::milliseconds(500), std::chrono::seconds(1),
      std::chrono::seconds(3)};
  /// Pause after a read that brought changes, by table, so that many changes
  /// take few calls. Operators' changes are passed on without one.
  std::array<Duration, kStoreTables> feed_pause = {
      Duration::zero(), std::chrono::milliseconds(150),
      std::chrono::milliseconds(250)};
  /// Pause after a read that the store turned away.
  Duration feed_retry = std::chrono::milliseconds(500);
  /// A read that is not answered within this time, beyond its wait, is taken
  /// for a sign that the store does not answer this host: some more than a slow
  /// store takes, 80 times its usual 4 ms and two ways between regions.
  Duration feed_overdue = std::chrono::milliseconds(600);
  /// The next hosts in order read the store too where their copy of operators'
  /// rows is older: on a calm day it is 1.2 s old at most, a hub's read and the
  /// wait for the next one.
  Duration probe_after = std::chrono::milliseconds(1400);
  /// A host whose copy of operators' rows is older is not followed: twice the
  /// wait of the read, the wait of a request, and a slow store's answers.
  Duration stale_after = std::chrono::milliseconds(1800);
  /// The store is out of reach where no host had a newer copy than this.
  Duration lost_after = std::chrono::milliseconds(2800);
};

/// This host's part in the fleet: follows the store's tables, by itself as the
/// hub or through another host, and answers hosts that ask. Not thread-safe.
class FleetNode : public RequestHandler {
 public:
  /// Path of the request for news on the control address.
  static constexpr const char* kPullPath = "/fleet/pull";

  /// Preconditions: the references outlive this object.
  FleetNode(Reactor& reactor,
            HttpCaller& caller,
            MetadataStore& store,
            const FleetOptions& options,
            const HostInfo& self,
            FleetObserver& observer);
  ~FleetNode() override;

  /// Registers this host and begins to follow.
  void Start();
  /// Tells the others that this host takes no more callers.
  void Leave();

  /// A host asks for news.
  void OnRequest(const std::shared_ptr<Exchange>& exchange) override;

  const TableMirror& mirror(StoreTable table) const {
    return m_mirrors[static_cast<size_t>(table)];
  }
  const Roster& roster() const { return m_roster; }
  /// Since when the store was out of reach for this host and its hub; nothing
  /// while it is in reach.
  std::optional<TimePoint> store_lost_since() const { return m_lost_since; }

 private:
  struct Feed {
    std::unique_ptr<StoreCall> call;
    std::unique_ptr<Timer> pause;
    TimePoint begun;
    TimePoint overdue_at;
    // The store answered the last read.
    bool answered = false;
  };

  void Step();
  void StepAsHub(TimePoint now);
  void StepAsFollower(const HostId& source, TimePoint now);
  /// The store does not answer this host: whoever asks it is told at once, so
  /// as to ask another one.
  void OnStoreDenied();
  void CheckOverdue(TimePoint now);
  void Pull(const HostId& host, Duration wait);
  void PullFrom(const std::string& address, const HostId& host, Duration wait);
  void OnPullEnd(const HostId& host,
                 TimePoint asked_at,
                 const CallResult& result);
  void PullSeeds();
  void ReadFeed(StoreTable table);
  void ReadFeedAfter(StoreTable table, Duration pause);
  void OnFeed(StoreTable table, StoreRead read);
  /// Reads of the store by a host that is not the hub end.
  void StopFeeds();
  bool TablesKnown() const;
  void Register();
  void WriteSeen(TimePoint now);
  void ApplyUpdate(StoreTable table, const TableUpdate& update, TimePoint at);
  void OnHostRows(const std::vector<std::string>& keys);
  /// Answers all where the copy of operators' rows was renewed since `before`.
  void AnswerIfFresher(TimePoint before);
  void CheckStore(TimePoint now);
  void NoteSource(const std::string& why);

  Reactor& m_reactor;
  HttpCaller& m_caller;
  MetadataStore& m_store;
  const FleetOptions m_options;
  FleetObserver& m_observer;
  Roster m_roster;
  TableMirrors m_mirrors;
  NewsServer m_news_server;
  std::array<Feed, kStoreTables> m_feeds;
  std::unique_ptr<PendingCall> m_pull;
  std::vector<std::unique_ptr<PendingCall>> m_seed_pulls;
  std::unique_ptr<StoreCall> m_write;
  std::unique_ptr<StoreCall> m_register;
  // The run of which the own row tells; zero: none.
  Incarnation m_registered_run;
  TimePoint m_register_at;
  uint64_t m_seen_counter = 0;
  TimePoint m_seen_written;
  // Tag of the list that this host got last.
  std::string m_asked_live_tag;
  std::optional<TimePoint> m_lost_since;
  TimePoint m_started;
  HostId m_last_source;
  Timer m_step;
  Timer m_soon;
};

}  // namespace applestand

#endif  // LIB_FLEET_FLEET_NODE_H_
