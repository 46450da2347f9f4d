#ifndef LIB_NODE_QUARANTINE_SERVICE_H_
#define LIB_NODE_QUARANTINE_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/fleet/store_write_queue.h"
#include "lib/net/reactor.h"
#include "lib/quarantine/quarantine.h"
#include "lib/steering/steering_target.h"

namespace applestand {

/// Refuses requests that crash the targets that run them, over all hosts.
///
/// Hosts share what they observe as rows of the host table. Every host follows
/// that table, so that each crash counts at all hosts, and a host that starts
/// reads the rows of earlier crashes before it serves callers.
///
/// Not thread-safe.
class QuarantineService {
 public:
  /// All references must outlive this object.
  QuarantineService(Reactor& reactor, MetadataStore& store);
  ~QuarantineService();
  QuarantineService(const QuarantineService&) = delete;
  QuarantineService& operator=(const QuarantineService&) = delete;

  /// Returns the time for which the request must still be refused, or
  /// std::nullopt if it may be sent to a target.
  [[nodiscard]] std::optional<Duration> RemainingTime(
      const Fingerprint& fingerprint);

  /// Called when `target` returned a complete response to the request.
  void OnCompleteResponse(const Fingerprint& fingerprint,
                          const SteeringTarget& target);

  enum class Connection {
    /// Ended before the response was complete.
    kDropped,
    /// Open when this host stopped waiting.
    kOpen,
  };
  /// Called when an attempt at `target`, sent at `sent`, ended without a
  /// complete response. It counts if the target is found to have crashed at
  /// about the same time, unless another attempt there had failed before this
  /// one was sent. If the connection was dropped, checks whether the target
  /// still listens.
  void OnNoResponse(const Fingerprint& fingerprint,
                    const SteeringTarget& target,
                    TimePoint sent,
                    Connection connection);
  /// Called when `target` refused a connection.
  void OnConnectionRefused(const SteeringTarget& target);
  /// Called when `target` ended or restarted without having drained.
  void OnTargetEnded(const SteeringTarget& target);

  /// Called when the rows of the host table with these keys were added, changed
  /// or removed. Ignores rows of other kinds.
  void OnHostRows(const TableMirror& mirror,
                  const std::vector<std::string>& keys);
  /// Called when the store has come back from an older copy.
  void OnStoreRestored();
  /// Writes missing rows again and removes obsolete ones, if it is time to look
  /// for them. Must be called about every 250 ms, on the hub only.
  void Tick(const TableMirror& mirror);

  /// Returns the number of requests that are suspect or quarantined.
  size_t suspects() const { return m_quarantine.suspects(); }
  /// Returns the number of quarantines since construction.
  uint64_t quarantined_total() const {
    return m_quarantine.quarantined_total();
  }

 private:
  class ConnectProbe;

  /// Logs and queues the notices of the last call to m_quarantine.
  void HandleNotices(const char* evidence);
  void RecordCrash(const TargetId& incarnation, const char* evidence);
  void OnProbeEnd(const TargetId& incarnation, bool refused);
  /// Queues the row that clears the request at all hosts, and the removal of
  /// the rows of its crashes.
  void QueueClearing(const QuarantineNotice& notice);
  /// Writes the rows of suspect requests again that are missing in the store.
  void RestoreLostRows(const TableMirror& mirror);
  void RemoveObsoleteRows(const TableMirror& mirror);

  Reactor& m_reactor;
  Quarantine m_quarantine;
  // The keys of these two maps are ids of incarnations of targets, see
  // IncarnationIdOf(). The first holds when attempts began to fail since the
  // target's last complete response.
  std::map<TargetId, TimePoint> m_failing_since;
  std::map<TargetId, std::unique_ptr<ConnectProbe>> m_probes;
  // Rows of crashes in the store, by the request's part of their keys.
  std::map<std::string, std::map<std::string, Fingerprint>> m_crash_rows;
  // When this host first saw each row that clears a request.
  std::map<std::string, TimePoint> m_completed_rows;
  StoreWriteQueue m_writes;
  TimePoint m_rows_checked_at;
  std::optional<TimePoint> m_store_restored_at;
};

}  // namespace applestand

#endif  // LIB_NODE_QUARANTINE_SERVICE_H_
