#ifndef LIB_LIMITS_REFUSALS_BENCH_H_
#define LIB_LIMITS_REFUSALS_BENCH_H_

namespace applestand {

/// Simulates several hosts under uneven load and faults, with and without loans
/// between hosts, and prints the fraction of conforming requests that are
/// refused. `delay_ms` is the one-way delay between regions. Runs in virtual
/// time and is deterministic.
void PrintRefusals(int delay_ms);

}  // namespace applestand

#endif  // LIB_LIMITS_REFUSALS_BENCH_H_
