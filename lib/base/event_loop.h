#ifndef LIB_BASE_EVENT_LOOP_H_
#define LIB_BASE_EVENT_LOOP_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "lib/base/clock.h"

namespace applestand {

/// Runs tasks one at a time on one thread. Classes that contain decision logic
/// need no locks: each is used on one event loop only, and other threads post
/// tasks to that loop.
///
/// Thread safety: Post, PostDelayed and Now may be called from any thread; Run
/// from one thread only. Stop may be called from any thread and is idempotent.
class EventLoop {
 public:
  using Task = std::function<void()>;

  /// `clock` must outlive this object.
  explicit EventLoop(const Clock& clock) : m_clock(clock) {}
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Queues `task`. Tasks posted after Stop are dropped.
  void Post(Task task) { PostDelayed(Duration::zero(), std::move(task)); }

  /// Queues `task` to run no earlier than `delay` from now. Tasks posted after
  /// Stop are dropped.
  void PostDelayed(Duration delay, Task task);

  /// Queues `task`, and again `period` after the end of each run, until the
  /// loop stops.
  void RunEvery(Duration period, const Task& task);

  /// Runs tasks until Stop is called.
  void Run();

  /// Makes Run return after the current task. Tasks still queued do not run.
  void Stop();

  TimePoint Now() const { return m_clock.Now(); }

 private:
  const Clock& m_clock;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::multimap<TimePoint, Task> m_tasks;
  bool m_stopped = false;
};

}  // namespace applestand

#endif  // LIB_BASE_EVENT_LOOP_H_
