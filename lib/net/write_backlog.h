#ifndef LIB_NET_WRITE_BACKLOG_H_
#define LIB_NET_WRITE_BACKLOG_H_

#include <cstddef>
#include <map>
#include <string>

#include "lib/base/clock.h"

namespace applestand {

/// A connection with data that waits to be written. Not thread-safe.
class BackloggedStream {
 public:
  virtual ~BackloggedStream() = default;
  /// Returns the number of bytes that the operating system has not accepted.
  virtual size_t unsent_bytes() const = 0;
  /// Returns the address of the peer, for log lines.
  virtual std::string peer() const = 0;
  /// Ends the connection, because its data takes too much memory. May destroy
  /// it, and others.
  virtual void EndForBacklog() = 0;
};

/// Keeps count of the memory of data that waits to be written, over all
/// connections, and finds the one that gives way if it is too much: the one
/// whose peer has not read for the longest time. Not thread-safe.
class WriteBacklog {
 public:
  struct Entry {
    BackloggedStream* stream = nullptr;
    size_t held_bytes = 0;
    /// Since the peer has read, or since the data was queued.
    Duration stalled{};
  };

  /// Called when `bytes` bytes were queued to be written.
  void OnQueued(BackloggedStream& stream, size_t bytes, TimePoint now);
  /// Called when the memory of queued data was released. Has no effect after
  /// Remove.
  void OnReleased(BackloggedStream& stream, size_t bytes);
  /// Forgets a connection that is being closed.
  void Remove(BackloggedStream& stream);

  /// Notes which peers have read since the last call. Call it about every 100
  /// ms while there is data.
  void Observe(TimePoint now);
  /// Returns the connection that gives way. Precondition: held_bytes() is not
  /// zero.
  Entry FindLongestStalled(TimePoint now) const;

  /// Returns the memory of all data that waits, in bytes.
  size_t held_bytes() const { return m_held_bytes; }

 private:
  struct State {
    size_t held_bytes = 0;
    size_t last_unsent = 0;
    TimePoint read_at;
  };

  std::map<BackloggedStream*, State> m_streams;
  size_t m_held_bytes = 0;
};

}  // namespace applestand

#endif  // LIB_NET_WRITE_BACKLOG_H_
