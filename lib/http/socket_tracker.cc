#include "lib/http/socket_tracker.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

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
  m_last_id = m_last_id.Next();
  Entry entry;
  entry.fd = fd;
  entry.address = address;
  m_entries[m_last_id] = entry;
}

void SocketTracker::OnSocketClosed(int fd) {
  const auto it = std::find_if(
      m_entries.begin(), m_entries.end(),
      [fd](const auto& element) { return element.second.fd == fd; });
  if (it != m_entries.end()) {
    m_entries.erase(it);
  }
}

SocketId SocketTracker::Acquire(const std::string& address,
                                uint16_t local_port,
                                TimePoint now) {
  for (auto& [id, entry] : m_entries) {
    if (entry.address != address) {
      continue;
    }
    if (entry.local_port == 0) {
      entry.local_port = LocalPort(entry.fd);
      // The server has just accepted the connection.
      entry.last_alive = now;
    }
    if (entry.local_port == local_port) {
      entry.busy = true;
      return id;
    }
  }
  return SocketId();
}

bool SocketTracker::IsUsable(SocketId id) const {
  const auto it = m_entries.find(id);
  if (it == m_entries.end() || !it->second.attribution.may_carry_request()) {
    return false;
  }
  char byte = 0;
  return recv(it->second.fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}

void SocketTracker::Release(SocketId id, bool completed, TimePoint now) {
  const auto it = m_entries.find(id);
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
    ShutDown(id);
  }
}

void SocketTracker::OnCallTimeout(const std::string& address, TimePoint sent) {
  for (auto& [id, entry] : m_entries) {
    if (entry.address != address || entry.last_alive > sent) {
      continue;
    }
    entry.close_after_call = true;
    if (!entry.busy) {
      ShutDown(id);
    }
  }
}

ResponseAttribution& SocketTracker::AttributionOf(SocketId id) {
  return m_entries.at(id).attribution;
}

void SocketTracker::ShutDown(SocketId id) {
  if (const auto it = m_entries.find(id); it != m_entries.end()) {
    ::shutdown(it->second.fd, SHUT_RDWR);
  }
}

}  // namespace applestand
