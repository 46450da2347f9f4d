#ifndef LIB_MOVES_MOVE_ADVANCER_H_
#define LIB_MOVES_MOVE_ADVANCER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/config/model.h"

namespace applestand {

/// Tells whether a region can take more of a service's traffic.
class HeadroomView {
 public:
  virtual ~HeadroomView() = default;
  /// Whether `to` has room for `permille` more of the service's traffic that
  /// arrives in `from`. May lag; grants are what bounds the traffic itself.
  virtual bool HasRoom(const ServiceId& service,
                       const RegionId& from,
                       const RegionId& to,
                       uint32_t permille) const = 0;
};

/// A proposed advance of one move. To be appended to the configuration only if
/// its head still is `expected_version`, and only if the move's current value
/// still is `expected_permille`.
struct MoveStep {
  MoveId move;
  ConfigVersion expected_version;
  uint32_t expected_permille = 0;
  uint32_t next_permille = 0;
};

/// Decides when a move takes its next step. Runs in the control process of
/// every host; any of them may advance a move, so that none is missed. A host
/// proposes a step only after it has itself seen the move unchanged for the
/// full interval by its own clock, and the write is conditional on the version
/// it saw: two hosts that race, a host that wakes up, or a doubled write change
/// nothing more.
///
/// The owner calls OnConfig for each configuration put in force and DueSteps
/// about once a second; it writes each step and takes no note of the result:
/// success comes back by OnConfig, and all else is retried.
///
/// Not thread-safe.
class MoveAdvancer {
 public:
  explicit MoveAdvancer(const HeadroomView& headroom) : m_headroom(headroom) {}

  void OnConfig(const ConfigState& config, TimePoint now);

  std::vector<MoveStep> DueSteps(TimePoint now) const;

 private:
  struct Watched {
    Move move;
    TimePoint since;
  };

  std::optional<MoveStep> StepOf(const Watched& watched, TimePoint now) const;

  const HeadroomView& m_headroom;
  ConfigVersion m_version;
  std::map<MoveId, Watched> m_moves;
};

/// Makes one move for each service with targets in `from`: the drain of a
/// region. Ids are "<prefix><service>". Services without targets in `to` that
/// are not leaving get none.
std::vector<Move> DrainRegion(const ConfigState& config,
                              const RegionId& from,
                              const RegionId& to,
                              uint32_t step_permille,
                              Duration step_interval,
                              const std::string& id_prefix);

}  // namespace applestand

#endif  // LIB_MOVES_MOVE_ADVANCER_H_
