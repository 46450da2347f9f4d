#ifndef LIB_REPLAY_PERCENTILES_H_
#define LIB_REPLAY_PERCENTILES_H_

#include <cstddef>
#include <vector>

#include "lib/base/clock.h"

namespace applestand {

/// Exact percentiles of durations. Not thread-safe.
class Percentiles {
 public:
  void Add(Duration sample);

  size_t size() const { return m_samples.size(); }

  /// The smallest sample that at least `fraction` of all samples do not
  /// exceed (nearest rank); zero without samples. Precondition:
  /// 0 < fraction <= 1.
  Duration At(double fraction) const;

 private:
  mutable std::vector<Duration> m_samples;
  mutable bool m_sorted = true;
};

}  // namespace applestand

#endif  // LIB_REPLAY_PERCENTILES_H_
