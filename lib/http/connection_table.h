#ifndef LIB_HTTP_CONNECTION_TABLE_H_
#define LIB_HTTP_CONNECTION_TABLE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "lib/http/connection.h"
#include "lib/http/server_core.h"

namespace applestand {

/// The open connections of one server, and the thread that continues writing
/// responses after the socket's buffer was full, processes buffered requests
/// and checks time limits. Thread-safe, but Start and Stop must be called from
/// one thread.
class ConnectionTable : public ConnectionWatcher {
 public:
  explicit ConnectionTable(std::shared_ptr<ServerCore> core);
  ~ConnectionTable() override;
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  void Start();
  /// Stops and joins the thread. Idempotent.
  void Stop();

  /// Adds a connection. Returns null if the maximum number is already open.
  std::shared_ptr<Connection> Open(int fd, std::string peer);
  void Close(const std::shared_ptr<Connection>& connection);
  std::vector<std::shared_ptr<Connection>> All() const;

  void WatchWritable(int fd, uint64_t connection) override;
  void Resume(uint64_t connection) override;

 private:
  void Run();
  void Wake();
  void ResumeQueued();
  void CheckTimeouts();
  std::shared_ptr<Connection> Find(uint64_t id) const;
  Duration TickPeriod() const;

  const std::shared_ptr<ServerCore> m_core;
  const int m_epoll;
  const int m_wake;
  std::atomic<bool> m_stopped{false};
  std::atomic<uint64_t> m_last_id{0};
  mutable std::mutex m_mutex;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> m_connections;
  std::vector<uint64_t> m_resume;
  std::thread m_thread;
};

}  // namespace applestand

#endif  // LIB_HTTP_CONNECTION_TABLE_H_
