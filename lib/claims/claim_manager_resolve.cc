// The part of ClaimManager that determines, from a row that was read back, how
// a write ended whose condition failed or whose result was lost.

#include <utility>

#include "lib/claims/claim_manager.h"

namespace applestand {

namespace {

/// Returns the version of `row`, or 0, the version of an absent row, if `row`
/// is null.
RowVersion VersionOf(const Row* row) {
  return row == nullptr ? RowVersion(0) : row->version;
}

/// Returns the state of `row` if it holds `claim`, or std::nullopt otherwise.
std::optional<ClaimState> StateOfClaim(const ClaimId& claim, const Row* row) {
  if (row == nullptr) {
    return std::nullopt;
  }
  Reason reason;
  const std::optional<ClaimRow> found = ParseClaimRow(row->value, reason);
  if (!found || found->claim != claim) {
    return std::nullopt;
  }
  return found->state;
}

}  // namespace

void ClaimManager::ResolveClaiming(Serial serial,
                                   const Row* row,
                                   TimePoint now) {
  Entry& entry = Get(serial);
  if (StateOfClaim(entry.row.claim, row)) {
    Grant(serial, VersionOf(row), now);
    return;
  }
  if (VersionOf(row) == entry.expected) {
    QueueWrite(serial);
    return;
  }
  // The row version has changed, so no earlier write of this claim can take
  // effect.
  entry.uncertain = false;
  if (row == nullptr) {
    entry.expected = RowVersion(0);
    QueueWrite(serial);
    return;
  }
  ResolveOtherClaim(serial, *row);
}

void ClaimManager::ResolveOtherClaim(Serial serial, const Row& row) {
  Entry& entry = Get(serial);
  Reason reason;
  std::optional<ClaimRow> found = ParseClaimRow(row.value, reason);
  if (!found) {
    // Another version of this program may have written the row, so the request
    // may have run.
    Emit(ClaimEvent::Kind::kInDoubt, entry);
    Drop(serial);
    return;
  }
  if (found->state == ClaimState::kReleased ||
      m_abandoned.count(found->claim) != 0) {
    entry.expected = row.version;
    QueueWrite(serial);
    return;
  }
  if (found->hash != entry.row.hash) {
    Emit(ClaimEvent::Kind::kConflict, entry);
    Drop(serial);
    return;
  }
  if (found->state == ClaimState::kClaimed) {
    Emit(ClaimEvent::Kind::kInDoubt, entry);
    Drop(serial);
    return;
  }
  if (found->outcome.body_object_key.empty()) {
    EmitOutcome(entry.request, std::move(found->outcome));
    Drop(serial);
    return;
  }
  entry.phase = Phase::kFetching;
  entry.row = std::move(*found);
  m_active.erase(entry.row_key);
  m_object_queue.push_back(serial);
}

void ClaimManager::ResolveReleasing(Serial serial, const Row* row) {
  Entry& entry = Get(serial);
  if (const auto state = StateOfClaim(entry.row.claim, row)) {
    if (*state == ClaimState::kReleased) {
      Drop(serial);
      return;
    }
    entry.expected = row->version;
    QueueWrite(serial);
    return;
  }
  if (VersionOf(row) == entry.expected && entry.uncertain) {
    // Writing the released row at this version ensures that the lost write,
    // which requires the same version, cannot take effect later.
    QueueWrite(serial);
    return;
  }
  Drop(serial);
}

void ClaimManager::ResolveRecording(Serial serial, const Row* row) {
  Entry& entry = Get(serial);
  const auto state = StateOfClaim(entry.row.claim, row);
  if (state == ClaimState::kClaimed) {
    entry.expected = row->version;
    QueueWrite(serial);
    return;
  }
  if (!state) {
    ++m_counters.outcomes_dropped;
  }
  Drop(serial);
}

}  // namespace applestand
