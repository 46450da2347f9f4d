#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lib/settings/host_settings.h"

namespace applestand {

namespace {

const char kValidFile[] = R"(
[host]
id = "norte-1"
region = "norte"
zone = "norte-a"
[platform]
address = "127.0.0.1:7000"
region = "norte"
[lookup]
listen = "127.0.0.2:8080"
[entry]
listen = "127.0.0.2:8081"
rpc = "127.0.0.2:8082"
[control]
rpc = "127.0.0.2:8083"
api = "127.0.0.2:8084"
operator_token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)";

std::vector<std::string> ParseErrors(const std::string& text) {
  std::vector<std::string> errors;
  CHECK_FALSE(ParseHostSettings("host.toml", text, errors).has_value());
  return errors;
}

std::string ReplaceInValidFile(const std::string& from, const std::string& to) {
  std::string text = kValidFile;
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("a valid file is accepted, with defaults for absent keys") {
  std::vector<std::string> errors;
  const auto settings = ParseHostSettings("host.toml", kValidFile, errors);
  REQUIRE(settings.has_value());
  CHECK(settings->host == HostId("norte-1"));
  CHECK(settings->seat_lease == std::chrono::seconds(120));
  CHECK(settings->seeds.empty());
}

TEST_CASE("errors name file, line, key and the allowed values") {
  CHECK(ParseErrors(
            ReplaceInValidFile("127.0.0.1:7000", "platform.example:7000")) ==
        std::vector<std::string>{
            "host.toml:7: platform.address: is \"platform.example:7000\"; "
            "allowed: an IPv4 number and a port, as in 127.0.0.1:8080"});
  CHECK(ParseErrors(std::string(kValidFile) + "seat_lease_ms = 5\n") ==
        std::vector<std::string>{
            "host.toml:18: control.seat_lease_ms: allowed: a whole number "
            "from 1000 to 3600000"});
  CHECK(ParseErrors(std::string(kValidFile) + "seat_leese_ms = 5000\n") ==
        std::vector<std::string>{
            "host.toml:18: control.seat_leese_ms: is not a known setting"});
  CHECK(ParseErrors(ReplaceInValidFile("id = \"norte-1\"", "")) ==
        std::vector<std::string>{
            "host.toml: host.id: is missing; allowed: 1 to 64 characters of "
            "a-z, 0-9, '-', '_' and '.'"});
}

TEST_CASE("a TOML syntax error is reported with its line") {
  const auto errors = ParseErrors("[host\nid = 3\n");
  REQUIRE_FALSE(errors.empty());
  CHECK(errors.front().rfind("host.toml:1: ", 0) == 0);
}

}  // namespace applestand
