#ifndef LIB_LOG_LINE_BUFFER_H_
#define LIB_LOG_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lib/base/clock.h"

namespace applestand {

/// Holds log lines until a file descriptor takes them, and never waits for it.
/// Lines beyond a rate or a size are dropped and counted. Not thread-safe.
class LineBuffer {
 public:
  struct Options {
    /// Lines a second, and at once after a pause. Warnings may use twice that.
    double lines_per_second = 300;
    double burst = 600;
    size_t max_bytes = size_t{256} << 10;
  };

  LineBuffer(int fd, const Options& options) : m_fd(fd), m_options(options) {}

  /// Adds a line, without its end. False where it was dropped.
  bool Add(const std::string& line, bool urgent, TimePoint now);

  /// Writes what the descriptor takes at once.
  void Flush();

  /// Lines dropped since the last call.
  uint64_t TakeDropped();

 private:
  const int m_fd;
  const Options m_options;
  std::string m_bytes;
  double m_tokens = 0;
  bool m_started = false;
  TimePoint m_filled;
  uint64_t m_dropped = 0;
};

}  // namespace applestand

#endif  // LIB_LOG_LINE_BUFFER_H_
