#include <algorithm>
#include <functional>

#include "lib/seats/seat_manager.h"

namespace applestand {

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

}  // namespace applestand
