#include "lib/log/line_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace applestand {

namespace {

// PIPE_BUF on Linux: a pipe that poll reports as writable accepts this many
// bytes without blocking.
constexpr size_t kMaxWriteBytes = 4096;

}  // namespace

bool LineBuffer::Add(const std::string& line,
                     LineClass line_class,
                     TimePoint now) {
  Refill(now);
  if (!HasRoom(line.size(), line_class)) {
    ++DroppedCount(line_class);
    return false;
  }
  m_tokens -= 1;
  m_bytes += line;
  m_bytes += '\n';
  return true;
}

void LineBuffer::Refill(TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_tokens = m_options.burst;
  } else {
    m_tokens = std::min(
        m_options.burst,
        m_tokens + m_options.lines_per_second * ToSeconds(now - m_last_refill));
  }
  m_last_refill = now;
}

bool LineBuffer::HasRoom(size_t size, LineClass line_class) const {
  double tokens_needed = 1;
  size_t max_bytes = m_options.max_bytes;
  switch (line_class) {
    case LineClass::kOrdinary:
      tokens_needed += m_options.reserved_lines;
      max_bytes -= m_options.reserved_bytes;
      break;
    case LineClass::kEvidence:
      break;
    case LineClass::kUrgent:
      tokens_needed -= m_options.burst;
      break;
  }
  return m_tokens >= tokens_needed && m_bytes.size() + size < max_bytes;
}

uint64_t& LineBuffer::DroppedCount(LineClass line_class) {
  switch (line_class) {
    case LineClass::kOrdinary:
      return m_dropped.ordinary;
    case LineClass::kEvidence:
      return m_dropped.evidence;
    case LineClass::kUrgent:
      break;
  }
  return m_dropped.urgent;
}

void LineBuffer::Flush() {
  size_t written = 0;
  while (written < m_bytes.size()) {
    pollfd entry{m_fd, POLLOUT, 0};
    if (poll(&entry, 1, 0) <= 0 || (entry.revents & POLLOUT) == 0) {
      break;
    }
    const size_t size = std::min(kMaxWriteBytes, m_bytes.size() - written);
    const ssize_t count = write(m_fd, m_bytes.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_bytes.erase(0, written);
}

DroppedLines LineBuffer::TakeDropped() {
  return std::exchange(m_dropped, {});
}

}  // namespace applestand
