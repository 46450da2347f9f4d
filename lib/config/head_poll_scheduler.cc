#include "lib/config/head_poll_scheduler.h"

#include <algorithm>

namespace applestand {

namespace {

// SplitMix64: advances `state` and returns the next pseudo-random number.
uint64_t NextRandom(uint64_t& state) {
  state += 0x9e3779b97f4a7c15;
  uint64_t z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

}  // namespace

HeadPollScheduler::HeadPollScheduler(Options options,
                                     uint64_t seed,
                                     TimePoint now)
    : m_options(options),
      m_random_state(seed),
      m_next_poll(now),
      m_last_own_read(now) {}

bool HeadPollScheduler::StartPollIfDue(TimePoint now) {
  if (m_read_started) {
    if (now - *m_read_started < m_options.read_timeout) {
      return false;
    }
    m_read_started.reset();
  }
  if (now < m_next_poll &&
      now < m_last_own_read + m_options.max_read_interval) {
    return false;
  }
  m_read_started = now;
  return true;
}

void HeadPollScheduler::OnPollDone(TimePoint now) {
  m_read_started.reset();
  m_last_own_read = now;
  Schedule(now);
}

void HeadPollScheduler::OnEvidence(TimePoint read_at) {
  if (read_at + m_options.poll_interval > m_next_poll) {
    Schedule(read_at);
  }
}

void HeadPollScheduler::Schedule(TimePoint from) {
  const auto range =
      static_cast<uint64_t>(std::max<int64_t>(m_options.jitter.count(), 1));
  const auto jitter = static_cast<int64_t>(NextRandom(m_random_state) % range);
  m_next_poll =
      std::max(m_next_poll, from + m_options.poll_interval + Duration(jitter));
}

}  // namespace applestand
