#include "lib/replay/percentiles.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace applestand {

void Percentiles::Add(Duration sample) {
  m_samples.push_back(sample);
  m_sorted = false;
}

Duration Percentiles::At(double fraction) const {
  assert(fraction > 0 && fraction <= 1 && "the fraction is out of range");
  if (m_samples.empty()) {
    return Duration::zero();
  }
  if (!m_sorted) {
    std::sort(m_samples.begin(), m_samples.end());
    m_sorted = true;
  }
  const auto count = static_cast<double>(m_samples.size());
  const auto rank = static_cast<size_t>(std::ceil(fraction * count));
  return m_samples[std::max<size_t>(rank, 1) - 1];
}

}  // namespace applestand
