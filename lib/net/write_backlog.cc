#include "lib/net/write_backlog.h"

#include <algorithm>
#include <cassert>

namespace applestand {

void WriteBacklog::OnQueued(BackloggedStream& stream,
                            size_t bytes,
                            TimePoint now) {
  const auto [it, added] = m_streams.try_emplace(&stream);
  State& state = it->second;
  const size_t unsent = stream.unsent_bytes();
  if (added || unsent < state.last_unsent + bytes) {
    state.read_at = now;
  }
  state.held_bytes += bytes;
  state.last_unsent = unsent;
  m_held_bytes += bytes;
}

void WriteBacklog::OnReleased(BackloggedStream& stream, size_t bytes) {
  const auto it = m_streams.find(&stream);
  if (it == m_streams.end()) {
    return;
  }
  m_held_bytes -= bytes;
  it->second.held_bytes -= bytes;
  if (it->second.held_bytes == 0) {
    m_streams.erase(it);
  }
}

void WriteBacklog::Remove(BackloggedStream& stream) {
  if (const auto it = m_streams.find(&stream); it != m_streams.end()) {
    m_held_bytes -= it->second.held_bytes;
    m_streams.erase(it);
  }
}

void WriteBacklog::Observe(TimePoint now) {
  for (auto& [stream, state] : m_streams) {
    const size_t unsent = stream->unsent_bytes();
    if (unsent < state.last_unsent) {
      state.read_at = now;
    }
    state.last_unsent = unsent;
  }
}

WriteBacklog::Entry WriteBacklog::FindLongestStalled(TimePoint now) const {
  assert(!m_streams.empty() && "no data waits");
  const auto longest = std::min_element(
      m_streams.begin(), m_streams.end(), [](const auto& a, const auto& b) {
        // Of those that have stalled for the same time, the largest.
        return a.second.read_at != b.second.read_at
                   ? a.second.read_at < b.second.read_at
                   : a.second.held_bytes > b.second.held_bytes;
      });
  const auto& [stream, state] = *longest;
  return {stream, state.held_bytes, now - state.read_at};
}

}  // namespace applestand
