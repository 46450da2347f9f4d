#include "lib/steering/idle_timeout_estimator.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
const ServiceId kArchive("archive");
constexpr TimePoint kNow{std::chrono::hours(1)};

}  // namespace

// Guards against sending a request that must not be repeated on a connection
// that its target has dropped without notice, in which case it is
// unknown whether the request was processed. Example: payments, while targets
// drop connections after 310 ms of idle time.
TEST_CASE(
    "non-repeatable requests avoid connections idle for longer than targets "
    "keep them") {
  IdleTimeoutEstimator estimator;
  CHECK(estimator.MaxIdleTime(kDesk, false, kNow) == seconds(7));
  estimator.OnIdleConnectionLost(kDesk, milliseconds(1300), kNow);
  CHECK(estimator.MaxIdleTime(kDesk, false, kNow) == milliseconds(325));
  estimator.OnIdleConnectionLost(kDesk, milliseconds(320), kNow);
  estimator.OnIdleConnectionLost(kDesk, seconds(5), kNow);
  CHECK(estimator.MaxIdleTime(kDesk, false, kNow) == milliseconds(100));
  // Repeatable requests and other services are unaffected.
  CHECK(estimator.MaxIdleTime(kDesk, true, kNow) == seconds(7));
  CHECK(estimator.MaxIdleTime(kArchive, false, kNow) == seconds(7));
  // The estimate expires, and the next lost connection sets a new one.
  CHECK(estimator.MaxIdleTime(kDesk, false, kNow + seconds(4)) == seconds(7));
  estimator.OnIdleConnectionLost(kDesk, seconds(2), kNow + seconds(9));
  CHECK(estimator.MaxIdleTime(kDesk, false, kNow + seconds(9)) ==
        milliseconds(500));
}

}  // namespace applestand
