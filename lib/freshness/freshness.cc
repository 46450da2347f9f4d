#include "lib/freshness/freshness.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <vector>

namespace applestand {

QuorumSizes QuorumFor(uint32_t hosts) {
  assert(hosts > 0 && "the store's region has hosts");
  const uint32_t vouch = hosts / 2 + 1;
  return {hosts - vouch + 1, vouch};
}

void Freshness::OnHeadRead(TimePoint asked, ConfigVersion head) {
  m_has_read_head = true;
  m_last_read_failed = false;
  Learn(asked, head);
}

void Freshness::OnHeadReadFailed() {
  m_last_read_failed = true;
}

void Freshness::OnPeerEvidence(TimePoint asked, const HeadEvidence& evidence) {
  if (evidence.age >= Duration::zero()) {
    Learn(asked - evidence.age, evidence.version);
  }
}

void Freshness::OnVouch(TimePoint asked,
                        const HostId& voucher,
                        const Vouch& vouch) {
  Vouched& known = m_vouches[voucher];
  if (asked < known.asked) {
    return;
  }
  known = {vouch.version, asked};
  DropOldVouches(asked);
  if (m_vouches.size() < m_options.quorum.vouch) {
    return;
  }
  std::vector<Vouched> newest;
  for (const auto& [host, vouched] : m_vouches) {
    newest.push_back(vouched);
  }
  const auto later = [](const Vouched& a, const Vouched& b) {
    return a.asked > b.asked;
  };
  std::sort(newest.begin(), newest.end(), later);
  newest.resize(m_options.quorum.vouch);
  ConfigVersion version;
  for (const Vouched& vouched : newest) {
    version = std::max(version, vouched.version);
  }
  Learn(newest.back().asked, version);
}

void Freshness::DropOldVouches(TimePoint newest) {
  for (auto it = m_vouches.begin(); it != m_vouches.end();) {
    const bool is_old = newest - it->second.asked > m_options.limit;
    it = is_old ? m_vouches.erase(it) : std::next(it);
  }
}

std::optional<HeadEvidence> Freshness::Evidence(TimePoint now) const {
  if (!m_known) {
    return std::nullopt;
  }
  return HeadEvidence{m_known->version, now - m_known->time};
}

std::optional<Vouch> Freshness::MakeVouch(ConfigVersion applied) const {
  if (!m_has_read_head || !m_last_read_failed || IsBehind(applied)) {
    return std::nullopt;
  }
  return Vouch{applied};
}

bool Freshness::MayServe(TimePoint now, ConfigVersion applied) const {
  return m_known && applied >= m_known->version &&
         now - m_known->time <= m_options.limit;
}

bool Freshness::IsBehind(ConfigVersion applied) const {
  return m_known && applied < m_known->version;
}

void Freshness::Learn(TimePoint time, ConfigVersion version) {
  if (!m_known) {
    m_known = Known{version, time};
    return;
  }
  // Keeping the higher version of the two only ever asks for more.
  m_known->version = std::max(m_known->version, version);
  m_known->time = std::max(m_known->time, time);
}

}  // namespace applestand
