#include "lib/seats/seat_manager.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "lib/seats/seat_rows.h"

namespace applestand {

namespace {

bool SameContents(const std::vector<OwnedSeat>& a,
                  const std::vector<OwnedSeat>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const OwnedSeat& x, const OwnedSeat& y) {
                      return x.index == y.index && x.from == y.from &&
                             x.until == y.until && x.serial == y.serial &&
                             x.row_incarnation == y.row_incarnation;
                    });
}

}  // namespace

SeatManager::SeatManager(HostId self,
                         Incarnation incarnation,
                         uint32_t seats,
                         Options options)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_options(options),
      m_seats(seats) {
  assert(seats > 0 && "contracts are split into at least one seat");
  assert(options.renew_interval < options.lease &&
         "a lease is renewed in time");
  assert(options.lease <= kMaxSeatLease &&
         "other hosts would not accept the row");
}

std::optional<SeatAction> SeatManager::NextAction(
    TimePoint now,
    const std::vector<HostId>& live_hosts) {
  if (m_outstanding) {
    return std::nullopt;
  }
  Expire(now);
  RevokeSurplus(now, live_hosts);
  if (!m_next_read || now >= *m_next_read) {
    return MakeRead();
  }
  if (m_next_write && now < *m_next_write) {
    return std::nullopt;
  }
  return MakeDueWrite(now, live_hosts);
}

SeatAction SeatManager::MakeRead() {
  SeatAction action;
  action.id = ++m_last_action;
  for (size_t i = 0; i < m_seats.size(); ++i) {
    action.read_keys.push_back(SeatKey(i));
  }
  m_outstanding = Outstanding{};
  m_outstanding->id = action.id;
  return action;
}

SeatAction SeatManager::MakeWrite(Kind kind, size_t index, TimePoint now) {
  Seat& seat = m_seats[index];
  Outstanding outstanding;
  outstanding.id = ++m_last_action;
  outstanding.kind = kind;
  outstanding.seat = index;
  outstanding.attempt = {++m_last_serial, m_incarnation, now};
  outstanding.row.host = m_self;
  outstanding.row.incarnation = m_incarnation;
  outstanding.row.lease = m_options.lease;
  outstanding.row.serial = outstanding.attempt.serial;
  outstanding.row.released = kind == Kind::kRelease;
  if (kind != Kind::kRelease) {
    seat.attempts.push_back(outstanding.attempt);
  }
  SeatAction action;
  action.id = outstanding.id;
  action.writes.push_back(
      {SeatKey(index), seat.version, Encode(outstanding.row)});
  m_outstanding = std::move(outstanding);
  return action;
}

std::optional<SeatAction> SeatManager::MakeDueWrite(
    TimePoint now,
    const std::vector<HostId>& live_hosts) {
  for (size_t i = 0; i < m_seats.size(); ++i) {
    const Seat& seat = m_seats[i];
    const bool confirmed = m_applied_generation >= seat.revoked_generation;
    if (seat.known && seat.hold == Hold::kRevoked &&
        (confirmed || now >= seat.until)) {
      return MakeWrite(Kind::kRelease, i, now);
    }
  }
  for (size_t i = 0; i < m_seats.size(); ++i) {
    const Seat& seat = m_seats[i];
    const TimePoint due =
        seat.until - m_options.lease + m_options.renew_interval;
    if (seat.known && seat.hold == Hold::kOwned && now >= due) {
      return MakeWrite(Kind::kRenew, i, now);
    }
  }
  if (const auto index = FindSeatToTake(now, live_hosts)) {
    return MakeWrite(Kind::kTake, *index, now);
  }
  return std::nullopt;
}

Duration SeatManager::LeaseOf(const Seat& seat) const {
  return seat.row ? seat.row->lease : m_options.lease;
}

bool SeatManager::IsFree(const Seat& seat, TimePoint now) const {
  if (!seat.known || seat.hold != Hold::kNone) {
    return false;
  }
  if (seat.version == RowVersion() || (seat.row && seat.row->released)) {
    return true;
  }
  // Nobody else can use a lease of this incarnation, and it does not either.
  if (seat.row && seat.row->host == m_self &&
      seat.row->incarnation == m_incarnation) {
    return true;
  }
  const Duration wait = LeaseOf(seat) + m_options.takeover_margin;
  return now - seat.unchanged_since >= wait;
}

void SeatManager::Expire(TimePoint now) {
  for (Seat& seat : m_seats) {
    if (seat.hold == Hold::kOwned && now >= seat.until) {
      seat.hold = Hold::kNone;
    }
    const auto is_over = [&](const Attempt& attempt) {
      return now >= attempt.sent_at + m_options.lease;
    };
    seat.attempts.erase(
        std::remove_if(seat.attempts.begin(), seat.attempts.end(), is_over),
        seat.attempts.end());
    if (!IsFree(seat, now)) {
      seat.free_since.reset();
    } else if (!seat.free_since) {
      seat.free_since = now;
    }
  }
}

void SeatManager::Revoke(Seat& seat) {
  seat.hold = Hold::kRevoked;
  ++m_generation;
  seat.revoked_generation = m_generation;
}

void SeatManager::BeginStop() {
  m_stopping = true;
  for (Seat& seat : m_seats) {
    if (seat.hold == Hold::kOwned) {
      Revoke(seat);
    }
  }
}

bool SeatManager::Stopped(TimePoint now) const {
  return m_stopping &&
         std::all_of(m_seats.begin(), m_seats.end(), [&](const Seat& seat) {
           return seat.hold == Hold::kNone ||
                  now >= seat.until + m_options.retry_interval;
         });
}

size_t SeatManager::OwnedCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_seats.begin(), m_seats.end(), [&](const Seat& seat) {
        return seat.hold == Hold::kOwned && now < seat.until;
      }));
}

SeatGrant SeatManager::Grant(TimePoint now) {
  Expire(now);
  std::vector<OwnedSeat> seats;
  for (size_t i = 0; i < m_seats.size(); ++i) {
    const Seat& seat = m_seats[i];
    if (seat.hold == Hold::kOwned) {
      seats.push_back({SeatIndex(i), seat.from.time_since_epoch(),
                       seat.until.time_since_epoch(), seat.proof.serial,
                       seat.proof.incarnation});
    }
  }
  if (!SameContents(seats, m_granted)) {
    ++m_generation;
    m_granted = seats;
  }
  return {m_incarnation, m_generation, std::move(seats)};
}

void SeatManager::OnGrantApplied(const SeatGrantApplied& applied) {
  if (applied.incarnation == m_incarnation) {
    m_applied_generation = std::max(m_applied_generation, applied.generation);
  }
}

void SeatManager::Adopt(TimePoint now, const SeatGrant& grant) {
  for (const OwnedSeat& owned : grant.seats) {
    if (owned.index.value() >= m_seats.size() ||
        TimePoint(owned.until) <= now) {
      continue;
    }
    Seat& seat = m_seats[owned.index.value()];
    seat.hold = Hold::kOwned;
    seat.from = TimePoint(owned.from);
    seat.until = TimePoint(owned.until);
    seat.proof = {owned.serial, owned.row_incarnation, now};
  }
}

}  // namespace applestand
