#include "lib/codec/deflate.h"

#include <doctest/doctest.h>

namespace applestand {

TEST_CASE("bytes survive deflating, also none and any") {
  for (const std::string& plain :
       {std::string(), std::string("x"), std::string(100000, 'a'),
        std::string("\0\xff\x01", 3)}) {
    Reason reason;
    const auto back = Inflate(Deflate(plain), plain.size(), reason);
    REQUIRE(back.has_value());
    CHECK(*back == plain);
  }
}

TEST_CASE("damaged bytes and too many are refused") {
  Reason reason;
  Deflated deflated = Deflate(std::string(1000, 'a'));
  CHECK_FALSE(Inflate(deflated, 999, reason).has_value());
  CHECK(reason.text == "inflates to 1000 bytes, of 999 allowed");
  deflated.plain_size = 1001;
  CHECK_FALSE(Inflate(deflated, 2000, reason).has_value());
  deflated.plain_size = 999;
  CHECK_FALSE(Inflate(deflated, 2000, reason).has_value());
  CHECK_FALSE(Inflate({5, "no zlib"}, 2000, reason).has_value());
  CHECK(reason.text == "inflate: data error");
}

}  // namespace applestand
