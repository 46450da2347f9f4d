#include "lib/limits/loan_peers.h"

#include <algorithm>

namespace applestand {

namespace {
constexpr Duration kAvoidSilentPeer = std::chrono::seconds(1);
}  // namespace

void LoanPeers::Set(const std::vector<HostId>& hosts) {
  for (Peer& peer : m_peers) {
    peer.member = false;
  }
  for (const HostId& host : hosts) {
    const auto known =
        std::find_if(m_peers.begin(), m_peers.end(),
                     [&](const Peer& peer) { return peer.host == host; });
    if (known != m_peers.end()) {
      known->member = true;
      continue;
    }
    Peer peer;
    peer.host = host;
    m_peers.push_back(peer);
  }
}

bool LoanPeers::MayAsk(size_t peer, TimePoint now) const {
  const Peer& entry = m_peers[peer];
  return entry.member && (!entry.avoid_until || now >= *entry.avoid_until);
}

void LoanPeers::OnReply(size_t peer, Duration round_trip) {
  Peer& entry = m_peers[peer];
  const bool known = entry.round_trip > Duration::zero();
  entry.round_trip =
      known ? (entry.round_trip * 7 + round_trip) / 8 : round_trip;
  entry.avoid_until.reset();
}

void LoanPeers::OnTimeout(size_t peer, TimePoint now) {
  m_peers[peer].avoid_until = now + kAvoidSilentPeer;
}

}  // namespace applestand
