#include "lib/freshness/freshness.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <vector>

namespace applestand {

QuorumSizes ComputeQuorumSizes(uint32_t hosts) {
  assert(hosts > 0 && "the store's region has hosts");
  const uint32_t attest = hosts / 2 + 1;
  return {hosts - attest + 1, attest};
}

void Freshness::OnHeadRead(TimePoint requested_at, ConfigVersion head) {
  m_has_read_head = true;
  m_last_read_failed = false;
  MergeEvidence(requested_at, head);
}

void Freshness::OnHeadReadFailed() {
  m_last_read_failed = true;
}

void Freshness::OnPeerEvidence(TimePoint requested_at,
                               const HeadEvidence& evidence) {
  if (evidence.age >= Duration::zero()) {
    MergeEvidence(requested_at - evidence.age, evidence.version);
  }
}

void Freshness::OnAttestation(TimePoint requested_at,
                              const HostId& attester,
                              const Attestation& attestation) {
  ReceivedAttestation& known = m_attestations[attester];
  if (requested_at < known.requested_at) {
    return;
  }
  known = {attestation.version, requested_at};
  EraseExpiredAttestations(requested_at);
  if (m_attestations.size() < m_options.quorum.attest) {
    return;
  }
  std::vector<ReceivedAttestation> newest;
  for (const auto& [host, received] : m_attestations) {
    newest.push_back(received);
  }
  const auto later = [](const ReceivedAttestation& a,
                        const ReceivedAttestation& b) {
    return a.requested_at > b.requested_at;
  };
  std::sort(newest.begin(), newest.end(), later);
  newest.resize(m_options.quorum.attest);
  ConfigVersion version;
  for (const ReceivedAttestation& received : newest) {
    version = std::max(version, received.version);
  }
  MergeEvidence(newest.back().requested_at, version);
}

void Freshness::EraseExpiredAttestations(TimePoint newest) {
  for (auto it = m_attestations.begin(); it != m_attestations.end();) {
    const bool is_old =
        newest - it->second.requested_at > m_options.max_evidence_age;
    it = is_old ? m_attestations.erase(it) : std::next(it);
  }
}

std::optional<HeadEvidence> Freshness::Evidence(TimePoint now) const {
  if (!m_known) {
    return std::nullopt;
  }
  return HeadEvidence{m_known->version, now - m_known->time};
}

std::optional<Attestation> Freshness::MakeAttestation(
    ConfigVersion applied) const {
  if (!m_has_read_head || !m_last_read_failed || IsBehind(applied)) {
    return std::nullopt;
  }
  return Attestation{applied};
}

bool Freshness::MayServe(TimePoint now, ConfigVersion applied) const {
  return m_known && applied >= m_known->version &&
         now - m_known->time <= m_options.max_evidence_age;
}

bool Freshness::IsBehind(ConfigVersion applied) const {
  return m_known && applied < m_known->version;
}

void Freshness::MergeEvidence(TimePoint time, ConfigVersion version) {
  if (!m_known) {
    m_known = KnownHead{version, time};
    return;
  }
  // Combining the higher version with the later time is safe: a higher version
  // only makes the requirement for serving stricter.
  m_known->version = std::max(m_known->version, version);
  m_known->time = std::max(m_known->time, time);
}

}  // namespace applestand
