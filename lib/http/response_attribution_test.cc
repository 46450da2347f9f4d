#include "lib/http/response_attribution.h"

#include <doctest/doctest.h>

#include <string>

namespace applestand {

// Guards against connections that are used once only.
TEST_CASE("a connection whose responses bear ids carries request on request") {
  ResponseAttribution attribution;
  for (int i = 0; i < 3; ++i) {
    attribution.OnRequest(std::to_string(i));
    CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
    CHECK(attribution.may_carry_request());
  }
}

// Guards against distrust of a server that rejects a request before it has read
// its id, and against a later second copy of that response.
TEST_CASE("a response without an id is taken once, for the first request") {
  ResponseAttribution attribution;
  attribution.OnRequest("");
  CHECK(attribution.OnResponse(ResponseOwner::kUnknown));
  CHECK_FALSE(attribution.may_carry_request());
}

// Guards against a second copy without an id that is believed to be the
// response to a later request.
TEST_CASE("a response without an id is skipped after an earlier request") {
  ResponseAttribution attribution;
  attribution.OnRequest("");
  CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  attribution.OnRequest("");
  CHECK_FALSE(attribution.OnResponse(ResponseOwner::kUnknown));
  CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  CHECK_FALSE(attribution.may_carry_request());
}

// Guards against a response without an id that follows one to somebody else.
TEST_CASE("a response without an id is skipped once one was skipped") {
  ResponseAttribution attribution;
  attribution.OnRequest("");
  CHECK_FALSE(attribution.OnResponse(ResponseOwner::kOtherRequest));
  CHECK_FALSE(attribution.OnResponse(ResponseOwner::kUnknown));
  CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  CHECK_FALSE(attribution.may_carry_request());
}

// Guards against further requests on a connection that is out of step.
TEST_CASE("a connection with anything unasked carries no further request") {
  ResponseAttribution skipped;
  skipped.OnRequest("");
  CHECK_FALSE(skipped.OnResponse(ResponseOwner::kOtherRequest));
  CHECK(skipped.OnResponse(ResponseOwner::kThisRequest));
  CHECK_FALSE(skipped.may_carry_request());
  ResponseAttribution surplus;
  surplus.OnRequest("");
  CHECK(surplus.OnResponse(ResponseOwner::kThisRequest));
  surplus.OnUnaskedBytes();
  CHECK_FALSE(surplus.may_carry_request());
}

// Guards against a second copy of an earlier response that bears the id of the
// request in progress, because both are the same request.
TEST_CASE("a connection carries no request whose id it has carried") {
  ResponseAttribution attribution;
  attribution.OnRequest("one");
  CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  CHECK(attribution.may_carry_request("two"));
  CHECK_FALSE(attribution.may_carry_request("one"));
  attribution.OnRequest("two");
  CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  CHECK_FALSE(attribution.may_carry_request("one"));
  CHECK_FALSE(attribution.may_carry_request("two"));
  CHECK(attribution.may_carry_request("three"));
}

// Guards against ids that are forgotten while the connection is open, and
// against memory that grows with its age.
TEST_CASE("a connection carries a bounded number of requests with ids") {
  ResponseAttribution attribution;
  for (size_t i = 0; i < ResponseAttribution::kMaxRememberedIds; ++i) {
    REQUIRE(attribution.may_carry_request());
    attribution.OnRequest(std::to_string(i));
    CHECK(attribution.OnResponse(ResponseOwner::kThisRequest));
  }
  CHECK_FALSE(attribution.may_carry_request());
  CHECK_FALSE(attribution.may_carry_request("another"));
}

}  // namespace applestand
