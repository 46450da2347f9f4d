#include "lib/config/change.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "lib/config/messages.h"

namespace applestand {

namespace {

const std::string kHash(64, 'a');

ConfigState SampleState() {
  ConfigState state;
  const ClientAccountId lenha("lenha");
  state.accounts[lenha] = {lenha, {10, 20, 1}};
  state.keys[KeyId("k1")] = {KeyId("k1"), lenha, kHash};
  Route orders;
  orders.id = RouteId("orders");
  orders.path_prefix = "/orders";
  orders.service = ServiceId("order-desk");
  state.routes[orders.id] = orders;
  return state;
}

std::string MakeChangeJson(const std::string& operation,
                           const std::string& item) {
  return R"({"id":"c1","author":"ana","operation":")" + operation +
         R"(","item":)" + item + "}";
}

// Parses and validates a change. Returns the reason for its rejection, or an
// empty string if it is valid.
std::string RejectionReason(const std::string& json) {
  Reason reason;
  const auto change = ParseChange(json, reason);
  if (change && Validate(*change, SampleState(), reason)) {
    return "";
  }
  return reason.text;
}

}  // namespace

TEST_CASE("every operation is preserved by JSON and message encoding") {
  const std::vector<std::pair<std::string, std::string>> operations = {
      {"put-account",
       R"({"burst":2.5,"id":"a","requests_per_second":10.0,"weight":2.0})"},
      {"remove-account", R"({"id":"a"})"},
      {"put-key",
       R"({"account":"lenha","id":"k","secret_sha256":")" + kHash + "\"}"},
      {"remove-key", R"({"id":"k1"})"},
      {"put-route",
       R"({"accounts":["lenha"],"id":"r","open":false,"path_prefix":"/r",)"
       R"("repeatable":true,"service":"s","timeout_ms":1500})"},
      {"remove-route", R"({"id":"orders"})"},
      {"put-target",
       R"({"address":"10.0.0.1:80","id":"t","leaving":true,"region":"norte",)"
       R"("service":"s","slots":4,"zone":"norte-1"})"},
      {"remove-target", R"({"id":"t"})"},
      {"put-move",
       R"({"current_permille":0,"from":"norte","goal_permille":1000,"id":"m",)"
       R"("paused":false,"service":"s","step_interval_ms":30000,)"
       R"("step_permille":100,"to":"sul"})"},
      {"remove-move", R"({"id":"m"})"},
      {"put-block", R"({"network":"10.1.0.0/16","regions":["norte","sul"]})"},
      {"remove-block", R"({"id":"10.1.0.0/16"})"},
      {"set-seats", R"({"seats":12})"}};
  CHECK(operations.size() == std::variant_size_v<Operation>);
  for (const auto& [operation, item] : operations) {
    Reason reason;
    const auto change = ParseChange(MakeChangeJson(operation, item), reason);
    CHECK(reason.text.empty());
    REQUIRE(change.has_value());
    CHECK(ToJson(*change).find(item) != std::string::npos);
    const auto decoded = Decode<Change>(Encode(*change), reason);
    REQUIRE(decoded.has_value());
    CHECK(ToJson(*decoded) == ToJson(*change));
  }
}

