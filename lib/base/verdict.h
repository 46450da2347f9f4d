#ifndef LIB_BASE_VERDICT_H_
#define LIB_BASE_VERDICT_H_

#include <string>

namespace applestand {

/// Whether a request was processed, and so whether it may have had an effect at
/// the target (or other server) that it was sent to.
enum class Ran {
  /// No target has received the request or will receive it.
  kNotRun,
  /// A target has sent a complete response to the request.
  kRan,
  /// A target may have received the request, but its effect is unknown.
  kMayHaveRun,
};

/// Returns the form used in messages and logs: "no", "yes" or "unknown".
inline const char* ToString(Ran ran) {
  switch (ran) {
    case Ran::kNotRun:
      return "no";
    case Ran::kRan:
      return "yes";
    case Ran::kMayHaveRun:
      return "unknown";
  }
  return "unknown";
}

/// Error description, set by functions that return an empty optional or false
/// on failure.
struct Reason {
  std::string text;
};

}  // namespace applestand

#endif  // LIB_BASE_VERDICT_H_
