#ifndef LIB_LIMITS_REFUSALS_BENCH_H_
#define LIB_LIMITS_REFUSALS_BENCH_H_

namespace applestand {

/// Prints wrongful refusals of several hosts under skew and faults, with and
/// without loans. `delay_ms` is the one-way delay between regions.
/// Deterministic; virtual time.
void PrintRefusals(int delay_ms);

}  // namespace applestand

#endif  // LIB_LIMITS_REFUSALS_BENCH_H_