TEST_CASE("rejecting an invalid change names the field and what it accepts") {
  const std::string target =
      R"({"id":"t","service":"s","region":"r","zone":"z","slots":1,)";
  const std::vector<std::pair<std::string, std::string>> rejections = {
      {"nonsense", "the change is not valid JSON"},
      {"[]", "change must be an object"},
      {R"({"id":"c"})", "change.author is missing"},
      {MakeChangeJson("put-key", "7"), "change.item must be an object"},
      {MakeChangeJson("put-lease", "{}"),
       "change.operation must be \"set-seats\", or \"put-\" or \"remove-\" and "
       "one of account, key, route, target, move, block"},
      {MakeChangeJson("set-seats", R"({"seats":-1})"),
       "item.seats must be a whole number from 0 to 4294967295"},
      {MakeChangeJson("set-seats", R"({"seats":0})"),
       "item.seats must be from 1 to 100000"},
      {MakeChangeJson("set-seats", R"({"seats":1,"seat":2})"),
       "item.seat is not a known field"},
      {MakeChangeJson("put-account",
                      R"({"id":"a","requests_per_second":0,"burst":1})"),
       "item.requests_per_second must be from 0.001 to 10000000"},
      {MakeChangeJson("put-account",
                      R"({"id":"a","requests_per_second":1,"burst":"1"})"),
       "item.burst must be a number"},
      {MakeChangeJson("put-account",
                      R"({"id":"a/b","requests_per_second":1,"burst":1})"),
       "item.id must be 1 to 128 letters, digits, -, _ or ."},
      {MakeChangeJson(
           "put-key",
           R"({"id":"k","account":"none","secret_sha256":")" + kHash + "\"}"),
       "item.account must name an existing client account; \"none\" does not "
       "exist"},
      {MakeChangeJson(
           "put-key",
           R"({"id":"k","account":"lenha","secret_sha256":"plain"})"),
       "item.secret_sha256 must be 64 lower-case hexadecimal digits"},
      {MakeChangeJson("put-route",
                      R"({"id":"r","path_prefix":"/r","service":""})"),
       "item.service must be 1 to 128 letters, digits, -, _ or ."},
      {MakeChangeJson("put-route",
                      R"({"id":"r","path_prefix":"/orders","service":"s"})"),
       "item.path_prefix must differ from that of route \"orders\""},
      {MakeChangeJson("put-target", target + R"("address":"10.0.0.1:0"})"),
       "item.address must be an IPv4 address and a port from 1 to 65535, such "
       "as 10.1.2.3:8080"},
      {MakeChangeJson("put-target", target + R"("address":"10.0.0.256:80"})"),
       "item.address must be an IPv4 address and a port from 1 to 65535, such "
       "as 10.1.2.3:8080"},
      {MakeChangeJson("put-move",
                      R"({"id":"m","service":"s","from":"a","to":"a"})"),
       "item.to and item.from must be different regions"},
      {MakeChangeJson("put-block",
                      R"({"network":"10.1.0.1/16","regions":["a"]})"),
       "item.network must be an IPv4 network such as 10.1.0.0/16, with no host "
       "bits set"},
      {MakeChangeJson("put-block",
                      R"({"network":"10.1.0.0/16","regions":["a","a"]})"),
       "item.regions must be 1 to 16 distinct regions"},
      {MakeChangeJson("remove-key", R"({"id":"k9"})"),
       "item.id must name an existing key"},
      {MakeChangeJson("remove-account", R"({"id":"lenha"})"),
       "item.id must name a client account without keys; remove key \"k1\" "
       "first"}};
  for (const auto& [json, expected_reason] : rejections) {
    CHECK(RejectionReason(json) == expected_reason);
  }
}

TEST_CASE("path prefixes with more than one interpretation are rejected") {
  for (const char* prefix : {"", "orders", "/a//b", "/a/../b", "/a/", "/a%2f",
                             "/a?b", "/./a", "//"}) {
    CHECK(RejectionReason(
              MakeChangeJson("put-route",
                             std::string(R"({"id":"r","service":"s",)") +
                                 R"("path_prefix":")" + prefix + "\"}"))
              .rfind("item.path_prefix must start with /", 0) == 0);
  }
}

TEST_CASE("malformed IPv4 addresses and networks are rejected") {
  Reason reason;
  const auto any_address = ParseIpv4Network("0.0.0.0/0", reason);
  REQUIRE(any_address.has_value());
  CHECK(any_address->prefix_length == 0);
  CHECK(ParseIpv4("255.0.1.2", reason) == 0xff000102);
  for (const char* text : {"1.2.3", "1.2.3.4.5", "01.2.3.4", "1.2.3.4 ",
                           "1.2.3.4/33", "1.2.3.4/", "/8", "1.2.3.-4", ""}) {
    CHECK_FALSE(ParseIpv4(text, reason).has_value());
    CHECK_FALSE(ParseIpv4Network(text, reason).has_value());
  }
}

}  // namespace applestand
