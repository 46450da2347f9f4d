#include "lib/quarantine/quarantine.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
const TargetId kA("a");
const TargetId kB("b");

Fingerprint MakeFingerprint(uint64_t low) {
  return {ClientAccountId("lenha"), 1, low};
}

void CrashOn(Quarantine& quarantine, const TargetId& target, TimePoint now) {
  quarantine.OnAttemptAborted(MakeFingerprint(1), target, now);
  quarantine.OnTargetCrash(target, now);
}

const Fingerprint kCrasher = MakeFingerprint(1);
const Fingerprint kPopular = MakeFingerprint(2);

/// Both requests are aborted on a target that crashes.
void CrashBeside(Quarantine& quarantine, const TargetId& target) {
  quarantine.OnAttemptAborted(kCrasher, target, kNow);
  quarantine.OnAttemptAborted(kPopular, target, kNow);
  quarantine.OnTargetCrash(target, kNow);
}

/// Passes on what `from` has observed, except that requests are quarantined,
/// which hosts derive from the crashes.
void PassSuspicions(Quarantine& from, Quarantine& to) {
  for (const QuarantineNotice& notice : from.TakeNotices()) {
    if (notice.kind == QuarantineNoticeKind::kSuspected) {
      to.OnNotice(notice, kNow);
    }
  }
}

}  // namespace

TEST_CASE("crashes of two targets quarantine a request for two minutes") {
  Quarantine quarantine({});
  CrashOn(quarantine, kA, kNow);
  CHECK_FALSE(quarantine.RemainingTime(MakeFingerprint(1), kNow).has_value());
  CrashOn(quarantine, kA, kNow);
  CHECK_FALSE(quarantine.RemainingTime(MakeFingerprint(1), kNow).has_value());
  CrashOn(quarantine, kB, kNow);
  CHECK(quarantine.RemainingTime(MakeFingerprint(1), kNow) ==
        std::chrono::minutes(2));
  CHECK_FALSE(quarantine.RemainingTime(MakeFingerprint(2), kNow).has_value());
  CHECK_FALSE(quarantine.RemainingTime(MakeFingerprint(1),
                                       kNow + std::chrono::minutes(2)));
}

TEST_CASE("an aborted attempt or a crash alone raises no suspicion") {
  Quarantine quarantine({});
  quarantine.OnAttemptAborted(MakeFingerprint(1), kA, kNow);
  quarantine.OnAttemptAborted(MakeFingerprint(1), kB, kNow);
  CHECK(quarantine.suspects() == 0);
  const TimePoint late = kNow + std::chrono::seconds(11);
  quarantine.OnTargetCrash(kA, late);
  quarantine.OnTargetCrash(kB, late);
  CHECK(quarantine.suspects() == 0);
}

TEST_CASE("one observation on each of two hosts quarantines on both") {
  Quarantine first({});
  Quarantine second({});
  CrashOn(first, kA, kNow);
  for (const QuarantineNotice& notice : first.TakeNotices()) {
    second.OnNotice(notice, kNow);
  }
  CHECK(second.TakeNotices().empty());
  CrashOn(second, kB, kNow);
  CHECK(second.RemainingTime(MakeFingerprint(1), kNow).has_value());
  for (const QuarantineNotice& notice : second.TakeNotices()) {
    first.OnNotice(notice, kNow);
  }
  CHECK(first.RemainingTime(MakeFingerprint(1), kNow).has_value());
}

TEST_CASE("a complete response clears a request on this host and its peers") {
  Quarantine first({});
  Quarantine second({});
  CrashOn(first, kA, kNow);
  CrashOn(first, kB, kNow);
  for (const QuarantineNotice& notice : first.TakeNotices()) {
    second.OnNotice(notice, kNow);
  }
  CHECK(second.RemainingTime(MakeFingerprint(1), kNow).has_value());
  second.OnCompleteResponse(MakeFingerprint(1), kNow);
  CHECK_FALSE(second.RemainingTime(MakeFingerprint(1), kNow).has_value());
  for (const QuarantineNotice& notice : second.TakeNotices()) {
    first.OnNotice(notice, kNow);
  }
  CHECK_FALSE(first.RemainingTime(MakeFingerprint(1), kNow).has_value());
}

TEST_CASE("a recently completed request is quarantined by the third crash") {
  Quarantine quarantine({});
  quarantine.OnCompleteResponse(MakeFingerprint(1), kNow);
  CrashOn(quarantine, kA, kNow);
  CrashOn(quarantine, kB, kNow);
  CHECK_FALSE(quarantine.RemainingTime(MakeFingerprint(1), kNow).has_value());
  CrashOn(quarantine, TargetId("c"), kNow);
  CHECK(quarantine.RemainingTime(MakeFingerprint(1), kNow).has_value());
}

