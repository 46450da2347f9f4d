#ifndef LIB_LOG_LINE_BUFFER_H_
#define LIB_LOG_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lib/base/clock.h"

namespace applestand {

/// Buffers log lines for a file descriptor without ever blocking on it. A token
/// bucket limits the rate of lines; lines that exceed the rate or the size of
/// the buffer are dropped and counted. Not thread-safe.
class LineBuffer {
 public:
  struct Options {
    /// Rate at which the token bucket is refilled.
    double lines_per_second = 300;
    /// Size of the token bucket in lines. Urgent lines may overdraw it by the
    /// same number, so that warnings get through when other lines have used up
    /// the rate.
    double burst = 600;
    /// Size of the buffer in bytes.
    size_t max_bytes = size_t{256} << 10;
  };

  /// `fd` is not closed on destruction.
  LineBuffer(int fd, const Options& options) : m_fd(fd), m_options(options) {}

  /// Adds `line`, which has no line break at its end. Returns false if the line
  /// was dropped. `urgent` lines may overdraw the token bucket, see Options.
  bool Add(const std::string& line, bool urgent, TimePoint now);

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  /// Returns the number of lines dropped since the previous call.
  uint64_t TakeDropped();
  /// Takes back a TakeDropped whose result could not be reported.
  void ReturnDropped(uint64_t count) { m_dropped += count; }

 private:
  const int m_fd;
  const Options m_options;
  std::string m_bytes;
  double m_tokens = 0;
  bool m_started = false;
  TimePoint m_last_refill;
  uint64_t m_dropped = 0;
};

}  // namespace applestand

#endif  // LIB_LOG_LINE_BUFFER_H_
