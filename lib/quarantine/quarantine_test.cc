#include "lib/quarantine/quarantine.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
const TargetId kA("a");
const TargetId kB("b");

Fingerprint Print(uint64_t low) {
  return {ClientAccountId("lenha"), 1, low};
}

void Die(Quarantine& quarantine, const TargetId& target, TimePoint now) {
  quarantine.OnAttemptCut(Print(1), target, now);
  quarantine.OnTargetDeath(target, now);
}

}  // namespace

TEST_CASE("two targets that died running a request quarantine it for a time") {
  Quarantine quarantine({});
  Die(quarantine, kA, kNow);
  CHECK_FALSE(quarantine.Check(Print(1), kNow).has_value());
  Die(quarantine, kA, kNow);
  CHECK_FALSE(quarantine.Check(Print(1), kNow).has_value());
  Die(quarantine, kB, kNow);
  CHECK(quarantine.Check(Print(1), kNow) == std::chrono::minutes(2));
  CHECK_FALSE(quarantine.Check(Print(2), kNow).has_value());
  CHECK_FALSE(quarantine.Check(Print(1), kNow + std::chrono::minutes(2)));
}

TEST_CASE("cuts without a death, and deaths without a cut, do not count") {
  Quarantine quarantine({});
  quarantine.OnAttemptCut(Print(1), kA, kNow);
  quarantine.OnAttemptCut(Print(1), kB, kNow);
  CHECK(quarantine.suspects() == 0);
  const TimePoint late = kNow + std::chrono::seconds(11);
  quarantine.OnTargetDeath(kA, late);
  quarantine.OnTargetDeath(kB, late);
  CHECK(quarantine.suspects() == 0);
}

TEST_CASE("single observations of two hosts add up, and both refuse") {
  Quarantine first({});
  Quarantine second({});
  Die(first, kA, kNow);
  for (const QuarantineNotice& notice : first.TakeNotices()) {
    second.OnNotice(notice, kNow);
  }
  CHECK(second.TakeNotices().empty());
  Die(second, kB, kNow);
  CHECK(second.Check(Print(1), kNow).has_value());
  for (const QuarantineNotice& notice : second.TakeNotices()) {
    first.OnNotice(notice, kNow);
  }
  CHECK(first.Check(Print(1), kNow).has_value());
}

TEST_CASE("a whole answer clears a request, here and at peers") {
  Quarantine first({});
  Quarantine second({});
  Die(first, kA, kNow);
  Die(first, kB, kNow);
  for (const QuarantineNotice& notice : first.TakeNotices()) {
    second.OnNotice(notice, kNow);
  }
  CHECK(second.Check(Print(1), kNow).has_value());
  second.OnAnswered(Print(1), kNow);
  CHECK_FALSE(second.Check(Print(1), kNow).has_value());
  for (const QuarantineNotice& notice : second.TakeNotices()) {
    first.OnNotice(notice, kNow);
  }
  CHECK_FALSE(first.Check(Print(1), kNow).has_value());
}

TEST_CASE("a request answered lately is quarantined by its third death") {
  Quarantine quarantine({});
  quarantine.OnAnswered(Print(1), kNow);
  Die(quarantine, kA, kNow);
  Die(quarantine, kB, kNow);
  CHECK_FALSE(quarantine.Check(Print(1), kNow).has_value());
  Die(quarantine, TargetId("c"), kNow);
  CHECK(quarantine.Check(Print(1), kNow).has_value());
}

TEST_CASE("each further death doubles the time, up to a bound") {
  Quarantine quarantine({});
  TimePoint now = kNow;
  std::optional<Duration> time;
  for (int i = 0; i < 12; ++i) {
    Die(quarantine, TargetId(std::to_string(i)), now);
    time = quarantine.Check(Print(1), now);
    now += time.value_or(Duration::zero());
  }
  CHECK(time == std::chrono::minutes(2 * 64));
}

TEST_CASE("memory stays bounded") {
  QuarantineOptions options;
  options.max_fingerprints = 8;
  Quarantine quarantine(options);
  for (uint64_t i = 0; i < 100; ++i) {
    quarantine.OnAttemptCut(Print(i), kA, kNow);
    quarantine.OnAnswered(Print(1000 + i), kNow);
  }
  quarantine.OnTargetDeath(kA, kNow);
  CHECK(quarantine.suspects() == 8);
  quarantine.OnTargetDeath(kB, kNow + std::chrono::minutes(11));
  CHECK(quarantine.suspects() == 0);
}

TEST_CASE("a fingerprint covers account, method, target and body") {
  const HttpRequest request{"GET", "/wrecks", {{"X", "1"}}, "", ""};
  const ClientAccountId account("pwani");
  HttpRequest other = request;
  other.headers.clear();
  CHECK(FingerprintOf(account, request) == FingerprintOf(account, other));
  other.body = "x";
  CHECK_FALSE(FingerprintOf(account, request) == FingerprintOf(account, other));
  CHECK_FALSE(FingerprintOf(account, request) ==
              FingerprintOf(ClientAccountId("lenha"), request));
}

TEST_CASE("a notice survives encoding") {
  const QuarantineNotice notice{QuarantineNoticeKind::kQuarantined, Print(7),
                                kA, std::chrono::seconds(3)};
  Reason reason;
  const auto decoded = Decode<QuarantineNotice>(Encode(notice), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->kind == notice.kind);
  CHECK(decoded->fingerprint == notice.fingerprint);
  CHECK(decoded->remaining == notice.remaining);
}

}  // namespace applestand
