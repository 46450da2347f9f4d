#include "lib/entry/usage_service.h"

#include <utility>

namespace applestand {

UsageService::UsageService(HostId self,
                           Incarnation incarnation,
                           const Clock& clock,
                           EventLoop& loop,
                           TableService& table)
    : m_loop(loop),
      m_table(table),
      m_counter(std::move(self), incarnation, UsageCounter::Options()),
      m_worker(clock) {}

void UsageService::Tick() {
  if (const auto action = m_counter.NextAction(m_loop.Now(), m_flush)) {
    RunTableCall(*action);
  }
}

void UsageService::BeginStop() {
  m_flush = true;
  Tick();
}

void UsageService::RunTableCall(const UsageAction& action) {
  m_worker.Post([this, action] {
    if (!action.writes.empty()) {
      const TableStatus status = m_table.Transact(action.writes);
      m_loop.Post([this, id = action.id, status] {
        m_counter.OnTransactResult(m_loop.Now(), id, status);
        Tick();
      });
      return;
    }
    const ReadResult result = m_table.Read(action.read_keys);
    m_loop.Post([this, id = action.id, result] {
      m_counter.OnReadResult(m_loop.Now(), id, result);
      Tick();
    });
  });
}

}  // namespace applestand
