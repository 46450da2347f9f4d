#include "lib/seats/seat_manager.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <string>
#include <utility>

namespace applestand {

namespace {

constexpr char kKeyPrefix[] = "seat/";
constexpr Duration kMaxLease = std::chrono::hours(1);

std::string KeyOf(size_t seat) {
  return kKeyPrefix + std::to_string(seat);
}

std::optional<SeatRow> ParseRow(const std::string& value) {
  Reason ignored;
  std::optional<SeatRow> row = Decode<SeatRow>(value, ignored);
  if (!row || row->lease <= Duration::zero() || row->lease > kMaxLease) {
    return std::nullopt;
  }
  return row;
}

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
  assert(options.lease <= kMaxLease && "other hosts would not accept the row");
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
    action.read_keys.push_back(KeyOf(i));
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
      {KeyOf(index), seat.version, Encode(outstanding.row)});
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

std::optional<size_t> SeatManager::FindSeatToTake(
    TimePoint now,
    const std::vector<HostId>& live_hosts) const {
  if (m_stopping) {
    return std::nullopt;
  }
  const std::map<HostId, size_t> counts = CountSeats(live_hosts, now);
  const size_t own = counts.at(m_self);
  const bool among_poorest =
      std::all_of(counts.begin(), counts.end(),
                  [&](const auto& entry) { return own <= entry.second; });
  // Hosts start at different seats, so that they rarely race for one.
  const size_t start = std::hash<HostId>()(m_self) % m_seats.size();
  for (size_t i = 0; i < m_seats.size(); ++i) {
    const size_t index = (start + i) % m_seats.size();
    const Seat& seat = m_seats[index];
    if (!IsFree(seat, now)) {
      continue;
    }
    const bool yielded =
        seat.free_since && now - *seat.free_since >= m_options.yield_interval;
    if (among_poorest || yielded) {
      return index;
    }
  }
  return std::nullopt;
}

void SeatManager::RevokeSurplus(TimePoint now,
                                const std::vector<HostId>& live_hosts) {
  if (m_stopping || (m_next_revoke && now < *m_next_revoke)) {
    return;
  }
  for (const Seat& seat : m_seats) {
    if (!seat.known || IsFree(seat, now)) {
      return;
    }
  }
  const std::map<HostId, size_t> counts = CountSeats(live_hosts, now);
  size_t fewest = m_seats.size();
  for (const auto& [host, count] : counts) {
    fewest = std::min(fewest, count);
  }
  const size_t own = counts.at(m_self);
  if (own < fewest + 2) {
    return;
  }
  // Of the hosts with most seats only as many release one as hosts lack one.
  size_t poor = 0;
  size_t richer = 0;
  for (const auto& [host, count] : counts) {
    poor += count == fewest ? 1 : 0;
    richer += count > own || (count == own && host < m_self) ? 1 : 0;
  }
  if (richer >= poor) {
    return;
  }
  const auto surplus =
      std::find_if(m_seats.begin(), m_seats.end(),
                   [](const Seat& seat) { return seat.hold == Hold::kOwned; });
  if (surplus != m_seats.end()) {
    Revoke(*surplus);
    m_next_revoke = now + m_options.lease;
  }
}

std::map<HostId, size_t> SeatManager::CountSeats(
    const std::vector<HostId>& live_hosts,
    TimePoint now) const {
  std::map<HostId, size_t> counts;
  for (const HostId& host : live_hosts) {
    counts[host] = 0;
  }
  counts[m_self] = OwnedCount(now);
  for (const Seat& seat : m_seats) {
    if (seat.hold != Hold::kNone || !seat.row || IsFree(seat, now)) {
      continue;
    }
    const auto holder = counts.find(seat.row->host);
    if (holder != counts.end() && holder->first != m_self) {
      ++holder->second;
    }
  }
  return counts;
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
    const auto row = rows.find(KeyOf(i));
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
    seat.row = row == nullptr ? std::nullopt : ParseRow(row->value);
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
