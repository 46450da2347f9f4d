#ifndef LIB_FLEET_FLEET_NODE_H_
#define LIB_FLEET_FLEET_NODE_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/fleet_membership.h"
#include "lib/fleet/host_registration.h"
#include "lib/fleet/metadata_store.h"
#include "lib/fleet/update_server.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"

namespace applestand {

/// Receives notifications of changes in the fleet and in the metadata store.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;
  /// Rows of a table were added, changed or removed.
  virtual void OnRowsChanged(StoreTable table,
                             const std::vector<std::string>& keys) = 0;
  /// The store is reachable again after OnStoreLost().
  virtual void OnStoreRegained() = 0;
  /// Neither this host nor any host that it polls has read the store recently.
  virtual void OnStoreLost(const std::string& error) = 0;
  /// The store came back from an older copy of itself. Called before
  /// OnRowsChanged for the first rows that were read since. Rows that were
  /// written shortly before may be missing or old until they are written again.
  virtual void OnStoreRestored() = 0;
  /// This host now polls `source` for updates or, if `source` is this host
  /// itself, reads the store.
  virtual void OnSourceChanged(const HostId& source,
                               const std::string& reason) = 0;
};

struct FleetOptions {
  FleetMembershipOptions membership;
  /// Control addresses of hosts to poll before any other host is known.
  std::vector<std::string> seeds;
  /// Maximum time for which an update request is held back. Slightly longer
  /// than the hub's read of the operators' table, whose end triggers a response
  /// in any case.
  Duration pull_wait = std::chrono::milliseconds(600);
  /// A response must arrive within this time after the wait.
  Duration pull_grace = std::chrono::milliseconds(500);
  Duration connect_limit = std::chrono::milliseconds(300);
  /// Maximum time for which the store holds back a read of changes, by table.
  /// The first value bounds the delay until hosts are certain to hold every
  /// change that the store confirmed to an operator.
  std::array<Duration, kStoreTables> feed_wait = {
      std::chrono::milliseconds(500), std::chrono::seconds(1),
      std::chrono::seconds(3)};
  /// Delay after a read that returned changes, by table, so that many changes
  /// take few calls. Operators' changes are passed on without delay.
  std::array<Duration, kStoreTables> feed_pause = {
      Duration::zero(), std::chrono::milliseconds(150),
      std::chrono::milliseconds(250)};
  /// Delay after a failed read.
  Duration feed_retry_delay = std::chrono::milliseconds(500);
  /// A read without a response this long after the end of its wait indicates
  /// that the store does not answer this host. Exceeds the response time of a
  /// slow store, which is 80 times the usual 4 ms plus twice the one-way delay
  /// between regions.
  Duration feed_overdue_after = std::chrono::milliseconds(600);
  /// The hosts that rank next read the store too if their copy of the
  /// operators' rows is older than this. In normal operation the copy is at
  /// most 1.2 s old, which is the time of one read by the hub and of the wait
  /// for the next.
  Duration probe_after = std::chrono::milliseconds(1400);
  /// Any host reads the store itself if its copy of the operators' rows is
  /// older than this, at least `own_read_period` after its last such read.
  /// Hosts that rank lower wait up to `own_read_spacing` longer for each host
  /// that ranks before them, so that the store does not get the reads of a
  /// large fleet at once.
  Duration own_read_after = std::chrono::milliseconds(1800);
  Duration own_read_period = std::chrono::seconds(1);
  Duration own_read_spacing = std::chrono::milliseconds(2);
  /// A host whose copy of the operators' rows is older than this is not used as
  /// update source. Covers twice the wait of the read, the wait of a request,
  /// and the responses of a slow store.
  Duration stale_after = std::chrono::milliseconds(1800);
  /// The store counts as unreachable if this host's copy of the operators' rows
  /// is older than this, so that no host it could poll had a newer one.
  Duration store_lost_after = std::chrono::milliseconds(2800);
};

/// Keeps this host's copies of the metadata store's tables up to date, either
/// by reading the store as the hub (the host that reads it on behalf of the
/// others) or by polling another host. Serves updates to the hosts that poll
/// this one. Not thread-safe.
class FleetNode : public RequestHandler {
 public:
  /// Path of the update request at the control address.
  static constexpr const char* kPullPath = "/fleet/pull";

  /// All references must outlive this object.
  FleetNode(Reactor& reactor,
            HttpClientPool& http_client,
            MetadataStore& store,
            const FleetOptions& options,
            const HostInfo& self,
            FleetObserver& observer);
  ~FleetNode() override;

