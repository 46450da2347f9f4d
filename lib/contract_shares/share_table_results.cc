#include <algorithm>
#include <string>
#include <utility>

#include "lib/contract_shares/share_manager.h"
#include "lib/contract_shares/share_rows.h"

namespace applestand {

void ShareManager::OnTransactResult(TimePoint now,
                                    uint64_t action_id,
                                    TableStatus status) {
  if (!m_outstanding || m_outstanding->id != action_id) {
    return;
  }
  const Outstanding done = *std::exchange(m_outstanding, std::nullopt);
  ExpireLeases(now);
  Share& share = m_shares[done.share];
  if (status == TableStatus::kOk) {
    OnWritten(share, done, now);
    return;
  }
  if (status != TableStatus::kUnknown) {
    const auto is_failed_write = [&](const LeaseWrite& write) {
      return write.serial == done.write.serial;
    };
    share.pending_writes.erase(
        std::remove_if(share.pending_writes.begin(), share.pending_writes.end(),
                       is_failed_write),
        share.pending_writes.end());
  }
  if (status != TableStatus::kUnavailable) {
    m_next_read = now;
  }
  if (status != TableStatus::kConflict) {
    m_next_write = now + m_options.retry_interval;
  }
}

void ShareManager::OnWritten(Share& share,
                             const Outstanding& done,
                             TimePoint now) {
  share.version = share.version.Next();
  share.row = done.row;
  share.unchanged_since = now;
  if (done.kind == ActionKind::kRelease) {
    share.ownership = Ownership::kNone;
    share.pending_writes.clear();
    return;
  }
  UpdateOwnership(share, now);
}

void ShareManager::OnReadResult(TimePoint now,
                                uint64_t action_id,
                                const ReadResult& result) {
  if (!m_outstanding || m_outstanding->id != action_id) {
    return;
  }
  m_outstanding.reset();
  if (result.status != TableStatus::kOk) {
    m_next_read = now + m_options.retry_interval;
    return;
  }
  ExpireLeases(now);
  std::map<std::string, const Row*> rows;
  for (const Row& row : result.rows) {
    rows[row.key] = &row;
  }
  for (size_t i = 0; i < m_shares.size(); ++i) {
    const auto row = rows.find(ShareRowKey(i));
    ObserveRow(m_shares[i], row == rows.end() ? nullptr : row->second, now);
  }
  m_next_read =
      now + (OwnedCount(now) > 0 ? m_options.poll_interval
                                 : m_options.poll_interval_without_share);
}

void ShareManager::ObserveRow(Share& share, const Row* row, TimePoint now) {
  const RowVersion version = row == nullptr ? RowVersion() : row->version;
  if (row != nullptr && share.known && version < share.version) {
    return;
  }
  if (!share.known || version != share.version) {
    share.known = true;
    share.version = version;
    share.unchanged_since = now;
    share.row = row == nullptr ? std::nullopt : ParseShareRow(row->value);
  }
  UpdateOwnership(share, now);
}

void ShareManager::UpdateOwnership(Share& share, TimePoint now) {
  const auto matches = [&](const LeaseWrite& write) {
    return share.row && !share.row->released && share.row->host == m_self &&
           share.row->incarnation == write.incarnation &&
           share.row->serial == write.serial;
  };
  const auto write = std::find_if(share.pending_writes.begin(),
                                  share.pending_writes.end(), matches);
  const bool is_pending = write != share.pending_writes.end();
  const bool is_confirmed = is_pending || matches(share.confirmed_write);
  if (share.ownership != Ownership::kNone && !is_confirmed) {
    share.ownership = Ownership::kNone;
    return;
  }
  if (is_pending && share.ownership != Ownership::kRevoked) {
    RecordLease(share, LeaseWrite(*write), now);
  }
}

void ShareManager::RecordLease(Share& share,
                               const LeaseWrite& write,
                               TimePoint now) {
  const TimePoint until = write.sent_at + m_options.lease;
  if (now >= until) {
    return;
  }
  if (share.ownership == Ownership::kNone) {
    share.from = now + m_options.activation_delay;
  }
  share.ownership = Ownership::kOwned;
  share.until = until;
  share.confirmed_write = write;
  if (m_stopping) {
    Revoke(share);
  }
}

}  // namespace applestand
