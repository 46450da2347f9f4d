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

bool LineBuffer::Add(const std::string& line, bool urgent, TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_tokens = m_options.burst;
  } else {
    m_tokens = std::min(
        m_options.burst,
        m_tokens + m_options.lines_per_second * ToSeconds(now - m_last_refill));
  }
  m_last_refill = now;
  const double needed = urgent ? 1 - m_options.burst : 1;
  if (m_tokens < needed ||
      m_bytes.size() + line.size() >= m_options.max_bytes) {
    ++m_dropped;
    return false;
  }
  m_tokens -= 1;
  m_bytes += line;
  m_bytes += '\n';
  return true;
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

uint64_t LineBuffer::TakeDropped() {
  return std::exchange(m_dropped, 0);
}

}  // namespace applestand
