#include "lib/base/event_loop.h"

namespace applestand {

void EventLoop::PostDelayed(Duration delay, Task task) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopped) {
      return;
    }
    m_tasks.emplace(m_clock.Now() + delay, std::move(task));
  }
  m_wake.notify_one();
}

void EventLoop::RunEvery(Duration period, const Task& task) {
  Post([this, period, task] {
    task();
    PostDelayed(period, [this, period, task] { RunEvery(period, task); });
  });
}

void EventLoop::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopped) {
    if (m_tasks.empty()) {
      m_wake.wait(lock);
      continue;
    }
    const auto first = m_tasks.begin();
    const Duration wait = first->first - m_clock.Now();
    if (wait > Duration::zero()) {
      m_wake.wait_for(lock, wait);
      continue;
    }
    Task task = std::move(first->second);
    m_tasks.erase(first);
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

void EventLoop::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_wake.notify_all();
}

}  // namespace applestand