// Guards against counting crashes that are detected late against a request that
// has been completed meanwhile.
TEST_CASE("an aborted attempt does not count once the request is completed") {
  Quarantine quarantine({});
  for (const char* target : {"a", "b", "c"}) {
    quarantine.OnAttemptAborted(MakeFingerprint(1), TargetId(target), kNow);
  }
  quarantine.OnCompleteResponse(MakeFingerprint(1),
                                kNow + std::chrono::milliseconds(1));
  for (const char* target : {"a", "b", "c"}) {
    quarantine.OnTargetCrash(TargetId(target), kNow + std::chrono::seconds(2));
  }
  CHECK(quarantine.suspects() == 0);
}

TEST_CASE("each further crash doubles the quarantine time, up to a bound") {
  Quarantine quarantine({});
  TimePoint now = kNow;
  std::optional<Duration> time;
  for (int i = 0; i < 12; ++i) {
    CrashOn(quarantine, TargetId(std::to_string(i)), now);
    time = quarantine.RemainingTime(MakeFingerprint(1), now);
    now += time.value_or(Duration::zero());
  }
  CHECK(time == std::chrono::minutes(2 * 64));
}

// Guards against refusing a request that many callers send because it was in
// flight at the targets that another one crashed.
TEST_CASE(
    "a popular request that runs beside a crashing one at many targets is not "
    "quarantined, the crashing one is") {
  Quarantine quarantine(ThreeCrashOptions());
  quarantine.OnCompleteResponse(kPopular, kNow - std::chrono::seconds(2));
  for (const char* target : {"a", "b", "c"}) {
    CHECK_FALSE(quarantine.RemainingTime(kCrasher, kNow).has_value());
    CrashBeside(quarantine, TargetId(target));
    CHECK_FALSE(quarantine.RemainingTime(kPopular, kNow).has_value());
  }
  CHECK(quarantine.RemainingTime(kCrasher, kNow) == std::chrono::minutes(10));
  for (const char* target : {"d", "e", "f"}) {
    CrashBeside(quarantine, TargetId(target));
    CHECK_FALSE(quarantine.RemainingTime(kPopular, kNow).has_value());
  }
  CHECK(quarantine.CrashesOf(kPopular) == 6);
}

// Guards against refusing such a request where each host observes the crashes
// under one of the two requests, and at a host that starts.
TEST_CASE(
    "crashes that another host explains later end the quarantine of a popular "
    "request, also at a host that knows of no complete response") {
  Quarantine first(ThreeCrashOptions());
  Quarantine second(ThreeCrashOptions());
  Quarantine started(ThreeCrashOptions());
  first.OnCompleteResponse(kPopular, kNow - std::chrono::seconds(2));
  for (const char* target : {"a", "b", "c", "d"}) {
    first.OnAttemptAborted(kPopular, TargetId(target), kNow);
    first.OnTargetCrash(TargetId(target), kNow);
    second.OnAttemptAborted(kCrasher, TargetId(target), kNow);
    second.OnTargetCrash(TargetId(target), kNow);
  }
  CHECK(first.RemainingTime(kPopular, kNow).has_value());
  for (const QuarantineNotice& notice : first.Suspicions()) {
    second.OnNotice(notice, kNow);
    started.OnNotice(notice, kNow);
  }
  CHECK(started.RemainingTime(kPopular, kNow).has_value());
  PassSuspicions(first, second);
  for (const QuarantineNotice& notice : second.Suspicions()) {
    started.OnNotice(notice, kNow);
  }
  PassSuspicions(second, first);
  for (Quarantine* host : {&first, &second, &started}) {
    CHECK_FALSE(host->RemainingTime(kPopular, kNow).has_value());
    CHECK(host->RemainingTime(kCrasher, kNow).has_value());
  }
  CHECK(first.TakeExcused().size() == 1);
  CHECK(first.TakeExcused().empty());
}

// Guards against the rule above keeping a request going that crashes targets
// although it was served before.
TEST_CASE(
    "a request that was served is quarantined by the third crash that no other "
    "request explains") {
  Quarantine quarantine(ThreeCrashOptions());
  quarantine.OnCompleteResponse(kPopular, kNow);
  for (const char* target : {"a", "b", "c"}) {
    CrashBeside(quarantine, TargetId(target));
  }
  for (const char* target : {"d", "e", "f"}) {
    CHECK_FALSE(quarantine.RemainingTime(kPopular, kNow).has_value());
    quarantine.OnAttemptAborted(kPopular, TargetId(target), kNow);
    quarantine.OnTargetCrash(TargetId(target), kNow);
  }
  CHECK(quarantine.RemainingTime(kPopular, kNow).has_value());
}

TEST_CASE("crashes of a request that was never served are not explained") {
  Quarantine quarantine(ThreeCrashOptions());
  for (const char* target : {"a", "b", "c"}) {
    CrashBeside(quarantine, TargetId(target));
  }
  CHECK(quarantine.RemainingTime(kCrasher, kNow).has_value());
  CHECK(quarantine.RemainingTime(kPopular, kNow).has_value());
}

