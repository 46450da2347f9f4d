#include "lib/control/seat_service.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

/// Time that a new control process waits for an entry process that may hold
/// seats of an earlier one.
constexpr Duration kAdoptWait = std::chrono::seconds(1);

}  // namespace

SeatService::SeatService(HostId self,
                         Incarnation incarnation,
                         const ShareManager::Options& options,
                         const Clock& clock,
                         EventLoop& loop,
                         TableService& table)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_options(options),
      m_loop(loop),
      m_table(table),
      m_start(loop.Now()),
      m_worker(clock) {}

void SeatService::Start(uint32_t seats) {
  m_seats = seats;
  m_manager =
      std::make_unique<ShareManager>(m_self, m_incarnation, seats, m_options);
  if (m_entry_seen) {
    m_manager->Adopt(m_loop.Now(), m_entry_grant);
  }
}

void SeatService::Tick(uint32_t seats, const std::vector<HostId>& live_hosts) {
  const bool may_start = m_entry_seen || m_loop.Now() - m_start > kAdoptWait;
  if (!m_manager && may_start && !m_stopping) {
    Start(seats);
  }
  if (!m_manager) {
    return;
  }
  NoteOwned();
  if (const auto action = m_manager->NextAction(m_loop.Now(), live_hosts)) {
    Run(*action);
  }
}

void SeatService::Run(const ShareAction& action) {
  m_worker.Post([this, action] {
    if (!action.writes.empty()) {
      const TableStatus status = m_table.Transact(action.writes);
      m_loop.Post([this, id = action.id, status] {
        m_manager->OnTransactResult(m_loop.Now(), id, status);
      });
      return;
    }
    const ReadResult result = m_table.Read(action.read_keys);
    m_loop.Post([this, id = action.id, result] {
      m_manager->OnReadResult(m_loop.Now(), id, result);
    });
  });
}

void SeatService::OnEntryGrant(const ShareGrant& grant) {
  m_entry_seen = true;
  m_entry_grant = grant;
  if (m_manager) {
    m_manager->OnGrantApplied({grant.incarnation, grant.generation});
  }
}

ShareGrant SeatService::Grant() {
  return m_manager ? m_manager->Grant(m_loop.Now()) : ShareGrant();
}

void SeatService::BeginStop() {
  m_stopping = true;
  if (m_manager) {
    m_manager->BeginStop();
  }
}

bool SeatService::Stopped() const {
  return !m_manager || m_manager->Stopped(m_loop.Now());
}

size_t SeatService::OwnedCount() const {
  return m_manager ? m_manager->OwnedCount(m_loop.Now()) : 0;
}

void SeatService::NoteOwned() {
  const size_t owned = OwnedCount();
  if (owned == m_owned) {
    return;
  }
  const Event lost = m_stopping ? Event::kSeatReleased : Event::kSeatLost;
  LogEvent(owned > m_owned ? Event::kSeatTaken : lost, {{"owned", owned}});
  m_owned = owned;
}

}  // namespace applestand
