#ifndef LIB_NET_REACTOR_H_
#define LIB_NET_REACTOR_H_

#include <uv.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

#include "lib/base/clock.h"
#include "lib/net/write_backlog.h"

namespace applestand {

/// Returns the resident memory of this process in bytes, 0 if it is unknown.
/// Thread-safe.
size_t ResidentMemory();

/// Something that goes on without an owner until it releases itself. Not
/// thread-safe.
class BackgroundTask {
 public:
  virtual ~BackgroundTask() = default;
};

/// A single-threaded event loop for sockets, timers and signals, based on
/// libuv.
///
/// Objects created on a reactor may be used only on the thread that calls Run,
/// and must be destroyed before the reactor. The process ignores SIGPIPE once
/// there has been one. Not thread-safe.
class Reactor {
 public:
  /// Throws std::runtime_error if the event loop cannot be created.
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  /// Runs the event loop until Stop is called, or until no active handle is
  /// left.
  void Run();
  /// Makes Run return once the current iteration of the loop ends. Call it from
  /// a callback of the loop.
  void Stop();

  /// Returns the time since boot, including time in suspend.
  TimePoint Now() const { return m_clock.Now(); }

  /// Keeps `task` until Release is called or the reactor is destroyed.
  void Keep(std::unique_ptr<BackgroundTask> task);
  /// Destroys `task`. Precondition: it was passed to Keep.
  void Release(BackgroundTask* task);
  /// Returns how many tasks are kept.
  size_t background_tasks() const { return m_background_tasks.size(); }

  /// The data of all connections that waits to be written.
  WriteBacklog& write_backlog() { return m_write_backlog; }

  /// The underlying libuv loop, for the classes of this library.
  uv_loop_t* loop() { return &m_loop; }

 private:
  BootClock m_clock;
  uv_loop_t m_loop;
  WriteBacklog m_write_backlog;
  std::map<BackgroundTask*, std::unique_ptr<BackgroundTask>> m_background_tasks;
};

/// Runs a task once or periodically on the reactor's thread. Destroying the
/// timer cancels the task. Resolution: 1 ms. Not thread-safe.
class Timer {
 public:
  using Task = std::function<void()>;

  explicit Timer(Reactor& reactor);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs `task` once after `delay`, rounded down to milliseconds; a negative
  /// delay counts as zero. Replaces any task set before.
  void Start(Duration delay, Task task);
  /// Runs `task` every `period`, the first time after one period. Replaces any
  /// task set before. Precondition: `period` is at least 1 ms.
  void StartRepeating(Duration period, Task task);
  /// Stops the timer; the task does not run again unless it is started anew.
  void Cancel();

 private:
  struct Handle;
  Handle* m_handle;
};

/// Runs a task at the end of each iteration of the reactor's loop, before it
/// waits for events. Destroying the hook stops this. Not thread-safe.
class WaitHook {
 public:
  /// `task` must not destroy the hook.
  WaitHook(Reactor& reactor, std::function<void()> task);
  ~WaitHook();
  WaitHook(const WaitHook&) = delete;
  WaitHook& operator=(const WaitHook&) = delete;

 private:
  struct Handle;
  Handle* m_handle;
};

/// Runs a task on the reactor's thread each time the process receives a signal.
/// Destroying the handler stops this. Not thread-safe.
class SignalHandler {
 public:
  SignalHandler(Reactor& reactor, int signal, std::function<void()> task);
  ~SignalHandler();
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  struct Handle;
  Handle* m_handle;
};

}  // namespace applestand

#endif  // LIB_NET_REACTOR_H_
