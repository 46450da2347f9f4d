#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "lib/keys/authorizer.h"
#include "lib/keys/header_filter.h"

namespace applestand {

namespace {

const std::string kSecret = "s3cret-s3cret-s3cret";
const std::string kToken = "k1." + kSecret;

ConfigState SampleState() {
  ConfigState state;
  state.version = ConfigVersion(1);
  const ClientAccountId lenha("lenha");
  state.accounts[lenha] = {lenha, {}};
  state.keys[KeyId("k1")] = {KeyId("k1"), lenha, Sha256Hex(kSecret)};
  const auto add = [&](const char* id, const char* prefix) -> Route& {
    Route& route = state.routes[RouteId(id)];
    route.id = RouteId(id);
    route.path_prefix = prefix;
    return route;
  };
  add("all", "/").open = true;
  add("orders", "/orders");
  add("admin", "/orders/admin").accounts = {ClientAccountId("other")};
  return state;
}

HttpRequest Get(std::string target, std::vector<HttpHeader> headers = {}) {
  return {"GET", std::move(target), std::move(headers), "", "10.0.0.1"};
}

struct Fixture {
  // Returns the status of the refusal, or 200 if the request is authorized.
  int StatusOf(const HttpRequest& request) {
    const auto result = authorizer.Authorize(request);
    const auto* refusal = std::get_if<AuthorizationRefusal>(&result);
    return refusal == nullptr ? 200 : refusal->status;
  }
  std::string RouteOf(const std::string& path) {
    const auto result =
        authorizer.Authorize(Get(path, {{"X-Applestand-Key", kToken}}));
    const auto* authorization = std::get_if<Authorization>(&result);
    return authorization == nullptr ? "" : authorization->route->id.value();
  }

