#include "lib/control/contract_share_service.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

/// Time that a new control process waits for the first report of the entry
/// process, which may still use contract shares that an earlier incarnation of
/// the control process granted.
constexpr Duration kAdoptTimeout = std::chrono::seconds(1);

}  // namespace

ContractShareService::ContractShareService(HostId self,
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
      m_started_at(loop.Now()),
      m_worker(clock) {}

void ContractShareService::CreateManager(uint32_t share_count) {
  m_share_count = share_count;
  m_manager = std::make_unique<ShareManager>(m_self, m_incarnation, share_count,
                                             m_options);
  if (m_entry_reported) {
    m_manager->Adopt(m_loop.Now(), m_entry_grant);
  }
}

void ContractShareService::Tick(uint32_t share_count,
                                const std::vector<HostId>& live_hosts) {
  const bool may_create =
      m_entry_reported || m_loop.Now() - m_started_at > kAdoptTimeout;
  if (!m_manager && may_create && !m_stopping) {
    CreateManager(share_count);
  }
  if (!m_manager) {
    return;
  }
  LogOwnershipChange();
  if (const auto action = m_manager->NextAction(m_loop.Now(), live_hosts)) {
    RunAction(*action);
  }
}

void ContractShareService::RunAction(const ShareAction& action) {
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

void ContractShareService::OnEntryGrant(const ShareGrant& grant) {
  m_entry_reported = true;
  m_entry_grant = grant;
  if (m_manager) {
    m_manager->OnGrantApplied({grant.incarnation, grant.generation});
  }
}

ShareGrant ContractShareService::Grant() {
  return m_manager ? m_manager->Grant(m_loop.Now()) : ShareGrant();
}

void ContractShareService::BeginStop() {
  m_stopping = true;
  if (m_manager) {
    m_manager->BeginStop();
  }
}

bool ContractShareService::Stopped() const {
  return !m_manager || m_manager->Stopped(m_loop.Now());
}

size_t ContractShareService::OwnedCount() const {
  return m_manager ? m_manager->OwnedCount(m_loop.Now()) : 0;
}

void ContractShareService::LogOwnershipChange() {
  const size_t owned = OwnedCount();
  if (owned == m_last_owned_count) {
    return;
  }
  const Event lost = m_stopping ? Event::kSeatReleased : Event::kSeatLost;
  LogEvent(owned > m_last_owned_count ? Event::kSeatTaken : lost,
           {{"owned", owned}});
  m_last_owned_count = owned;
}

}  // namespace applestand
