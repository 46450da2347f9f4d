#ifndef LIB_STANDIN_TARGET_FAULTS_H_
#define LIB_STANDIN_TARGET_FAULTS_H_

#include <cstdint>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"

namespace applestand {

/// How a target stand-in behaves, as far as POST /faults can change it. Not
/// thread-safe.
struct TargetFaults {
  enum class Silence { kOff, kAll, kOpenConnections };
  enum class Drain { kOff, kServe, kRefuse };
  enum class Report { kTrue, kLow, kHigh };

  /// Reads a command such as {"silent":"all","slots":2}; fields that it does
  /// not name stay. `silence_named` tells whether it names "silent". False,
  /// with the reason and without effect, for a malformed one.
  [[nodiscard]] bool Apply(const std::string& body,
                           bool& silence_named,
                           Reason& reason);

  Silence silence = Silence::kOff;
  Drain drain = Drain::kOff;
  /// kLow: always healthy. kHigh: always unhealthy.
  Report health = Report::kTrue;
  /// kLow: no slot busy. kHigh: all busy.
  Report load = Report::kTrue;
  /// Number of answers yet to be cut in the middle of their body.
  uint32_t half_answers = 0;
  uint32_t slots = 0;
  Duration service_time = Duration::zero();
};

}  // namespace applestand

#endif  // LIB_STANDIN_TARGET_FAULTS_H_
