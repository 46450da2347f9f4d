// The part of ClaimBook that decides, from a row that was read back, how a
// write with a failed condition or a lost answer ended.

#include <utility>

#include "lib/claims/claim_book.h"

namespace applestand {

namespace {

RowVersion VersionOf(const Row* row) {
  return row == nullptr ? RowVersion(0) : row->version;
}

/// The state of `row` if it holds `claim`.
std::optional<ClaimState> StateUnder(const ClaimId& claim, const Row* row) {
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

void ClaimBook::ResolveClaiming(Serial serial, const Row* row, TimePoint now) {
  Entry& entry = Get(serial);
  if (StateUnder(entry.row.claim, row)) {
    Grant(serial, VersionOf(row), now);
    return;
  }
  if (VersionOf(row) == entry.expected) {
    QueueWrite(serial);
    return;
  }
  // The row has moved on, so no earlier write of this claim can take effect.
  entry.uncertain = false;
  if (row == nullptr) {
    entry.expected = RowVersion(0);
    QueueWrite(serial);
    return;
  }
  ResolveForeign(serial, *row);
}

void ClaimBook::ResolveForeign(Serial serial, const Row& row) {
  Entry& entry = Get(serial);
  Reason reason;
  std::optional<ClaimRow> found = ParseClaimRow(row.value, reason);
  if (!found) {
    // Another version of the program may have written it: assume the worst.
    Emit(ClaimEvent::Kind::kInDoubt, entry);
    Drop(serial);
    return;
  }
  if (found->state == ClaimState::kReleased ||
      m_dead.count(found->claim) != 0) {
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
  if (found->outcome.body_object.empty()) {
    EmitOutcome(entry.request, std::move(found->outcome));
    Drop(serial);
    return;
  }
  entry.phase = Phase::kFetching;
  entry.row = std::move(*found);
  m_live.erase(entry.row_key);
  m_objects.push_back(serial);
}

void ClaimBook::ResolveReleasing(Serial serial, const Row* row) {
  Entry& entry = Get(serial);
  if (const auto state = StateUnder(entry.row.claim, row)) {
    if (*state == ClaimState::kReleased) {
      Drop(serial);
      return;
    }
    entry.expected = row->version;
    QueueWrite(serial);
    return;
  }
  if (VersionOf(row) == entry.expected && entry.uncertain) {
    // Writing the released row at this version keeps the lost write, which
    // wants the same version, from taking effect later.
    QueueWrite(serial);
    return;
  }
  Drop(serial);
}

void ClaimBook::ResolveRecording(Serial serial, const Row* row) {
  Entry& entry = Get(serial);
  const auto state = StateUnder(entry.row.claim, row);
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
