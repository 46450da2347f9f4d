#ifndef TESTS_SUPPORT_PROPERTY_H_
#define TESTS_SUPPORT_PROPERTY_H_

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <vector>

namespace applestand {

/// A random sequence of steps for a stateful test, which decodes each number
/// into one step. RapidCheck shrinks a failing script to a short one of small
/// numbers.
using Script = std::vector<uint32_t>;

/// Runs `test(script)` on `cases` random scripts of up to `length` steps. The
/// seed is fixed, so every run uses the same scripts. The test asserts its
/// properties with RC_ASSERT. Runs on the calling thread.
template <class Test>
void CheckScripts(uint64_t seed, int cases, int length, const Test& test) {
  const auto steps = rc::gen::container<Script>(rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 1U << 30)));
  const auto scripts = rc::gen::resize(length, steps);
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  const auto result =
      rc::detail::checkProperty(rc::detail::toProperty([&] { test(*scripts); }),
                                rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace applestand

#endif  // TESTS_SUPPORT_PROPERTY_H_