  ConfigState state = SampleState();
  Authorizer authorizer{state};
  HeaderFilter filter{state, {"X-Extra", "AUTHORIZATION"}};
  Reason reason;
};

}  // namespace

TEST_CASE_FIXTURE(
    Fixture,
    "a request is authorized only for the client account of its key") {
  const auto result = authorizer.Authorize(
      Get("/orders/7", {{"authorization", "bearer " + kToken}}));
  const auto* authorization = std::get_if<Authorization>(&result);
  REQUIRE(authorization != nullptr);
  CHECK(authorization->account == ClientAccountId("lenha"));
  CHECK(StatusOf(Get("/orders/7", {{"X-Applestand-Key", kToken}})) == 200);
  CHECK(StatusOf(Get("/orders/7")) == 401);
  CHECK(StatusOf(Get("/orders", {{"X-Applestand-Key", kToken + "x"}})) == 401);
  CHECK(StatusOf(Get("/orders", {{"X-Applestand-Key", "k2." + kSecret}})) ==
        401);
  CHECK(StatusOf(Get("/orders/admin", {{"X-Applestand-Key", kToken}})) == 403);
  CHECK(StatusOf(Get("/open")) == 200);
}

TEST_CASE_FIXTURE(Fixture, "a repeated or malformed key is refused") {
  const HttpHeader bearer{"Authorization", "Bearer " + kToken};
  const HttpHeader key{"X-Applestand-Key", kToken};
  CHECK(StatusOf(Get("/orders", {bearer, key})) == 400);
  CHECK(StatusOf(Get("/orders", {key, {"x-applestand-KEY", kToken}})) == 400);
  CHECK(StatusOf(Get("/orders", {{"Authorization", "Basic abc"}})) == 400);
  for (const char* token : {"", "k1", ".", "k1.", "k1.short",
                            "k 1.aaaaaaaaaaaaaaaa", "k1.aaaaaaaaaaaaaaaa,k2"}) {
    CHECK(StatusOf(Get("/orders", {{"X-Applestand-Key", token}})) == 400);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "a revoked key is refused from the next request on") {
  const HttpRequest request = Get("/orders", {{"X-Applestand-Key", kToken}});
  CHECK(StatusOf(request) == 200);
  state.keys.clear();
  state.version = state.version.Next();
  CHECK(StatusOf(request) == 401);
}

TEST_CASE_FIXTURE(
    Fixture,
    "the route with the longest prefix of whole segments matches") {
  CHECK(RouteOf("/orders") == "orders");
  CHECK(RouteOf("/orders/") == "orders");
  CHECK(RouteOf("/orders/1/2?x=/..") == "orders");
  CHECK(RouteOf("/ordersx") == "all");
  CHECK(RouteOf("/orders/administrator") == "orders");
  CHECK(RouteOf("/") == "all");
  CHECK(RouteOf("/a%20b") == "all");
  state.routes.erase(RouteId("all"));
  state.version = state.version.Next();
  CHECK(StatusOf(Get("/x/y")) == 404);
  CHECK(StatusOf(Get("/")) == 404);
}

TEST_CASE_FIXTURE(
    Fixture,
    "a path that servers could interpret differently is refused") {
  for (const char* path : {"",
                           "x",
                           "*",
                           "http://h/orders",
                           "//orders",
                           "/x/../orders",
                           "/./orders",
                           "/x/..",
                           "/%6frders",
                           "/x%2forders",
                           "/x%5corders",
                           "/x%2e%2e/orders",
                           "/%252e/orders",
                           "/x\\orders",
                           "/orders;a=1",
                           "/..;/orders",
                           "/a%3bb",
                           "/a%00",
                           "/a%0a",
                           "/a%",
                           "/a%2",
                           "/a%zz",
                           "/a b",
                           "/a\x01",
                           "/a\xc3",
                           "/a#b"}) {
    CHECK(StatusOf(Get(path)) == 400);
  }
}

TEST_CASE("generated secrets are long, random and match their hash") {
  Reason reason;
  const auto first = GenerateSecret(reason);
  const auto second = GenerateSecret(reason);
  REQUIRE(first.has_value());
  CHECK(first->size() == 64);
  CHECK(first != second);
  CHECK(SecretMatches(*first, Sha256Hex(*first)));
  CHECK_FALSE(SecretMatches(*first, Sha256Hex(*second)));
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE_FIXTURE(Fixture, "only allowed headers are forwarded, and no key") {
  const auto forwarded =
      filter.Filter(Get("/orders", {{"AUTHORIZATION", "Bearer " + kToken},
                                    {"X-Applestand-Key", kToken},
                                    {"Cookie", "a=1"},
                                    {"Connection", "x-extra"},
                                    {"Content-Type", "text/plain"},
                                    {"x-extra", "1"}}),
                    reason);
  REQUIRE(forwarded.has_value());
  REQUIRE(forwarded->size() == 2);
  CHECK((*forwarded)[0].name == "Content-Type");
  CHECK((*forwarded)[1].name == "x-extra");
}

TEST_CASE_FIXTURE(Fixture,
                  "a key outside its header causes the request to be refused") {
  const HttpHeader key{"X-Applestand-Key", kToken};
  const auto passes = [&](const HttpRequest& request) {
    return filter.Filter(request, reason).has_value();
  };
  CHECK(passes(Get("/orders?full=1.2", {key})));
  CHECK_FALSE(passes(Get("/orders?k=S3CRET-s3cret-s3cret", {key})));
  CHECK_FALSE(passes(Get("/orders?k=%73%2533cret-s3cret-s3cret", {key})));
  CHECK_FALSE(passes(Get("/orders", {key, {"Referer", "/x?" + kSecret}})));
  CHECK_FALSE(passes(Get("/orders", {key, {"Accept", "a\r\nb"}})));
  // Configured keys are found even if the request has no key header.
  CHECK_FALSE(passes(Get("/open?key=" + kToken)));
  CHECK_FALSE(passes(Get("/open", {{"User-Agent", "x/" + kToken + "/y"}})));
  std::string layers = "%41";
  for (int i = 0; i < 20; ++i) {
    layers.insert(1, "25");
  }
  CHECK_FALSE(passes(Get("/open?x=" + layers)));
}

}  // namespace applestand
