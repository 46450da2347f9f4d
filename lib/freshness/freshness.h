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

/// Sizes of the two quorums in the store's region (the region of the
/// configuration store) whose overlap makes it safe to serve requests during a
/// store outage. `confirm` hosts must hold a change before it counts as
/// accepted; `attest` hosts must attest to a version before other hosts serve
/// requests based on it. Because confirm + attest > hosts, every quorum of
/// attestations includes a host that held the change.
struct QuorumSizes {
  uint32_t confirm = 1;
  uint32_t attest = 1;
};

/// Returns the quorum sizes for a store's region in which at most `hosts` hosts
/// are alive at the same time, including hosts that are being replaced.
/// Precondition: hosts > 0. Thread-safe.
QuorumSizes ComputeQuorumSizes(uint32_t hosts);

/// Tracks how recent this host's knowledge of the configuration is, and decides
/// whether the host may serve keyed routes, which are routes that require a
/// key.
///
/// Evidence (version V, time T) means: every change accepted before T has a
/// version of at most V. There are three sources:
///   - A read of the head (latest version) of the configuration log in the
///     store by this host. T is the time before the read.
///   - The response of a peer that contains the peer's evidence and its age.
///     The age is subtracted from the time before this host sent its request,
///     so a chain of hosts can only overestimate the age.
///   - Attestations of QuorumSizes::attest distinct hosts of the store's
///     region. T is the earliest time at which this host sent a request to one
///     of them.
/// A host serves keyed routes while its latest evidence is no older than
/// `max_evidence_age` and the host has applied the version of that evidence.
///
/// A host attests only if it has read the head itself in its current
/// incarnation and its own latest read failed. A change counts as accepted (see
/// ConfirmationTracker) only when `confirm` hosts of the store's region hold
/// it. Therefore, of any `attest` hosts that attest afterwards, at least one
/// holds the change or has read the head after the change was written, and a
/// host that serves requests based on their attestations must have applied it.
/// This holds whether or not the store is really unavailable, and also if one
/// host can still reach it.
///
/// Assumptions: between the write of a change and its acceptance, no more than
/// the `hosts` passed to ComputeQuorumSizes run in the store's region,
/// including those replaced in the meantime; clocks run at nearly the same
/// rate.
///
/// Limits to availability: while the store is down, keyed routes are refused
/// after `max_evidence_age` if a host can reach, directly or through a chain of
/// peers, fewer than `attest` hosts of the store's region that have read the
/// head in their incarnation. A change is not confirmed as accepted while fewer
/// than `confirm` hosts of that region are reachable.
///
/// Performs no I/O. Single-threaded: owned by one EventLoop.
class Freshness {
 public:
  struct Options {
    Duration max_evidence_age = std::chrono::seconds(5);
    QuorumSizes quorum;
    /// How long a caller whose request was refused is told to wait.
    Duration retry_after = std::chrono::seconds(2);
  };

  explicit Freshness(Options options) : m_options(options) {}

  /// Records that this host read the head. `requested_at` is the time before
  /// the read was sent.
  void OnHeadRead(TimePoint requested_at, ConfigVersion head);

  /// Records that this host failed to read the head.
  void OnHeadReadFailed();

  /// Records evidence from the response to a request sent at `requested_at`.
  /// Evidence with a negative age is ignored.
  void OnPeerEvidence(TimePoint requested_at, const HeadEvidence& evidence);

  /// Records an attestation from the response to a request that was sent to
  /// `attester` at `requested_at`. Precondition: `attester` is a host of the
  /// store's region. A host of that region also passes its own MakeAttestation,
  /// with its own id and the current time.
  void OnAttestation(TimePoint requested_at,
                     const HostId& attester,
                     const Attestation& attestation);

  /// Returns the evidence to include in a response, or std::nullopt if this
  /// host has none.
  [[nodiscard]] std::optional<HeadEvidence> Evidence(TimePoint now) const;

  /// Returns the attestation to include in a response to a peer, or
  /// std::nullopt if this host may not attest. `applied` is the version that
  /// this host has applied. Called only on hosts of the store's region.
  [[nodiscard]] std::optional<Attestation> MakeAttestation(
      ConfigVersion applied) const;

  /// Returns true if a host that has applied version `applied` may serve keyed
  /// routes at `now`. Must be called for each request. If it returns false, the
  /// request must be refused with kNotRun and options().retry_after.
  [[nodiscard]] bool MayServe(TimePoint now, ConfigVersion applied) const;

  /// Returns true if this host lacks changes up to `Evidence().version`. The
  /// owner then fetches them.
  [[nodiscard]] bool IsBehind(ConfigVersion applied) const;

  const Options& options() const { return m_options; }

 private:
  struct KnownHead {
    ConfigVersion version;
    TimePoint time;
  };
  struct ReceivedAttestation {
    ConfigVersion version;
    TimePoint requested_at;
  };

  void MergeEvidence(TimePoint time, ConfigVersion version);
  void EraseExpiredAttestations(TimePoint newest);

  Options m_options;
  std::optional<KnownHead> m_known;
  std::map<HostId, ReceivedAttestation> m_attestations;
  bool m_has_read_head = false;
  bool m_last_read_failed = false;
};

}  // namespace applestand

#endif  // LIB_FRESHNESS_FRESHNESS_H_
