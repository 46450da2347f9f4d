#include "lib/steering/idle_watch.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const ServiceId kArchive("archive");
constexpr TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE(
    "targets forget connections that rested 310 ms: payments take others") {
  IdleWatch watch;
  CHECK(watch.MaxRest(kDesk, false, kNow) == seconds(7));
  watch.OnForgotten(kDesk, milliseconds(1300), kNow);
  CHECK(watch.MaxRest(kDesk, false, kNow) == milliseconds(325));
  watch.OnForgotten(kDesk, milliseconds(320), kNow);
  watch.OnForgotten(kDesk, seconds(5), kNow);
  CHECK(watch.MaxRest(kDesk, false, kNow) == milliseconds(100));
  // What may be repeated, and another service, go on as before.
  CHECK(watch.MaxRest(kDesk, true, kNow) == seconds(7));
  CHECK(watch.MaxRest(kArchive, false, kNow) == seconds(7));
  // The trouble passes, and the next one is met anew.
  CHECK(watch.MaxRest(kDesk, false, kNow + seconds(4)) == seconds(7));
  watch.OnForgotten(kDesk, seconds(2), kNow + seconds(9));
  CHECK(watch.MaxRest(kDesk, false, kNow + seconds(9)) == milliseconds(500));
}

}  // namespace applestand
