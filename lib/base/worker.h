#ifndef LIB_BASE_WORKER_H_
#define LIB_BASE_WORKER_H_

#include <thread>
#include <utility>

#include "lib/base/event_loop.h"

namespace applestand {

/// Thread for blocking calls. Runs tasks one at a time. The destructor waits
/// for the current task; tasks that have not started by then are dropped.
/// Thread safety: Post may be called from any thread.
class Worker {
 public:
  explicit Worker(const Clock& clock)
      : m_loop(clock), m_thread([this] { m_loop.Run(); }) {}
  ~Worker() {
    m_loop.Stop();
    m_thread.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Post(EventLoop::Task task) { m_loop.Post(std::move(task)); }

 private:
  EventLoop m_loop;
  std::thread m_thread;
};

}  // namespace applestand

#endif  // LIB_BASE_WORKER_H_
