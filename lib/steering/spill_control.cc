#include "lib/steering/spill_control.h"

#include <algorithm>

namespace applestand {

namespace {

// Fraction of the region's slots that must be lost between two updates for the
// share to jump. Starts and stops of single targets stay below it.
constexpr double kJumpFraction = 0.25;

}  // namespace

void SpillControl::SetInitialShare(double slots_share, double callers_share) {
  if (callers_share <= 0) {
    return;
  }
  m_share = std::clamp(
      1 - m_options.initial_preference * slots_share / callers_share, 0.0, 1.0);
}

void SpillControl::Update(double load, double slots, TimePoint now) {
  if (m_slots < 0) {
    m_slots = slots;
    m_updated = now;
    if (slots <= 0) {
      m_share = 1;
    }
    return;
  }
  const double step = m_options.max_slope * ToSeconds(now - m_updated);
  m_updated = now;
  if (slots <= 0) {
    m_share = 1;
  } else if (slots < m_slots * (1 - kJumpFraction)) {
    m_share = std::max(m_share, 1 - slots / m_slots * (1 - m_share));
  } else if (load > m_options.raise_above) {
    m_share += step;
  } else if (load < m_options.lower_below) {
    m_share -= step;
  }
  m_share = std::clamp(m_share, 0.0, 1.0);
  m_slots = slots;
}

}  // namespace applestand
