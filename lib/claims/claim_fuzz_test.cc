#include <doctest/doctest.h>

#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/claims/claim_simulation.h"

namespace applestand::claim_fuzz {

namespace {

bool PropertyHolds(uint64_t seed,
                   int cases,
                   int step_kinds,
                   bool host_memory_only) {
  return FixedSeedCheck(seed, cases, 600, [=] {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange(0, step_kinds)),
            rc::gen::set(&Step::host, rc::gen::inRange(0, kHosts)),
            rc::gen::set(&Step::choice, rc::gen::inRange(0, 64))));
    ClaimSimulation simulation(host_memory_only);
    for (const Step& step : steps) {
      simulation.Run(step);
    }
    simulation.RecoverAndCheck();
  });
}

}  // namespace

TEST_CASE("fuzz: a key runs at most once and every response is correct") {
  CHECK(PropertyHolds(20261203, 4000, 17, false));
}

TEST_CASE("fuzz: without restarts, a key that was not sent can run later") {
  CHECK(PropertyHolds(20261204, 4000, 16, false));
}

// Checks that the simulation detects a duplicate run. Deduplication in host
// memory loses claims at a restart and does not share them between hosts.
TEST_CASE("fuzz: deduplication only in host memory runs requests twice") {
  CHECK_FALSE(PropertyHolds(20261203, 200, 17, true));
}

}  // namespace applestand::claim_fuzz
