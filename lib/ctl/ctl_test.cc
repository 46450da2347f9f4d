#include "lib/ctl/ctl.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "lib/ctl/changes.h"
#include "lib/daemon/daemon.h"

namespace applestand {

namespace {

CtlArguments Parse(std::vector<const char*> words) {
  words.insert(words.begin(), "applestandctl");
  return CtlArguments(static_cast<int>(words.size()), words.data());
}

/// Returns the reason for which BuildChanges rejects a command.
std::string BuildErrorFor(const std::vector<const char*>& words,
                          const ConfigState& state = {}) {
  Reason reason;
  CHECK(BuildChanges(Parse(words), state, reason).empty());
  return reason.text;
}

}  // namespace

TEST_CASE(
    "account put: the contract takes rate, burst and weight from the options") {
  Reason reason;
  const auto changes =
      BuildChanges(Parse({"account", "put", "lenha", "--rate", "50", "--burst",
                          "100", "--weight", "2"}),
                   {}, reason);
  REQUIRE(changes.size() == 1);
  const auto& put = std::get<Put<ClientAccount>>(changes.front().operation);
  CHECK(put.item.id == ClientAccountId("lenha"));
  CHECK(put.item.contract.requests_per_second == 50);
  CHECK(put.item.contract.burst == 100);
  CHECK(put.item.contract.weight == 2);
}

TEST_CASE(
    "key give: the change stores a hash of the secret, only new_key holds the "
    "secret") {
  Reason reason;
  const auto changes =
      BuildChanges(Parse({"key", "give", "lenha", "--id", "k1"}), {}, reason);
  REQUIRE(changes.size() == 1);
  const auto& put = std::get<Put<Key>>(changes.front().operation);
  CHECK(put.item.id == KeyId("k1"));
  CHECK(changes.front().new_key.rfind("k1.", 0) == 0);
  const std::string secret = changes.front().new_key.substr(3);
  CHECK(put.item.secret_sha256.find(secret) == std::string::npos);
}

TEST_CASE("target drain: the target's other fields are preserved") {
  ConfigState state;
  Target target;
  target.id = TargetId("t1");
  target.address = "127.0.0.1:9000";
  target.slots = 4;
  state.targets[target.id] = target;
  Reason reason;
  const auto changes =
      BuildChanges(Parse({"target", "drain", "t1"}), state, reason);
  REQUIRE(changes.size() == 1);
  const auto& put = std::get<Put<Target>>(changes.front().operation);
  CHECK(put.item.leaving);
  CHECK(put.item.address == "127.0.0.1:9000");
  CHECK(put.item.slots == 4);
}

TEST_CASE("invalid commands report the allowed values or the usage") {
  CHECK(BuildErrorFor({"account", "put", "lenha", "--rate", "x", "--burst",
                       "1"}) == "--rate: allowed: a number from 0 to 1e+09");
  CHECK(BuildErrorFor({"target", "drain", "t1"}) == "there is no \"t1\"");
  CHECK(BuildErrorFor({"account", "put"}).rfind("usage: applestandctl", 0) ==
        0);
  CHECK(BuildErrorFor({"seats", "set", "0"}) ==
        "seats: allowed: a whole number from 1 to 10000");
}

TEST_CASE(
    "an unknown command, an unreachable host and a missing settings file "
    "return their exit codes") {
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunCtl(Parse({"fly"}), out, err) == kExitUsage);
  CHECK(RunCtl(Parse({"status", "--api", "127.0.0.1:1"}), out, err) ==
        kExitUnavailable);
  CHECK(RunCtl(Parse({"check", "/nonexistent.toml"}), out, err) == kExitUsage);
}

}  // namespace applestand
