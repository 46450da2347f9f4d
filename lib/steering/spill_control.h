#ifndef LIB_STEERING_SPILL_CONTROL_H_
#define LIB_STEERING_SPILL_CONTROL_H_

#include "lib/base/clock.h"

namespace applestand {

struct SpillOptions {
  /// Load per slot of the local region above which the spilled share grows, and
  /// below which it shrinks.
  double raise_above = 0.85;
  double lower_below = 0.5;
  /// Maximum change of the spilled share per second. Two consecutive windows of
  /// 2 s then differ by 0.08; operators allow at most 0.15.
  double max_slope = 0.04;
  /// Initial load per slot of the local region, as a multiple of the load per
  /// slot over all regions. It is below 1 because objects are cold at first,
  /// and requests rejected by an overloaded region would move to other regions
  /// all at once.
  double initial_preference = 0.8;
};

/// Controls which share of a service's requests spills over to other regions.
/// The share follows the load slowly, so that other regions and their caches
/// are not hit by a sudden increase. It only jumps when the local region loses
/// a large part of its slots, by the part lost. Not thread-safe.
class SpillControl {
 public:
  explicit SpillControl(const SpillOptions& options) : m_options(options) {}

  /// Sets the share while no load is known yet. `slots_share` and
  /// `callers_share` are the local region's shares of all slots and of all
  /// callers, from 0 to 1.
  void SetInitialShare(double slots_share, double callers_share);

  /// Adapts the share. `load` is the number of requests per slot at the local
  /// region's targets, `slots` the number of its usable slots. Must be called
  /// periodically.
  void Update(double load, double slots, TimePoint now);

  /// Returns the share of requests to spill, from 0 to 1.
  double share() const { return m_share; }

 private:
  const SpillOptions m_options;
  double m_share = 0;
  double m_slots = -1;
  TimePoint m_updated;
};

}  // namespace applestand

#endif  // LIB_STEERING_SPILL_CONTROL_H_
