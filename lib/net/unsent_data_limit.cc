#include "lib/net/unsent_data_limit.h"

#include <utility>

namespace applestand {

namespace {

constexpr Duration kObservePeriod = std::chrono::milliseconds(100);

}  // namespace

UnsentDataLimit::UnsentDataLimit(Reactor& reactor,
                                 size_t max_bytes,
                                 std::function<void(const Cut&)> on_cut)
    : m_reactor(reactor),
      m_max_bytes(max_bytes),
      m_on_cut(std::move(on_cut)),
      m_observe_timer(reactor),
      m_wait_hook(reactor, [this] { Enforce(); }) {}

void UnsentDataLimit::Enforce() {
  WriteBacklog& backlog = m_reactor.write_backlog();
  const bool observe = backlog.held_bytes() > 0;
  if (observe && !std::exchange(m_observing, observe)) {
    m_observe_timer.StartRepeating(
        kObservePeriod, [this, &backlog] { backlog.Observe(m_reactor.Now()); });
  } else if (!observe && std::exchange(m_observing, observe)) {
    m_observe_timer.Cancel();
  }
  while (backlog.held_bytes() > m_max_bytes) {
    const TimePoint now = m_reactor.Now();
    const WriteBacklog::Entry entry = backlog.FindLongestStalled(now);
    m_on_cut({entry.stream->peer(), entry.held_bytes, backlog.held_bytes(),
              entry.stalled});
    backlog.Remove(*entry.stream);
    entry.stream->EndForBacklog();
  }
}

}  // namespace applestand
