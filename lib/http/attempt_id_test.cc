#include "lib/http/attempt_id.h"

#include <doctest/doctest.h>

#include <set>

namespace applestand {

// Guards against ids that are used again, also after a restart.
TEST_CASE("no two attempts have the same id") {
  constexpr int kAttempts = 1000;
  std::set<AttemptId> ids;
  for (const uint64_t incarnation : {1, 11, 2}) {
    AttemptIdGenerator generator{Incarnation(incarnation)};
    for (int i = 0; i < kAttempts; ++i) {
      CHECK(ids.insert(generator.Next()).second);
    }
  }
}

// Guards against a response that is believed although its owner is unclear.
TEST_CASE("a response belongs to the one attempt that it names") {
  const AttemptId id("a-1");
  CHECK(OwnerOf({{"attempt-id", "a-1"}}, id) == ResponseOwner::kThisRequest);
  CHECK(OwnerOf({{"Attempt-Id", "a-11"}}, id) == ResponseOwner::kOtherRequest);
  CHECK(OwnerOf({{"Attempt-Id", ""}}, id) == ResponseOwner::kOtherRequest);
  CHECK(OwnerOf({{"Attempt-Id", "a-1"}, {"Attempt-Id", "a-1"}}, id) ==
        ResponseOwner::kOtherRequest);
  CHECK(OwnerOf({{"Other", "a-1"}}, id) == ResponseOwner::kUnknown);
}

}  // namespace applestand
