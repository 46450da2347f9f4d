#ifndef LIB_REPLAY_GENERATOR_H_
#define LIB_REPLAY_GENERATOR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "lib/replay/trace.h"

namespace applestand {

struct GeneratorOptions {
  /// "lenha" or "pwani".
  std::string workload;
  double seconds = 10;
  /// Mean of all requests a second.
  double rate = 100;
  uint64_t seed = 1;
  /// How many times its contract the second account sends in the middle third
  /// of the trace; at most 1: it does not.
  double excess = 0;
};

/// Makes a trace of a workload with 8 accounts, a few of them large. Arrivals
/// are random, but the same for the same options. Contracts leave half again
/// of each account's mean rate, and 4 s of it as burst. Requests of the
/// account in excess state no expectation. Nothing, with the reason, for an
/// unknown workload or options out of range. Thread-safe.
[[nodiscard]] std::optional<Trace> GenerateTrace(
    const GeneratorOptions& options,
    Reason& reason);

}  // namespace applestand

#endif  // LIB_REPLAY_GENERATOR_H_