  /// Registers this host in the store and starts to follow the tables.
  void Start();
  /// Announces to the other hosts that this host accepts no more callers.
  void Leave();

  /// Handles an update request of another host.
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override;

  const TableMirror& mirror(StoreTable table) const {
    return m_mirrors[static_cast<size_t>(table)];
  }
  const FleetMembership& membership() const { return m_membership; }
  /// Called when this host has put a configuration in force.
  void OnConfigApplied(ConfigVersion version) {
    m_update_server.OnConfigKnown(version);
  }
  /// The newest configuration that this host or one of its peers is known to
  /// have had in force. The store may hold an older one after it came back from
  /// an older copy.
  ConfigVersion newest_config() const {
    return m_update_server.newest_config();
  }
  /// Sets the latest era of the store of which this host knows what operators
  /// have last written, for the other hosts; zero if there is none.
  void SetKnownEra(StoreEra era) { m_update_server.SetKnownEra(era); }
  /// The latest era of which another host has said so.
  StoreEra peers_known_era() const { return m_update_server.peers_known_era(); }
  /// Returns whether another host has answered this one.
  bool has_heard_from_peer() const { return m_heard_from_peer; }
  /// Returns since when the store has been unreachable for this host and its
  /// update source, or std::nullopt while it is reachable.
  std::optional<TimePoint> store_lost_since() const {
    return m_store_lost_since;
  }

 private:
  /// State of the reads that follow one table of the store.
  struct Feed {
    std::unique_ptr<StoreCall> call;
    std::unique_ptr<Timer> pause;
    TimePoint started_at;
    TimePoint overdue_at;
    // Whether the store answered the last read.
    bool answered = false;
  };

  void Step();
  void StepAsHub(TimePoint now);
  void StepAsFollower(const HostId& source, TimePoint now);
  /// Reads the operators' rows from the store on this host, which polls another
  /// one, if its copy of them, of the given age, is too old.
  void ReadStoreIfStale(Duration age, TimePoint now);
  /// Called when the store does not answer this host. Responds to all waiting
  /// requests at once, so that their senders poll another host.
  void OnStoreUnreachable();
  /// Treats the store as unreachable if a read of the operators' table is
  /// overdue.
  void CheckOverdue(TimePoint now);
  void Pull(const HostId& host, Duration wait);
  void PullFrom(const std::string& address, const HostId& host, Duration wait);
  void OnPullEnd(const HostId& host,
                 TimePoint requested_at,
                 const CallResult& result);
  /// Polls the configured seed addresses.
  void PullSeeds();
  void ReadFeed(StoreTable table);
  void ReadFeedAfter(StoreTable table, Duration pause);
  void OnFeed(StoreTable table, StoreRead read);
  /// Cancels all reads of the store.
  void StopFeeds();
  bool TablesLoaded() const;
  void ApplyUpdate(StoreTable table, const TableUpdate& update, TimePoint at);
  /// Called when rows of a later era than before were applied.
  void OnNewEra(StoreTable table, StoreEra before, size_t changed_rows);
  void OnHostRows(const std::vector<std::string>& keys);
  /// Responds to all waiting requests if the copy of the operators' rows is
  /// more current than `before`.
  void RespondIfFresher(TimePoint before);
  /// Notifies the observer if the store became unreachable or reachable again.
  void CheckStore(TimePoint now);
  void ReportSourceChange(const std::string& reason);

  Reactor& m_reactor;
  HttpClientPool& m_http_client;
  MetadataStore& m_store;
  const FleetOptions m_options;
  FleetObserver& m_observer;
  FleetMembership m_membership;
  // Nothing that operators write is passed over.
  TableMirrors m_mirrors = {TableMirror(), TableMirror(kMaxTableBytes),
                            TableMirror(kMaxTableBytes)};
  UpdateServer m_update_server;
  HostRegistration m_registration;
  std::array<Feed, kStoreTables> m_feeds;
  std::unique_ptr<PendingCall> m_pull;
  std::vector<std::unique_ptr<PendingCall>> m_seed_pulls;
  // Tag of the list of live hosts in the last response.
  std::string m_received_live_tag;
  std::optional<TimePoint> m_store_lost_since;
  // When this host may read the store again although it is not among the hosts
  // that rank first.
  TimePoint m_next_own_read_at = TimePoint::min();
  HostId m_last_source;
  bool m_heard_from_peer = false;
  // The latest era of which any table was read.
  StoreEra m_era;
  Timer m_step_timer;
  Timer m_immediate_step_timer;
};

}  // namespace applestand

#endif  // LIB_FLEET_FLEET_NODE_H_
