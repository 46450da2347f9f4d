#include "lib/node/attempt_outcome.h"

namespace applestand {

namespace {

constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;

}  // namespace

AttemptOutcome ClassifyOutcome(const CallResult& result,
                               const ResponseMetadata& metadata,
                               bool repeatable,
                               AttemptResult& attempt) {
  attempt.ran = result.ran;
  if (result.ran == Ran::kNotRun) {
    attempt.sent = false;
    return AttemptOutcome::kUnreachable;
  }
  if (result.ran == Ran::kMayHaveRun) {
    return AttemptOutcome::kLost;
  }
  if (metadata.not_run) {
    // A response without an id may be that to something else.
    attempt.ran = result.identified ? Ran::kNotRun : Ran::kMayHaveRun;
    return metadata.misdirected ? AttemptOutcome::kMisdirected
                                : AttemptOutcome::kShed;
  }
  if (!metadata.genuine) {
    attempt.ran = Ran::kMayHaveRun;
    return AttemptOutcome::kLost;
  }
  if (result.response.status >= kServerError) {
    if (repeatable) {
      attempt.ran = Ran::kMayHaveRun;
    }
    return AttemptOutcome::kError;
  }
  return AttemptOutcome::kAnswered;
}

std::optional<Duration> RequestedRest(const CallResult& result,
                                      const ResponseMetadata& metadata) {
  const bool turned_away =
      result.ran == Ran::kRan && !metadata.misdirected &&
      (metadata.not_run || result.response.status == kUnavailable);
  return turned_away ? metadata.retry_after : std::nullopt;
}

bool SaysNotRun(int status) {
  return status == kTooManyRequests || status == kUnavailable ||
         status == kRequestTimeout || status == kMisdirectedRequest;
}

}  // namespace applestand
