#ifndef LIB_BASE_FIXED_SEED_CHECK_H_
#define LIB_BASE_FIXED_SEED_CHECK_H_

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace applestand {

/// Checks a rapidcheck property with `cases` random inputs of up to `size`,
/// generated from a fixed seed, and returns whether it held for all of them. If
/// not, prints the counterexample to stderr. For tests. May be called from any
/// thread.
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
