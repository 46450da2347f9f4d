#ifndef LIB_STEERING_SPILL_CONTROL_H_
#define LIB_STEERING_SPILL_CONTROL_H_

#include "lib/base/clock.h"

namespace applestand {

struct SpillOptions {
  /// Load of the own region's slots above which more requests leave it, and
  /// below which fewer do.
  double raise_above = 0.85;
  double lower_below = 0.5;
  /// Most change of the share that leaves, a second. Two windows of 2 s then
  /// differ by 0.08; the operators' bound is 0.15.
  double max_slope = 0.04;
  /// Load that the own region gets at the beginning, as a multiple of the load
  /// of all regions together. Less than its part: objects are cold then, and
  /// what an overloaded region refuses would move its requests to others in a
  /// jump.
  double begin_preference = 0.8;
};

/// Which share of a service's requests leaves the region. It follows the load
/// slowly, so that other regions and their caches are not met by a jump; it
/// jumps only by what the region itself has lost. Not thread-safe.
class SpillControl {
 public:
  explicit SpillControl(const SpillOptions& options) : m_options(options) {}

  /// Sets the share before there is a load to go by, for a region with these
  /// shares of all slots and of all callers.
  void Begin(double slots_share, double callers_share);

  /// `load`: requests at the region's targets per slot. `slots`: those that may
  /// be used now. Call at regular times.
  void Update(double load, double slots, TimePoint now);

  /// From 0 to 1.
  double share() const { return m_share; }

 private:
  const SpillOptions m_options;
  double m_share = 0;
  double m_slots = -1;
  TimePoint m_updated;
};

}  // namespace applestand

#endif  // LIB_STEERING_SPILL_CONTROL_H_
