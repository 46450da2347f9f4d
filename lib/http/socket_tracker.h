#ifndef LIB_HTTP_SOCKET_TRACKER_H_
#define LIB_HTTP_SOCKET_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/http/response_attribution.h"

namespace applestand {

/// Identifies a socket within one SocketTracker, also after it was closed and
/// its descriptor was given to another one; 0 means none.
using SocketId = Counter<struct SocketTag>;

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
  /// Marks the socket as busy and returns it, or returns 0 if it is unknown.
  SocketId Acquire(const std::string& address,
                   uint16_t local_port,
                   TimePoint now);

  /// Returns whether the socket is open, may carry a request and has no unread
  /// bytes, which would be read as the response to that. Precondition: no call
  /// on the socket has sent its request.
  bool IsUsable(SocketId id) const;

  /// Called when the call on a socket has ended. `completed` tells whether a
  /// complete response was received. Does nothing if the socket was closed.
  void Release(SocketId id, bool completed, TimePoint now);

  /// Called when a call to `address` that was sent at `sent` has timed out.
  void OnCallTimeout(const std::string& address, TimePoint sent);

  /// Returns the rules for the requests and responses on a socket, which remain
  /// valid until it is closed. Precondition: the socket is open.
  ResponseAttribution& AttributionOf(SocketId id);

  /// Shuts the socket down, so that curl finds it closed and drops it. Does
  /// nothing if it was closed.
  void ShutDown(SocketId id);

 private:
  struct Entry {
    int fd = -1;
    std::string address;
    /// 0 until known.
    uint16_t local_port = 0;
    bool busy = false;
    bool close_after_call = false;
    /// When the server was last known to be reachable over this socket.
    TimePoint last_alive;
    ResponseAttribution attribution;
  };

  SocketId m_last_id;
  std::map<SocketId, Entry> m_entries;
};

}  // namespace applestand

#endif  // LIB_HTTP_SOCKET_TRACKER_H_
