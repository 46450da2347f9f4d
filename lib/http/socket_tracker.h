#ifndef LIB_HTTP_SOCKET_TRACKER_H_
#define LIB_HTTP_SOCKET_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/clock.h"
#include "lib/http/response_attribution.h"

namespace applestand {

/// Tracks the open sockets of a client and retires those that may be dead.
///
/// When a call times out, a middlebox between client and server may have lost
/// the state of every connection that existed at that time. Sockets to that
/// server that were connected before the call was sent and have received no
/// complete response since are therefore not used again: idle ones are shut
/// down at once, busy ones after their call, unless that call gets a complete
/// response.
///
/// Not thread-safe.
class SocketTracker {
 public:
  /// Called when a socket was created to connect to `address`.
  void OnSocketOpened(int fd, const std::string& address);

  /// Called when a socket is about to be closed.
  void OnSocketClosed(int fd);

  /// Called when a call to `address` is about to be sent from `local_port`.
  /// Marks the socket as busy and returns it, or returns -1 if it is unknown.
  int Acquire(const std::string& address, uint16_t local_port, TimePoint now);

  /// Called when the call on a socket has ended. `completed` tells whether a
  /// complete response was received.
  void Release(int fd, bool completed, TimePoint now);

  /// Called when a call to `address` that was sent at `sent` has timed out.
  void OnCallTimeout(const std::string& address, TimePoint sent);

  /// Returns the rules for the requests and responses on a socket, which remain
  /// valid until it is closed. Precondition: `fd` is open.
  ResponseAttribution& AttributionOf(int fd);

  /// Shuts the socket down, so that curl finds it closed and drops it.
  void ShutDown(int fd);

 private:
  struct Entry {
    std::string address;
    /// 0 until known.
    uint16_t local_port = 0;
    bool busy = false;
    bool close_after_call = false;
    /// When the server was last known to be reachable over this socket.
    TimePoint last_alive;
    ResponseAttribution attribution;
  };

  std::map<int, Entry> m_entries;
};

}  // namespace applestand

#endif  // LIB_HTTP_SOCKET_TRACKER_H_
