#ifndef LIB_MOVES_MOVE_ADVANCER_H_
#define LIB_MOVES_MOVE_ADVANCER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

/// Reports whether a region can take more of a service's traffic.
class HeadroomView {
 public:
  virtual ~HeadroomView() = default;
  /// Returns whether `to` has capacity for another `permille` of the service's
  /// traffic that arrives in `from`. The answer may be outdated; grants bound
  /// the traffic itself.
  virtual bool HasRoom(const ServiceId& service,
                       const RegionId& from,
                       const RegionId& to,
                       uint32_t permille) const = 0;
};

/// A proposed step of one move. Must be appended to the configuration only if
/// its latest version still is `expected_version` and the move's current value
/// still is `expected_permille`.
struct MoveStep {
  MoveId move;
  ConfigVersion expected_version;
  uint32_t expected_permille = 0;
  uint32_t next_permille = 0;
};

/// Decides when a planned move of traffic takes its next step. Runs in the
/// control process of every host, and any of them may advance a move, so that
/// no step depends on one host. A host proposes a step only after it has
/// seen the move unchanged for the full interval by its own clock, and the
/// write is conditional on the version it saw. So concurrent proposals, a host
/// that resumes after a pause, or a duplicated write cannot cause an extra
/// step.
///
/// The owner calls OnConfig for each configuration that takes effect and
/// DueSteps about once per second, and writes each step. It can ignore the
/// result: a successful step returns by OnConfig, and a failed one is proposed
/// again.
///
/// Not thread-safe.
class MoveAdvancer {
 public:
  /// `headroom` must outlive this object.
  explicit MoveAdvancer(const HeadroomView& headroom) : m_headroom(headroom) {}

  /// Ignores a configuration older than the latest one passed in.
  void OnConfig(const ConfigState& config, TimePoint now);

  /// Returns the steps to propose now, for the version of the latest
  /// configuration.
  std::vector<MoveStep> DueSteps(TimePoint now) const;

 private:
  struct Watched {
    Move move;
    TimePoint unchanged_since;
  };

  std::optional<MoveStep> ProposeStep(const Watched& watched,
                                      TimePoint now) const;

  const HeadroomView& m_headroom;
  ConfigVersion m_version;
  std::map<MoveId, Watched> m_moves;
};

/// Returns the moves that drain region `from`: one for each service with
/// targets there, except services whose targets in `to` are all leaving or that
/// have none there. The id of a move is `id_prefix` followed by the service id.
std::vector<Move> DrainRegion(const ConfigState& config,
                              const RegionId& from,
                              const RegionId& to,
                              uint32_t step_permille,
                              Duration step_interval,
                              const std::string& id_prefix);

}  // namespace applestand

#endif  // LIB_MOVES_MOVE_ADVANCER_H_
