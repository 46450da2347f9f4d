#include "lib/contract_shares/share_manager.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "lib/contract_shares/share_rows.h"

namespace applestand {

namespace {

bool SameContents(const std::vector<OwnedShare>& a,
                  const std::vector<OwnedShare>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const OwnedShare& x, const OwnedShare& y) {
                      return x.index == y.index && x.from == y.from &&
                             x.until == y.until && x.serial == y.serial &&
                             x.row_incarnation == y.row_incarnation;
                    });
}

}  // namespace

ShareManager::ShareManager(HostId self,
                           Incarnation incarnation,
                           uint32_t shares,
                           Options options)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_options(options),
      m_shares(shares) {
  assert(shares > 0 && "contracts are split into at least one share");
  assert(options.renew_interval < options.lease &&
         "a lease is renewed in time");
  assert(options.lease <= kMaxShareLease &&
         "other hosts would not accept the row");
}

std::optional<ShareAction> ShareManager::NextAction(
    TimePoint now,
    const std::vector<HostId>& live_hosts) {
  if (m_outstanding) {
    return std::nullopt;
  }
  ExpireLeases(now);
  RevokeSurplus(now, live_hosts);
  if (!m_next_read || now >= *m_next_read) {
    return MakeRead();
  }
  if (m_next_write && now < *m_next_write) {
    return std::nullopt;
  }
  return MakeDueWrite(now, live_hosts);
}

ShareAction ShareManager::MakeRead() {
  ShareAction action;
  action.id = ++m_last_action_id;
  for (size_t i = 0; i < m_shares.size(); ++i) {
    action.read_keys.push_back(ShareRowKey(i));
  }
  m_outstanding = Outstanding{};
  m_outstanding->id = action.id;
  return action;
}

ShareAction ShareManager::MakeWrite(ActionKind kind,
                                    size_t index,
                                    TimePoint now) {
  Share& share = m_shares[index];
  Outstanding outstanding;
  outstanding.id = ++m_last_action_id;
  outstanding.kind = kind;
  outstanding.share = index;
  outstanding.write = {++m_last_serial, m_incarnation, now};
  outstanding.row.host = m_self;
  outstanding.row.incarnation = m_incarnation;
  outstanding.row.lease = m_options.lease;
  outstanding.row.serial = outstanding.write.serial;
  outstanding.row.released = kind == ActionKind::kRelease;
  if (kind != ActionKind::kRelease) {
    share.pending_writes.push_back(outstanding.write);
  }
  ShareAction action;
  action.id = outstanding.id;
  action.writes.push_back(
      {ShareRowKey(index), share.version, Encode(outstanding.row)});
  m_outstanding = std::move(outstanding);
  return action;
}

std::optional<ShareAction> ShareManager::MakeDueWrite(
    TimePoint now,
    const std::vector<HostId>& live_hosts) {
  for (size_t i = 0; i < m_shares.size(); ++i) {
    const Share& share = m_shares[i];
    const bool confirmed = m_applied_generation >= share.revoked_generation;
    if (share.known && share.ownership == Ownership::kRevoked &&
        (confirmed || now >= share.until)) {
      return MakeWrite(ActionKind::kRelease, i, now);
    }
  }
  for (size_t i = 0; i < m_shares.size(); ++i) {
    const Share& share = m_shares[i];
    const TimePoint due =
        share.until - m_options.lease + m_options.renew_interval;
    if (share.known && share.ownership == Ownership::kOwned && now >= due) {
      return MakeWrite(ActionKind::kRenew, i, now);
    }
  }
  if (const auto index = FindShareToAcquire(now, live_hosts)) {
    return MakeWrite(ActionKind::kAcquire, *index, now);
  }
  return std::nullopt;
}

Duration ShareManager::LeaseOf(const Share& share) const {
  return share.row ? share.row->lease : m_options.lease;
}

bool ShareManager::IsFree(const Share& share, TimePoint now) const {
  if (!share.known || share.ownership != Ownership::kNone) {
    return false;
  }
  if (share.version == RowVersion() || (share.row && share.row->released)) {
    return true;
  }
  // A lease of this incarnation cannot be in use elsewhere, and this
  // incarnation does not own the share.
  if (share.row && share.row->host == m_self &&
      share.row->incarnation == m_incarnation) {
    return true;
  }
  const Duration wait = LeaseOf(share) + m_options.takeover_margin;
  return now - share.unchanged_since >= wait;
}

void ShareManager::ExpireLeases(TimePoint now) {
  for (Share& share : m_shares) {
    if (share.ownership == Ownership::kOwned && now >= share.until) {
      share.ownership = Ownership::kNone;
    }
    const auto is_expired = [&](const LeaseWrite& write) {
      return now >= write.sent_at + m_options.lease;
    };
    share.pending_writes.erase(
        std::remove_if(share.pending_writes.begin(), share.pending_writes.end(),
                       is_expired),
        share.pending_writes.end());
    if (!IsFree(share, now)) {
      share.free_since.reset();
    } else if (!share.free_since) {
      share.free_since = now;
    }
  }
}

void ShareManager::Revoke(Share& share) {
  share.ownership = Ownership::kRevoked;
  ++m_generation;
  share.revoked_generation = m_generation;
}

void ShareManager::BeginStop() {
  m_stopping = true;
  for (Share& share : m_shares) {
    if (share.ownership == Ownership::kOwned) {
      Revoke(share);
    }
  }
}

bool ShareManager::Stopped(TimePoint now) const {
  return m_stopping &&
         std::all_of(m_shares.begin(), m_shares.end(), [&](const Share& share) {
           return share.ownership == Ownership::kNone ||
                  now >= share.until + m_options.retry_interval;
         });
}

size_t ShareManager::OwnedCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_shares.begin(), m_shares.end(), [&](const Share& share) {
        return share.ownership == Ownership::kOwned && now < share.until;
      }));
}

ShareGrant ShareManager::Grant(TimePoint now) {
  ExpireLeases(now);
  std::vector<OwnedShare> shares;
  for (size_t i = 0; i < m_shares.size(); ++i) {
    const Share& share = m_shares[i];
    if (share.ownership == Ownership::kOwned) {
      shares.push_back({ShareIndex(i), share.from.time_since_epoch(),
                        share.until.time_since_epoch(),
                        share.confirmed_write.serial,
                        share.confirmed_write.incarnation});
    }
  }
  if (!SameContents(shares, m_granted)) {
    ++m_generation;
    m_granted = shares;
  }
  return {m_incarnation, m_generation, std::move(shares)};
}

void ShareManager::OnGrantApplied(const ShareGrantApplied& applied) {
  if (applied.incarnation == m_incarnation) {
    m_applied_generation = std::max(m_applied_generation, applied.generation);
  }
}

void ShareManager::Adopt(TimePoint now, const ShareGrant& grant) {
  for (const OwnedShare& owned : grant.shares) {
    if (owned.index.value() >= m_shares.size() ||
        TimePoint(owned.until) <= now) {
      continue;
    }
    Share& share = m_shares[owned.index.value()];
    share.ownership = Ownership::kOwned;
    share.from = TimePoint(owned.from);
    share.until = TimePoint(owned.until);
    share.confirmed_write = {owned.serial, owned.row_incarnation, now};
  }
}

}  // namespace applestand