TEST_CASE("a request explains crashes only until it is completed") {
  Quarantine quarantine(ThreeCrashOptions());
  quarantine.OnCompleteResponse(kPopular, kNow);
  for (const char* target : {"a", "b", "c", "d"}) {
    CrashBeside(quarantine, TargetId(target));
  }
  CHECK_FALSE(quarantine.RemainingTime(kPopular, kNow).has_value());
  quarantine.OnCompleteResponse(kCrasher, kNow);
  CHECK_FALSE(quarantine.RemainingTime(kCrasher, kNow).has_value());
  CHECK(quarantine.RemainingTime(kPopular, kNow).has_value());
}

TEST_CASE("a request that is only suspect explains no crash") {
  Quarantine quarantine(ThreeCrashOptions());
  quarantine.OnCompleteResponse(kPopular, kNow);
  for (const char* target : {"a", "b"}) {
    CrashBeside(quarantine, TargetId(target));
  }
  for (const char* target : {"c", "d"}) {
    quarantine.OnAttemptAborted(kPopular, TargetId(target), kNow);
    quarantine.OnTargetCrash(TargetId(target), kNow);
  }
  CHECK_FALSE(quarantine.RemainingTime(kCrasher, kNow).has_value());
  CHECK(quarantine.RemainingTime(kPopular, kNow).has_value());
}

TEST_CASE("the number of remembered requests is bounded") {
  QuarantineOptions options;
  options.max_fingerprints = 8;
  Quarantine quarantine(options);
  for (uint64_t i = 0; i < 100; ++i) {
    quarantine.OnAttemptAborted(MakeFingerprint(i), kA, kNow);
    quarantine.OnCompleteResponse(MakeFingerprint(1000 + i), kNow);
  }
  quarantine.OnTargetCrash(kA, kNow);
  CHECK(quarantine.suspects() == 8);
  quarantine.OnTargetCrash(kB, kNow + std::chrono::minutes(11));
  CHECK(quarantine.suspects() == 0);
}

// Guards against refusing requests to one host name because of a crashing
// request with the same path to another.
TEST_CASE("requests to different host names have different fingerprints") {
  const HttpRequest request{"GET", "/1", {}, "", ""};
  const ClientAccountId account("pwani");
  const Fingerprint first = ComputeFingerprint(account, "a.example", request);
  CHECK(ComputeFingerprint(account, "a.example", request) == first);
  CHECK_FALSE(ComputeFingerprint(account, "b.example", request) == first);
}

// Guards against a crashing request being another one at each host that takes
// it, where callers connect by address.
TEST_CASE("a fingerprint does not depend on the Host header itself") {
  HttpRequest request{"GET", "/1", {{"Host", "10.0.0.1:80"}}, "", ""};
  const ClientAccountId account("pwani");
  const Fingerprint first = ComputeFingerprint(account, "", request);
  request.headers = {{"Host", "10.0.0.2:80"}};
  CHECK(ComputeFingerprint(account, "", request) == first);
}

TEST_CASE(
    "a fingerprint covers account, method, host name, target and body only") {
  const HttpRequest request{"GET", "/wrecks", {{"X", "1"}}, "", ""};
  const ClientAccountId account("pwani");
  HttpRequest other = request;
  other.headers.clear();
  CHECK(ComputeFingerprint(account, "", request) ==
        ComputeFingerprint(account, "", other));
  other.body = "x";
  CHECK_FALSE(ComputeFingerprint(account, "", request) ==
              ComputeFingerprint(account, "", other));
  CHECK_FALSE(ComputeFingerprint(account, "", request) ==
              ComputeFingerprint(ClientAccountId("lenha"), "", request));
}

TEST_CASE("a notice is unchanged by encoding and decoding") {
  const QuarantineNotice notice{QuarantineNoticeKind::kQuarantined,
                                MakeFingerprint(7), kA,
                                std::chrono::seconds(3)};
  Reason reason;
  const auto decoded = Decode<QuarantineNotice>(Encode(notice), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->kind == notice.kind);
  CHECK(decoded->fingerprint == notice.fingerprint);
  CHECK(decoded->remaining == notice.remaining);
}

namespace {

/// A notice as builds without `served_before` send and expect it.
struct OlderNotice {
  QuarantineNoticeKind kind = QuarantineNoticeKind::kSuspected;
  Fingerprint fingerprint;
  TargetId target;
  Duration remaining{};
  MSGPACK_DEFINE(kind, fingerprint, target, remaining)
};

}  // namespace

TEST_CASE("hosts of older builds and of this one understand each other") {
  Reason reason;
  const QuarantineNotice notice{
      QuarantineNoticeKind::kSuspected, kCrasher, kA, {}, true};
  const auto older = Decode<OlderNotice>(Encode(notice), reason);
  REQUIRE(older.has_value());
  CHECK(older->fingerprint == kCrasher);
  CHECK(older->target == kA);
  const auto decoded = Decode<QuarantineNotice>(Encode(*older), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->target == kA);
  CHECK_FALSE(decoded->served_before);
}

}  // namespace applestand
