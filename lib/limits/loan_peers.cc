#include "lib/limits/loan_peers.h"

#include <algorithm>

namespace applestand {

namespace {
constexpr Duration kUnresponsivePeerPause = std::chrono::seconds(1);
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

bool LoanPeers::IsAvailable(size_t peer, TimePoint now) const {
  const Peer& entry = m_peers[peer];
  return entry.member && (!entry.paused_until || now >= *entry.paused_until);
}

void LoanPeers::OnReply(size_t peer, Duration round_trip) {
  Peer& entry = m_peers[peer];
  const bool known = entry.round_trip > Duration::zero();
  entry.round_trip =
      known ? (entry.round_trip * 7 + round_trip) / 8 : round_trip;
  entry.paused_until.reset();
}

void LoanPeers::OnTimeout(size_t peer, TimePoint now) {
  m_peers[peer].paused_until = now + kUnresponsivePeerPause;
}

}  // namespace applestand
