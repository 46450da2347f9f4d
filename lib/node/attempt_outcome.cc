#include "lib/node/attempt_outcome.h"

namespace applestand {

namespace {

constexpr int kServerError = 500;

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
    attempt.ran = Ran::kNotRun;
    attempt.retry_after = metadata.retry_after.value_or(Duration::zero());
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

}  // namespace applestand
