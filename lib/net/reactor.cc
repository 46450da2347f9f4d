#include "lib/net/reactor.h"

#include <csignal>
#include <stdexcept>
#include <string>
#include <utility>

namespace applestand {

size_t ResidentMemory() {
  size_t bytes = 0;
  return uv_resident_set_memory(&bytes) == 0 ? bytes : 0;
}

Reactor::Reactor() {
  // libuv writes to sockets that their peers have closed without suppressing
  // the signal.
  signal(SIGPIPE, SIG_IGN);
  if (const int error = uv_loop_init(&m_loop); error != 0) {
    throw std::runtime_error(std::string("cannot create the event loop: ") +
                             uv_strerror(error));
  }
}

Reactor::~Reactor() {
  m_background_tasks.clear();
  // libuv calls the close callbacks, which free the handles, in the next
  // iteration of the loop.
  uv_run(&m_loop, UV_RUN_NOWAIT);
  uv_loop_close(&m_loop);
}

void Reactor::Keep(std::unique_ptr<BackgroundTask> task) {
  BackgroundTask* const key = task.get();
  m_background_tasks.emplace(key, std::move(task));
}

void Reactor::Release(BackgroundTask* task) {
  m_background_tasks.erase(task);
}

void Reactor::Run() {
  uv_run(&m_loop, UV_RUN_DEFAULT);
}

void Reactor::Stop() {
  uv_stop(&m_loop);
}

struct Timer::Handle {
  uv_timer_t timer;
  Task task;
};

Timer::Timer(Reactor& reactor) : m_handle(new Handle) {
  uv_timer_init(reactor.loop(), &m_handle->timer);
  m_handle->timer.data = m_handle;
}

Timer::~Timer() {
  uv_timer_stop(&m_handle->timer);
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_handle->timer),
      [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::Start(Duration delay, Task task) {
  m_handle->task = std::move(task);
  const int64_t delay_ms = delay > Duration::zero() ? ToMillis(delay) : 0;
  uv_update_time(m_handle->timer.loop);
  uv_timer_start(
      &m_handle->timer,
      [](uv_timer_t* timer) {
        // Moved out of the handle because the task may restart or destroy the
        // timer.
        const Task task = std::move(static_cast<Handle*>(timer->data)->task);
        task();
      },
      static_cast<uint64_t>(delay_ms), 0);
}

void Timer::StartRepeating(Duration period, Task task) {
  m_handle->task = std::move(task);
  const auto period_ms = static_cast<uint64_t>(ToMillis(period));
  uv_update_time(m_handle->timer.loop);
  uv_timer_start(
      &m_handle->timer,
      [](uv_timer_t* timer) {
        // Copied because the task may destroy the timer.
        const Task task = static_cast<Handle*>(timer->data)->task;
        task();
      },
      period_ms, period_ms);
}

void Timer::Cancel() {
  uv_timer_stop(&m_handle->timer);
}

struct WaitHook::Handle {
  uv_prepare_t prepare;
  std::function<void()> task;
};

WaitHook::WaitHook(Reactor& reactor, std::function<void()> task)
    : m_handle(new Handle) {
  m_handle->task = std::move(task);
  uv_prepare_init(reactor.loop(), &m_handle->prepare);
  m_handle->prepare.data = m_handle;
  uv_prepare_start(&m_handle->prepare, [](uv_prepare_t* prepare) {
    static_cast<Handle*>(prepare->data)->task();
  });
  // Does not keep the loop running by itself.
  uv_unref(reinterpret_cast<uv_handle_t*>(&m_handle->prepare));
}

WaitHook::~WaitHook() {
  uv_prepare_stop(&m_handle->prepare);
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_handle->prepare),
      [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

struct SignalHandler::Handle {
  uv_signal_t signal;
  std::function<void()> task;
};

SignalHandler::SignalHandler(Reactor& reactor,
                             int signal,
                             std::function<void()> task)
    : m_handle(new Handle) {
  m_handle->task = std::move(task);
  uv_signal_init(reactor.loop(), &m_handle->signal);
  m_handle->signal.data = m_handle;
  uv_signal_start(
      &m_handle->signal,
      [](uv_signal_t* handle, int) {
        // Copied because the task may destroy the signal handler.
        const std::function<void()> task =
            static_cast<Handle*>(handle->data)->task;
        task();
      },
      signal);
}

SignalHandler::~SignalHandler() {
  uv_signal_stop(&m_handle->signal);
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_handle->signal),
      [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

}  // namespace applestand
