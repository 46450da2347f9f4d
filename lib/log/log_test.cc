#include "lib/log/log.h"

#include <doctest/doctest.h>

namespace applestand {

// Guards against refusals that nothing explains, because their lines are
// dropped like those of served requests.
TEST_CASE("lines that explain a refusal go before ordinary ones") {
  for (const Event event : {Event::kRequestRefused, Event::kAttemptFailed,
                            Event::kResponseSkipped, Event::kRequestUnread}) {
    CAPTURE(static_cast<int>(event));
    CHECK(GetLineClass(event) == LineClass::kEvidence);
  }
  CHECK(GetLineClass(Event::kRequestServed) == LineClass::kOrdinary);
}

// Guards against warnings that get no more than the reserve.
TEST_CASE("lines above INFO are urgent") {
  CHECK(GetLineClass(Event::kRequestCut) == LineClass::kUrgent);
  CHECK(GetLineClass(Event::kLinesDropped) == LineClass::kUrgent);
  CHECK(GetLineClass(Event::kStartFailed) == LineClass::kUrgent);
}

}  // namespace applestand
