#include "lib/node/attempt_outcome.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

struct Classified {
  AttemptOutcome outcome;
  AttemptResult attempt;
};

Classified Classify(Ran ran,
                    int status,
                    const ResponseMetadata& metadata,
                    bool repeatable) {
  CallResult result;
  result.ran = ran;
  result.identified = true;
  result.response.status = status;
  Classified classified{};
  classified.attempt.sent = true;
  classified.outcome =
      ClassifyOutcome(result, metadata, repeatable, classified.attempt);
  return classified;
}

}  // namespace

TEST_CASE("an attempt that was not sent has not run") {
  const Classified unreachable = Classify(Ran::kNotRun, 0, {}, true);
  CHECK(unreachable.outcome == AttemptOutcome::kUnreachable);
  CHECK_FALSE(unreachable.attempt.sent);
  CHECK(unreachable.attempt.ran == Ran::kNotRun);
}

TEST_CASE("only a target's statement makes a received response mean not run") {
  ResponseMetadata shed;
  shed.not_run = true;
  CHECK(Classify(Ran::kRan, 503, shed, false).attempt.ran == Ran::kNotRun);
  CHECK(Classify(Ran::kRan, 503, shed, false).outcome == AttemptOutcome::kShed);
  shed.misdirected = true;
  CHECK(Classify(Ran::kRan, 421, shed, false).outcome ==
        AttemptOutcome::kMisdirected);
  ResponseMetadata failed;
  failed.genuine = true;
  CHECK(Classify(Ran::kRan, 503, failed, false).outcome ==
        AttemptOutcome::kError);
  CHECK(Classify(Ran::kRan, 503, failed, false).attempt.ran == Ran::kRan);
  // May be sent to another target.
  CHECK(Classify(Ran::kRan, 503, failed, true).attempt.ran == Ran::kMayHaveRun);
}

// Guards against a promise that a request has not run which rests on a response
// that does not name it.
TEST_CASE("a response without the request's id does not mean not run") {
  CallResult result;
  result.ran = Ran::kRan;
  result.response.status = 503;
  ResponseMetadata shed;
  shed.not_run = true;
  for (const bool repeatable : {true, false}) {
    AttemptResult attempt;
    CHECK(ClassifyOutcome(result, shed, repeatable, attempt) ==
          AttemptOutcome::kShed);
    CHECK(attempt.ran == Ran::kMayHaveRun);
  }
}

TEST_CASE("a success that the target does not certify may have run") {
  const Classified lost = Classify(Ran::kRan, 200, {}, false);
  CHECK(lost.outcome == AttemptOutcome::kLost);
  CHECK(lost.attempt.ran == Ran::kMayHaveRun);
  CHECK(Classify(Ran::kMayHaveRun, 0, {}, true).outcome ==
        AttemptOutcome::kLost);
  ResponseMetadata genuine;
  genuine.genuine = true;
  CHECK(Classify(Ran::kRan, 200, genuine, false).outcome ==
        AttemptOutcome::kAnswered);
}

}  // namespace applestand
