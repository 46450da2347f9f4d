#include <doctest/doctest.h>

#include <vector>

#include "lib/base/fixed_seed_check.h"
#include "lib/claims/claim_world.h"

namespace applestand::claim_fuzz {

namespace {

bool Holds(uint64_t seed, int cases, int step_kinds, bool host_memory_only) {
  return FixedSeedCheck(seed, cases, 600, [=] {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange(0, step_kinds)),
            rc::gen::set(&Step::host, rc::gen::inRange(0, kHosts)),
            rc::gen::set(&Step::choice, rc::gen::inRange(0, 64))));
    World world(host_memory_only);
    for (const Step& step : steps) {
      world.Run(step);
    }
    world.Settle();
  });
}

}  // namespace

TEST_CASE("fuzz: a key runs at most once and every answer is true") {
  CHECK(Holds(20261203, 4000, 17, false));
}

TEST_CASE("fuzz: without restarts a key that was never sent can run later") {
  CHECK(Holds(20261204, 4000, 16, false));
}

TEST_CASE("fuzz: deduplication in host memory alone runs requests twice") {
  CHECK_FALSE(Holds(20261203, 200, 17, true));
}

}  // namespace applestand::claim_fuzz
