#ifndef LIB_HTTP_KEPT_SOCKETS_H_
#define LIB_HTTP_KEPT_SOCKETS_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/clock.h"

namespace applestand {

/// The sockets that a client has open, and which of them may have gone silent.
///
/// When a call times out, something between client and server may have lost
/// track of every connection that it knew at that time. Sockets to that server
/// without a good byte since the call was sent are then not used again: idle
/// ones are shut down at once, busy ones after their call.
///
/// Not thread-safe.
class KeptSockets {
 public:
  /// A socket was created to connect to `address`.
  void Opened(int fd, const std::string& address);

  /// A socket is about to be closed.
  void Closed(int fd);

  /// A call to `address` is about to be sent from `local_port`. Returns the
  /// socket, or -1 where it is unknown.
  int Acquire(const std::string& address, uint16_t local_port, TimePoint now);

  /// The call on a socket has ended; `good` where a whole answer came.
  void Release(int fd, bool good, TimePoint now);

  /// A call to `address` that was sent at `sent` got no answer in time.
  void Suspect(const std::string& address, TimePoint sent);

  /// Makes the library find the socket closed.
  void ShutDown(int fd);

 private:
  struct Entry {
    std::string address;
    /// 0 until it is known.
    uint16_t local_port = 0;
    bool busy = false;
    bool condemned = false;
    /// When the server was last known to be reached by this socket.
    TimePoint last_good;
  };

  std::map<int, Entry> m_entries;
};

}  // namespace applestand

#endif  // LIB_HTTP_KEPT_SOCKETS_H_
