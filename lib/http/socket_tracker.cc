#include "lib/http/socket_tracker.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace applestand {

namespace {

/// Returns the local port of a connected socket, or 0 if it has none.
uint16_t LocalPort(int fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return 0;
  }
  if (storage.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
  }
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
  }
  return 0;
}

}  // namespace

void SocketTracker::OnSocketOpened(int fd, const std::string& address) {
  Entry entry;
  entry.address = address;
  m_entries[fd] = entry;
}

void SocketTracker::OnSocketClosed(int fd) {
  m_entries.erase(fd);
}

int SocketTracker::Acquire(const std::string& address,
                           uint16_t local_port,
                           TimePoint now) {
  for (auto& [fd, entry] : m_entries) {
    if (entry.address != address) {
      continue;
    }
    if (entry.local_port == 0) {
      entry.local_port = LocalPort(fd);
      // The server has just accepted the connection.
      entry.last_alive = now;
    }
    if (entry.local_port == local_port) {
      entry.busy = true;
      return fd;
    }
  }
  return -1;
}

void SocketTracker::Release(int fd, bool completed, TimePoint now) {
  const auto it = m_entries.find(fd);
  if (it == m_entries.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.busy = false;
  if (completed) {
    entry.last_alive = now;
    entry.close_after_call = false;
  }
  if (entry.close_after_call) {
    ShutDown(fd);
  }
}

void SocketTracker::OnCallTimeout(const std::string& address, TimePoint sent) {
  for (auto& [fd, entry] : m_entries) {
    if (entry.address != address || entry.last_alive > sent) {
      continue;
    }
    entry.close_after_call = true;
    if (!entry.busy) {
      ShutDown(fd);
    }
  }
}

ResponseAttribution& SocketTracker::AttributionOf(int fd) {
  return m_entries.at(fd).attribution;
}

void SocketTracker::ShutDown(int fd) {
  ::shutdown(fd, SHUT_RDWR);
}

}  // namespace applestand
