#ifndef LIB_FRESHNESS_FRESHNESS_H_
#define LIB_FRESHNESS_FRESHNESS_H_

#include <map>
#include <optional>
#include <set>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/config/messages.h"
#include "lib/freshness/messages.h"

namespace applestand {

/// Sizes of the two sets of hosts in the store's region whose overlap makes
/// serving during a store outage safe: `confirm` hosts must hold a change
/// before it counts as accepted, `vouch` hosts must vouch for a version before
/// others serve on it. confirm + vouch > hosts, so every set of vouching hosts
/// has one that held the change.
struct QuorumSizes {
  uint32_t confirm = 1;
  uint32_t vouch = 1;
};

/// Sizes for at most `hosts` hosts alive at one time in the store's region,
/// those being replaced included. Precondition: hosts > 0. Thread-safe.
QuorumSizes QuorumFor(uint32_t hosts);

/// Tracks how new this host's knowledge of the configuration is, and thereby
/// whether it may serve routes that need a key.
///
/// Evidence (version V, time T) means: every change accepted before T has a
/// version of at most V. It comes from
///   - an own read of the log's head, T being the time before the read;
///   - a peer's answer that carries its evidence and age, counted from before
///     this host asked, so that a chain of hosts only over-estimates the age;
///   - vouches of QuorumSizes::vouch distinct hosts of the store's region, T
///     being the earliest time this host asked one of them.
/// A host serves keyed routes while its newest evidence is no older than
/// `limit` and it has applied the evidence's version.
///
/// A host vouches only after it has itself read the head in this run, and
/// while its own last read failed. A change counts as accepted (see
/// Confirmations) only when `confirm` hosts of the store's region hold it. So
/// of any `vouch` hosts that vouch afterwards, one holds the change, or has
/// read the head after it was written; whoever serves on their vouches must
/// have applied it. This holds whether or not the store is really down, also
/// where one host still reaches it.
///
/// Assumed: between the writing of a change and its acceptance no more than the
/// `hosts` of QuorumFor run in the store's region, counting those replaced
/// meanwhile; clocks run at nearly the same rate.
///
/// What it costs: with the store down, keyed routes are refused after `limit`
/// where fewer than `vouch` hosts of the store's region that have read the
/// head in their run can be reached, also through a chain; and a change is not
/// confirmed as accepted while fewer than `confirm` hosts there are reached.
///
/// Pure. Single-threaded: owned by one EventLoop.
class Freshness {
 public:
  struct Options {
    Duration limit = std::chrono::seconds(5);
    QuorumSizes quorum;
    /// What a refused caller is told to wait.
    Duration retry_after = std::chrono::seconds(2);
  };

  explicit Freshness(Options options) : m_options(options) {}

  /// This host read the head; `asked` is the time before the read was sent.
  void OnHeadRead(TimePoint asked, ConfigVersion head);

  /// This host tried to read the head, and failed.
  void OnHeadReadFailed();

  /// An answer to a question sent at `asked` carried evidence.
  void OnPeerEvidence(TimePoint asked, const HeadEvidence& evidence);

  /// An answer to a question sent to `voucher` at `asked` carried a vouch.
  /// Precondition: `voucher` is a host of the store's region. A host there also
  /// hands in its own MakeVouch, under its own id, with the present time.
  void OnVouch(TimePoint asked, const HostId& voucher, const Vouch& vouch);

  /// Evidence to put into an answer; nothing where this host has none.
  [[nodiscard]] std::optional<HeadEvidence> Evidence(TimePoint now) const;

  /// The vouch to put into an answer to a peer; nothing where this host may
  /// not vouch. `applied` is this host's version. The owner calls it only on
  /// hosts of the store's region.
  [[nodiscard]] std::optional<Vouch> MakeVouch(ConfigVersion applied) const;

  /// Whether keyed routes may be served at `now` by a host at version
  /// `applied`. Call for each request. Where false: refuse with kNotRun and
  /// "come back in" options().retry_after.
  [[nodiscard]] bool MayServe(TimePoint now, ConfigVersion applied) const;

  /// Whether changes up to `Evidence().version` are missing; the owner fetches.
  [[nodiscard]] bool IsBehind(ConfigVersion applied) const;

  const Options& options() const { return m_options; }

 private:
  struct Known {
    ConfigVersion version;
    TimePoint time;
  };
  struct Vouched {
    ConfigVersion version;
    TimePoint asked;
  };

  void Learn(TimePoint time, ConfigVersion version);
  void DropOldVouches(TimePoint newest);

  Options m_options;
  std::optional<Known> m_known;
  std::map<HostId, Vouched> m_vouches;
  bool m_has_read_head = false;
  bool m_last_read_failed = false;
};

}  // namespace applestand

#endif  // LIB_FRESHNESS_FRESHNESS_H_
