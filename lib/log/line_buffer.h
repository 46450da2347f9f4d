#ifndef LIB_LOG_LINE_BUFFER_H_
#define LIB_LOG_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lib/base/clock.h"

namespace applestand {

/// Decides which lines are dropped first.
enum class LineClass {
  kOrdinary,
  /// What a caller was told, and why: not to be lost to ordinary lines.
  kEvidence,
  /// Warnings and errors.
  kUrgent,
};

/// Numbers of lines that were dropped, by class.
struct DroppedLines {
  uint64_t total() const { return ordinary + evidence + urgent; }

  uint64_t ordinary = 0;
  uint64_t evidence = 0;
  uint64_t urgent = 0;
};

/// Buffers log lines for a file descriptor without ever blocking on it. A token
/// bucket limits the rate of lines; lines that exceed the rate or the size of
/// the buffer are dropped and counted. Ordinary lines leave a reserve of both
/// to the other classes. Not thread-safe.
class LineBuffer {
 public:
  struct Options {
    /// Rate at which the token bucket is refilled.
    double lines_per_second = 300;
    /// Size of the token bucket in lines. Urgent lines may overdraw it by the
    /// same number, so that warnings get through when other lines have used up
    /// the rate.
    double burst = 600;
    /// Part of the token bucket, in lines, that ordinary lines may not use.
    /// Less than `burst`.
    double reserved_lines = 200;
    /// Size of the buffer in bytes.
    size_t max_bytes = size_t{256} << 10;
    /// Part of the buffer, in bytes, that ordinary lines may not use. Less than
    /// `max_bytes`.
    size_t reserved_bytes = size_t{64} << 10;
  };

  /// `fd` is not closed on destruction.
  LineBuffer(int fd, const Options& options) : m_fd(fd), m_options(options) {}

  /// Adds `line`, which has no line break at its end. Returns false if the line
  /// was dropped; see Options for what `line_class` may use.
  bool Add(const std::string& line, LineClass line_class, TimePoint now);

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  /// Returns the numbers of lines dropped since the previous call.
  DroppedLines TakeDropped();

  /// Sets the numbers of dropped lines to those that TakeDropped returned, if
  /// the line that reports them was dropped. That one is not counted.
  void RestoreDropped(const DroppedLines& dropped) { m_dropped = dropped; }

 private:
  void Refill(TimePoint now);
  /// Returns whether tokens and buffer have room for a line of this size.
  bool HasRoom(size_t size, LineClass line_class) const;
  uint64_t& DroppedCount(LineClass line_class);

  const int m_fd;
  const Options m_options;
  std::string m_bytes;
  double m_tokens = 0;
  bool m_started = false;
  TimePoint m_last_refill;
  DroppedLines m_dropped;
};

}  // namespace applestand

#endif  // LIB_LOG_LINE_BUFFER_H_
