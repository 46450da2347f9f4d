#ifndef LIB_BASE_VERDICT_H_
#define LIB_BASE_VERDICT_H_

#include <string>

namespace applestand {

/// Whether a request may have had an effect at a target.
enum class Ran {
  /// No target has received or will receive the request.
  kNotRun,
  /// A target has answered the request in full.
  kRan,
  /// A target may have received the request; nobody knows what it did.
  kMayHaveRun,
};

/// Wire and log form of a verdict: "no", "yes" or "unknown".
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

/// Explains why an optional result is absent.
struct Reason {
  std::string text;
};

}  // namespace applestand

#endif  // LIB_BASE_VERDICT_H_
