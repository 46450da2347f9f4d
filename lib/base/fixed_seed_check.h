#ifndef LIB_BASE_FIXED_SEED_CHECK_H_
#define LIB_BASE_FIXED_SEED_CHECK_H_

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace applestand {

/// Runs a rapidcheck property `cases` times from a fixed seed, with inputs of
/// up to `size`, and returns whether it held. Prints the counterexample where
/// it did not. For tests; any thread.
template <class Property>
bool FixedSeedCheck(uint64_t seed, int cases, int size, Property&& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  params.maxSize = size;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return true;
  }
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return false;
}

}  // namespace applestand

#endif  // LIB_BASE_FIXED_SEED_CHECK_H_
