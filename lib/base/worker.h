#ifndef LIB_BASE_WORKER_H_
#define LIB_BASE_WORKER_H_

#include <thread>
#include <utility>

#include "lib/base/event_loop.h"

namespace applestand {

/// A thread for calls that block. Tasks run one after the other; those not
/// begun when the worker is destroyed are dropped.
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
