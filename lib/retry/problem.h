#ifndef LIB_RETRY_PROBLEM_H_
#define LIB_RETRY_PROBLEM_H_

#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/http/message.h"

namespace applestand {

/// An error response to a caller, as problem details of RFC 9457.
struct Problem {
  /// Short name, for example "rate-limited"; becomes part of the type's URN.
  std::string type;
  std::string title;
  int status = 503;
  std::string detail;
  /// Whether the request ran, over all its attempts.
  Ran ran = Ran::kNotRun;
  /// Time after which the caller may try again; zero if a retry is of no use.
  Duration retry_after{};
};

/// Builds a response of type application/problem+json with the members type,
/// title, status, detail and `ran` ("no", "yes" or "unknown"). If `retry_after`
/// is not zero, adds the member `retry_after_s` and the header Retry-After,
/// both in whole seconds, rounded up. Bytes that are not UTF-8 are replaced.
/// Thread-safe.
HttpResponse MakeProblemResponse(const Problem& problem);

}  // namespace applestand

#endif  // LIB_RETRY_PROBLEM_H_
