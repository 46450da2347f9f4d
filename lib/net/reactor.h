#ifndef LIB_NET_REACTOR_H_
#define LIB_NET_REACTOR_H_

#include <uv.h>

#include <functional>
#include <memory>

#include "lib/base/clock.h"

namespace applestand {

/// One thread's event loop for sockets, timers and signals, on libuv.
///
/// Everything created on a reactor lives on the thread that calls Run, and must
/// be destroyed before the reactor. Not thread-safe.
class Reactor {
 public:
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  /// Runs until Stop is called.
  void Run();
  /// Makes Run return after the present callback.
  void Stop();

  /// Time since boot, counted also while the machine is suspended.
  TimePoint Now() const { return m_clock.Now(); }

  /// The loop underneath, for this library's own classes.
  uv_loop_t* loop() { return &m_loop; }

 private:
  BootClock m_clock;
  uv_loop_t m_loop;
};

/// Runs a task once or repeatedly. Destroying it cancels the task.
/// Not thread-safe.
class Timer {
 public:
  using Task = std::function<void()>;

  explicit Timer(Reactor& reactor);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs `task` once after `delay`, instead of any earlier task.
  void Start(Duration delay, Task task);
  /// Runs `task` every `period`, first after `period`. Precondition: at least
  /// 1 ms.
  void StartRepeating(Duration period, Task task);
  /// Drops the task.
  void Cancel();

 private:
  struct Handle;
  Handle* m_handle;
};

/// Runs a task each time the process gets a signal. Not thread-safe.
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
