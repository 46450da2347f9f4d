#include "lib/entry/claim_service.h"

#include <algorithm>
#include <utility>

#include "lib/log/log.h"

namespace applestand {

ClaimService::ClaimService(HostId self,
                           Incarnation incarnation,
                           const Clock& clock,
                           EventLoop& loop,
                           TableService& table,
                           ObjectStore& objects)
    : m_loop(loop),
      m_table(table),
      m_objects(objects),
      m_claim_manager(ClaimOptions(), std::move(self), incarnation) {
  for (size_t i = 0; i < ClaimOptions().max_in_flight; ++i) {
    m_workers.push_back(std::make_unique<Worker>(clock));
  }
}

ClaimRequestId ClaimService::Begin(ClaimRequest request, OnEvent on_event) {
  m_last_id = m_last_id.Next();
  const ClaimRequestId id = m_last_id;
  request.id = id;
  m_event_callbacks[id] = std::move(on_event);
  m_claim_manager.Begin(std::move(request), m_loop.Now());
  m_loop.Post([this] { ProcessPending(); });
  return id;
}

bool ClaimService::MaySend(ClaimRequestId request) {
  return m_claim_manager.MaySend(request, m_loop.Now());
}

void ClaimService::Finish(ClaimRequestId request,
                          Ran ran,
                          std::optional<ClaimOutcome> outcome) {
  m_claim_manager.Finish(request, ran, std::move(outcome), m_loop.Now());
  ProcessPending();
}

void ClaimService::ProcessPending() {
  while (const auto call = m_claim_manager.NextStoreCall(m_loop.Now())) {
    Worker& worker = *m_workers[m_next_worker++ % m_workers.size()];
    worker.Post([this, call = *call] {
      const ClaimStoreCallResult result = Execute(call, m_table, m_objects);
      m_loop.Post([this, result] {
        m_claim_manager.OnResult(result, m_loop.Now());
        ProcessPending();
      });
    });
  }
  for (const ClaimEvent& event : m_claim_manager.TakeEvents()) {
    const auto it = m_event_callbacks.find(event.request);
    if (it == m_event_callbacks.end()) {
      continue;
    }
    const OnEvent on_event = std::move(it->second);
    m_event_callbacks.erase(it);
    on_event(event);
  }
  ScheduleWakeup();
}

void ClaimService::ScheduleWakeup() {
  const auto next = m_claim_manager.NextWakeup();
  if (!next || (m_scheduled_wakeup && *m_scheduled_wakeup <= *next)) {
    return;
  }
  m_scheduled_wakeup = next;
  const Duration delay =
      std::max<Duration>(*next - m_loop.Now(), Duration::zero());
  m_loop.PostDelayed(delay, [this] {
    m_scheduled_wakeup.reset();
    ProcessPending();
  });
}

}  // namespace applestand
