#ifndef LIB_RETRY_PROBLEM_H_
#define LIB_RETRY_PROBLEM_H_

#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// An error answer to a caller, in the form of RFC 9457.
struct Problem {
  /// Short name, for example "rate-limited"; becomes the type's URN.
  std::string type;
  std::string title;
  int status = 503;
  std::string detail;
  /// Whether the request ran, over all its attempts.
  Ran ran = Ran::kNotRun;
  /// When the caller is to come back; zero: not worth it.
  Duration retry_after{};
};

/// Builds the answer: application/problem+json with type, title, status,
/// detail, `ran` ("no", "yes" or "unknown") and `retry_after_s`, and the header
/// Retry-After in whole seconds, rounded up. Bytes that are not UTF-8 are
/// replaced. Thread-safe.
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace applestand

#endif  // LIB_RETRY_PROBLEM_H_
