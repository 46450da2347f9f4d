#include "lib/http/connection_table.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <system_error>
#include <utility>

namespace applestand {

namespace {

constexpr size_t kMaxEvents = 64;
// Connection ids start at 1.
constexpr uint64_t kWakeId = 0;
// Number of checks within the shortest time limit, so that a check is late by
// at most that part of it. The bounds below take precedence.
constexpr int kTicksPerTimeout = 4;
constexpr Duration kMinTickPeriod = std::chrono::milliseconds(5);
constexpr Duration kMaxTickPeriod = std::chrono::milliseconds(250);

int Checked(int fd, const char* what) {
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), what);
  }
  return fd;
}

}  // namespace

ConnectionTable::ConnectionTable(std::shared_ptr<ServerCore> core)
    : m_core(std::move(core)),
      m_epoll(Checked(epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      m_wake(Checked(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK), "eventfd")) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  Checked(epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event), "epoll_ctl");
}

ConnectionTable::~ConnectionTable() {
  Stop();
  close(m_wake);
  close(m_epoll);
}

void ConnectionTable::Start() {
  m_thread = std::thread([this] { Run(); });
}

void ConnectionTable::Stop() {
  m_stopped = true;
  Wake();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

std::shared_ptr<Connection> ConnectionTable::Open(int fd, std::string peer) {
  const uint64_t id = ++m_last_id;
  auto connection =
      std::make_shared<Connection>(fd, id, std::move(peer), m_core, *this);
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_connections.size() >= m_core->options.max_connections) {
    return nullptr;
  }
  m_connections[id] = connection;
  return connection;
}

void ConnectionTable::Close(const std::shared_ptr<Connection>& connection) {
  connection->OnClosed();
  std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.erase(connection->id());
}

std::vector<std::shared_ptr<Connection>> ConnectionTable::All() const {
  std::vector<std::shared_ptr<Connection>> all;
  std::lock_guard<std::mutex> lock(m_mutex);
  all.reserve(m_connections.size());
  for (const auto& [id, connection] : m_connections) {
    all.push_back(connection);
  }
  return all;
}

std::shared_ptr<Connection> ConnectionTable::Find(uint64_t id) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_connections.find(id);
  return it == m_connections.end() ? nullptr : it->second;
}

void ConnectionTable::WatchWritable(int fd, uint64_t connection) {
  epoll_event event{};
  event.events = EPOLLOUT | EPOLLONESHOT;
  event.data.u64 = connection;
  // epoll removes a descriptor by itself when it is closed, so it may have to
  // be added again.
  if (epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event) != 0) {
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
  }
}

void ConnectionTable::Resume(uint64_t connection) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_resume.push_back(connection);
  }
  Wake();
}

void ConnectionTable::Wake() {
  const uint64_t one = 1;
  static_cast<void>(!write(m_wake, &one, sizeof(one)));
}

Duration ConnectionTable::TickPeriod() const {
  const HttpServerOptions& options = m_core->options;
  const Duration shortest =
      std::min({options.header_timeout, options.body_timeout,
                options.idle_timeout, options.send_timeout});
  return std::clamp(shortest / kTicksPerTimeout, kMinTickPeriod,
                    kMaxTickPeriod);
}

void ConnectionTable::Run() {
  const Duration period = TickPeriod();
  TimePoint next_tick = m_core->clock.Now() + period;
  std::array<epoll_event, kMaxEvents> events{};
  while (!m_stopped) {
    const Duration wait =
        std::max(next_tick - m_core->clock.Now(), Duration::zero());
    const int count =
        epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                   static_cast<int>(ToMillis(wait)) + 1);
    for (int i = 0; i < count; ++i) {
      const uint64_t id = events.at(static_cast<size_t>(i)).data.u64;
      if (id == kWakeId) {
        uint64_t ignored = 0;
        static_cast<void>(!read(m_wake, &ignored, sizeof(ignored)));
      } else if (const auto connection = Find(id)) {
        connection->OnWritable();
      }
    }
    ResumeQueued();
    if (m_core->clock.Now() >= next_tick) {
      CheckTimeouts();
      next_tick = m_core->clock.Now() + period;
    }
  }
}

void ConnectionTable::ResumeQueued() {
  std::vector<uint64_t> queued;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    queued.swap(m_resume);
  }
  for (const uint64_t id : queued) {
    if (const auto connection = Find(id)) {
      connection->Resume();
    }
  }
}

void ConnectionTable::CheckTimeouts() {
  const TimePoint now = m_core->clock.Now();
  for (const auto& connection : All()) {
    connection->CheckTimeouts(now);
  }
}

}  // namespace applestand
