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
      m_book(ClaimOptions(), std::move(self), incarnation) {
  for (size_t i = 0; i < ClaimOptions().max_in_flight; ++i) {
    m_workers.push_back(std::make_unique<Worker>(clock));
  }
}

ClaimRequestId ClaimService::Begin(ClaimRequest request, OnEvent on_event) {
  m_last_id = m_last_id.Next();
  const ClaimRequestId id = m_last_id;
  request.id = id;
  m_waiting[id] = std::move(on_event);
  m_book.Begin(std::move(request), m_loop.Now());
  m_loop.Post([this] { Pump(); });
  return id;
}

bool ClaimService::MaySend(ClaimRequestId request) {
  return m_book.MaySend(request, m_loop.Now());
}

void ClaimService::Finish(ClaimRequestId request,
                          Ran ran,
                          std::optional<ClaimOutcome> outcome) {
  m_book.Finish(request, ran, std::move(outcome), m_loop.Now());
  Pump();
}

void ClaimService::Pump() {
  while (const auto work = m_book.NextStoreCall(m_loop.Now())) {
    Worker& worker = *m_workers[m_next_worker++ % m_workers.size()];
    worker.Post([this, work = *work] {
      const ClaimStoreCallResult result = Execute(work, m_table, m_objects);
      m_loop.Post([this, result] {
        m_book.OnResult(result, m_loop.Now());
        Pump();
      });
    });
  }
  for (const ClaimEvent& event : m_book.TakeEvents()) {
    const auto it = m_waiting.find(event.request);
    if (it == m_waiting.end()) {
      continue;
    }
    const OnEvent on_event = std::move(it->second);
    m_waiting.erase(it);
    on_event(event);
  }
  ScheduleWakeup();
}

void ClaimService::ScheduleWakeup() {
  const auto next = m_book.NextWakeup();
  if (!next || (m_wakeup && *m_wakeup <= *next)) {
    return;
  }
  m_wakeup = next;
  const Duration delay =
      std::max<Duration>(*next - m_loop.Now(), Duration::zero());
  m_loop.PostDelayed(delay, [this] {
    m_wakeup.reset();
    Pump();
  });
}

}  // namespace applestand
