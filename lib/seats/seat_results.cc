#include <algorithm>
#include <string>
#include <utility>

#include "lib/seats/seat_manager.h"
#include "lib/seats/seat_rows.h"

namespace applestand {

void SeatManager::OnTransactResult(TimePoint now,
                                   uint64_t action_id,
                                   TableStatus status) {
  if (!m_outstanding || m_outstanding->id != action_id) {
    return;
  }
  const Outstanding done = *std::exchange(m_outstanding, std::nullopt);
  Expire(now);
  Seat& seat = m_seats[done.seat];
  if (status == TableStatus::kOk) {
    OnWritten(seat, done, now);
    return;
  }
  if (status != TableStatus::kUnknown) {
    const auto never_effective = [&](const Attempt& attempt) {
      return attempt.serial == done.attempt.serial;
    };
    seat.attempts.erase(std::remove_if(seat.attempts.begin(),
                                       seat.attempts.end(), never_effective),
                        seat.attempts.end());
  }
  if (status != TableStatus::kUnavailable) {
    m_next_read = now;
  }
  if (status != TableStatus::kConflict) {
    m_next_write = now + m_options.retry_interval;
  }
}

void SeatManager::OnWritten(Seat& seat,
                            const Outstanding& done,
                            TimePoint now) {
  seat.version = seat.version.Next();
  seat.row = done.row;
  seat.unchanged_since = now;
  if (done.kind == Kind::kRelease) {
    seat.hold = Hold::kNone;
    seat.attempts.clear();
    return;
  }
  UpdateHold(seat, now);
}

void SeatManager::OnReadResult(TimePoint now,
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
  Expire(now);
  std::map<std::string, const Row*> rows;
  for (const Row& row : result.rows) {
    rows[row.key] = &row;
  }
  for (size_t i = 0; i < m_seats.size(); ++i) {
    const auto row = rows.find(SeatKey(i));
    ObserveRow(m_seats[i], row == rows.end() ? nullptr : row->second, now);
  }
  m_next_read =
      now + (OwnedCount(now) > 0 ? m_options.poll_interval
                                 : m_options.poll_interval_without_seat);
}

void SeatManager::ObserveRow(Seat& seat, const Row* row, TimePoint now) {
  const RowVersion version = row == nullptr ? RowVersion() : row->version;
  if (row != nullptr && seat.known && version < seat.version) {
    return;
  }
  if (!seat.known || version != seat.version) {
    seat.known = true;
    seat.version = version;
    seat.unchanged_since = now;
    seat.row = row == nullptr ? std::nullopt : ParseSeatRow(row->value);
  }
  UpdateHold(seat, now);
}

void SeatManager::UpdateHold(Seat& seat, TimePoint now) {
  const auto matches = [&](const Attempt& attempt) {
    return seat.row && !seat.row->released && seat.row->host == m_self &&
           seat.row->incarnation == attempt.incarnation &&
           seat.row->serial == attempt.serial;
  };
  const auto attempt =
      std::find_if(seat.attempts.begin(), seat.attempts.end(), matches);
  const bool is_new = attempt != seat.attempts.end();
  const bool is_proven = is_new || matches(seat.proof);
  if (seat.hold != Hold::kNone && !is_proven) {
    seat.hold = Hold::kNone;
    return;
  }
  if (is_new && seat.hold != Hold::kRevoked) {
    Own(seat, Attempt(*attempt), now);
  }
}

void SeatManager::Own(Seat& seat, const Attempt& attempt, TimePoint now) {
  const TimePoint until = attempt.sent_at + m_options.lease;
  if (now >= until) {
    return;
  }
  if (seat.hold == Hold::kNone) {
    seat.from = now + m_options.settle;
  }
  seat.hold = Hold::kOwned;
  seat.until = until;
  seat.proof = attempt;
  if (m_stopping) {
    Revoke(seat);
  }
}

}  // namespace applestand
