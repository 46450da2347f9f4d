#include "lib/config/head_watch.h"

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

HeadWatch::HeadWatch(Options options, uint64_t seed, TimePoint now)
    : m_options(options), m_random(seed), m_next(now), m_last_own(now) {}

bool HeadWatch::PollDue(TimePoint now) {
  if (m_reading_since) {
    if (now - *m_reading_since < m_options.read_timeout) {
      return false;
    }
    m_reading_since.reset();
  }
  if (now < m_next && now < m_last_own + m_options.longest_wait) {
    return false;
  }
  m_reading_since = now;
  return true;
}

void HeadWatch::OnPollDone(TimePoint now) {
  m_reading_since.reset();
  m_last_own = now;
  Schedule(now);
}

void HeadWatch::OnEvidence(TimePoint read_at) {
  if (read_at + m_options.period > m_next) {
    Schedule(read_at);
  }
}

void HeadWatch::Schedule(TimePoint from) {
  const auto range =
      static_cast<uint64_t>(std::max<int64_t>(m_options.jitter.count(), 1));
  const auto jitter = static_cast<int64_t>(NextRandom(m_random) % range);
  m_next = std::max(m_next, from + m_options.period + Duration(jitter));
}

}  // namespace applestand
